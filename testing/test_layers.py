"""Import rules: layers import only lower layers, and modules are imported rather than names."""

import ast
import gc
import pathlib

import testtools

SOURCE_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "src" / "caperdyke"
# From top to bottom: each layer may import itself and the layers after it.
LAYERS = (
    "programs",
    "platform",
    "loading",
    "standins",
    "transport",
    "protocol",
    "coordination",
    "state",
)


def list_imports(path: pathlib.Path) -> list[str]:
    """Returns the project modules that a file imports, as dotted names."""
    names = []
    for item in ast.walk(ast.parse(path.read_text())):
        if isinstance(item, ast.ImportFrom) and (item.module or "").startswith("caperdyke"):
            names += [f"{item.module}.{alias.name}" for alias in item.names]
        elif isinstance(item, ast.Import):
            names += [alias.name for alias in item.names if alias.name.startswith("caperdyke")]
    return names


class LayersTest(testtools.TestCase):
    """Import statements of the source tree."""

    def setUp(self) -> None:
        super().setUp()
        # CPython 3.11 cannot parse while a finalizer reports an error, which parses source lines.
        gc.collect()

    def test_imports_point_downward(self) -> None:
        for position, layer in enumerate(LAYERS):
            for path in (SOURCE_FOLDER / layer).rglob("*.py"):
                for name in list_imports(path):
                    parts = name.split(".")
                    if len(parts) > 1 and parts[1] in LAYERS:
                        self.assertGreaterEqual(
                            LAYERS.index(parts[1]), position, f"{path.name} imports {name}"
                        )

    def test_modules_are_imported_not_names(self) -> None:
        for path in SOURCE_FOLDER.rglob("*.py"):
            for name in list_imports(path):
                relative = pathlib.Path(*name.split(".")[1:])
                is_module = (SOURCE_FOLDER / relative).with_suffix(".py").exists()
                is_package = (SOURCE_FOLDER / relative).is_dir()
                self.assertTrue(is_module or is_package, f"{path.name} imports the name {name}")
