"""The platform's names stay in its folder."""

import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
NAMES = re.compile(
    r"caperdyke-(request-(id|deadline)|expect|server|not-executed|instance-id|affinity|cold)"
    r"|rows-(tx|get|feed|parts)|caperdyke/(resolve|readiness)|CAPERDYKE_NODE_FILE"
    r"|latencyObjectiveMs|coldRemainingMs|trafficSplit|homeRegions|maxAttempts|tombstone",
    re.IGNORECASE,
)
# The server library's scope gets one key of the project's own; it is no header.
OWN = "caperdyke.target"


class BoundaryTest(testtools.TestCase):
    """Names of headers, calls and fields."""

    def test_no_name_outside(self) -> None:
        folders = (ROOT / "src", ROOT / "testing", ROOT / "bench")
        for path in (file for folder in folders for file in folder.rglob("*.py")):
            if path.parent.name == "platform":
                continue
            for line in path.read_text().splitlines():
                self.assertIsNone(NAMES.search(line.replace(OWN, "")), f"{path.name}: {line}")
