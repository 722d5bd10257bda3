"""Settings of a gateway: the deployed template, wrong values, and changes while it runs."""

import asyncio
import pathlib
import re
import tempfile

import testtools
from parameterized import parameterized

from caperdyke import errors
from caperdyke.protocol import gateway_files
from caperdyke.transport.gateway import reload
from testing.platform import harness

TEMPLATE = pathlib.Path(__file__).resolve().parent.parent.parent / "deploy" / "gateway.ini"
# Values that fit none of the sites on purpose.
VALUES = {
    "node": "front-1",
    "zone": "only-hall",
    "region": "alone",
    "listen.front": "10.0.0.1:1",
    "listen.ready": "10.0.0.1:2",
    "listen.directory": "10.0.0.1:3",
    "listen.control": "10.0.0.1:4",
    "seeds": "",
    "ipAddress": "10.0.0.1",
    "platform.address": "10.9.9.9:5",
    "bounds.retryBudgetRatio": "0.05",
    "bounds.retryBudgetSlack": "7",
    "bounds.budgetWindowS": "3",
    "bounds.coldLoadFactor": "1",
    "bounds.coldSlack": "0",
    "bounds.drainMs": "900",
    "bounds.ttl_max_s": "1",
    "bounds.graceS": "20",
}


def fill_template(**changes) -> str:
    """Returns the template as the platform fills it in, with one failure domain."""
    values = VALUES | changes
    text = TEMPLATE.read_text()
    text = re.sub(r"{{#zones}}(.*?){{/zones}}", r"\1", text, flags=re.DOTALL)
    text = text.replace("{{@}}", values["zone"]).replace("{{.}}", values["region"])
    return re.sub(r"{{([a-zA-Z._]+)}}", lambda match: values[match[1]], text)


def write(text: str) -> str:
    """Writes a settings file and returns its path."""
    with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
        file.write(text)
    return file.name


class GatewayFilesTest(testtools.TestCase):
    """What is read from a file."""

    def test_template(self) -> None:
        checked = gateway_files.read_gateway(write(fill_template()))
        self.assertEqual({"only-hall": "alone"}, checked.domains)
        self.assertEqual((), checked.seeds)
        self.assertEqual(
            (0.05, 7.0, 3.0, 1.0, 0.0, 0.9, 1.0, 20.0),
            (
                checked.bounds.retry_ratio,
                checked.bounds.retry_allowance,
                checked.bounds.retry_window,
                checked.bounds.cold_factor,
                checked.bounds.cold_allowance,
                checked.bounds.leaving_seconds,
                checked.bounds.lookup_seconds,
                checked.bounds.stop_seconds,
            ),
        )

    @parameterized.expand(
        [
            ("listen.front", "nowhere", "requests"),
            ("bounds.graceS", "soon", "stop_s"),
            ("bounds.drainMs", "nan", "leaving_ms"),
            ("bounds.retryBudgetRatio", "-1", "retry_ratio"),
            ("seeds", "10.0.0.1", "seeds"),
        ]
    )
    def test_wrong_value_is_named(self, name, value, key) -> None:
        path = write(fill_template(**{name: value}))
        error = self.assertRaises(errors.SettingsError, gateway_files.read_gateway, path)
        self.assertEqual(key, error.key)


class ReloadTest(harness.AsyncTestCase):
    """A file that changes while the gateway runs."""

    @parameterized.expand([("new bound", "bounds.drainMs", 0.5), ("unreadable", "seeds", 0.9)])
    def test_reload(self, _name, changed, expected) -> None:
        async def scene() -> None:
            async with harness.open_stage() as played:
                path = write(fill_template())
                reloader = reload.Reloader(played.gateway.node, path)
                reloader.reload()
                self.assertEqual(0.9, played.gateway.node.settings.bounds.leaving_seconds)
                caller_address = played.gateway.node.settings.caller_address
                pathlib.Path(path).write_text(fill_template(**{changed: "500"}))
                reloader.reload()
                settings = played.gateway.node.settings
                self.assertEqual(expected, settings.bounds.leaving_seconds)
                self.assertEqual(caller_address, settings.caller_address)
                self.assertEqual(200, (await played.ask())[0])

        self.run_async(scene)

    def test_change_without_a_signal(self) -> None:
        self.patch(reload, "WATCH_SECONDS", 0.01)

        async def scene() -> None:
            async with harness.open_stage() as played:
                path = write(fill_template())
                watching = asyncio.create_task(reload.Reloader(played.gateway.node, path).watch())
                await asyncio.sleep(0)
                pathlib.Path(path).write_text(fill_template(**{"bounds.drainMs": "500"}))
                node = played.gateway.node
                await played.wait_until(lambda: node.settings.bounds.leaving_seconds == 0.5)
                watching.cancel()

        self.run_async(scene)
