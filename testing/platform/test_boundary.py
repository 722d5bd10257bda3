"""Tests that names of the platform's interface occur only in the platform folders."""

import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
NAMES = re.compile(
    r"caperdyke-(request-(id|deadline)|expect|server|not-executed|instance-id|affinity|cold)"
    r"|rows-(tx|get|feed|parts)|caperdyke/(resolve|readiness)|CAPERDYKE_NODE_FILE"
    r"|caperdyke-tenant|tenants|apiKeys|ratePerS|strictRevocation|revokeMs"
    r"|latencyObjectiveMs|coldRemainingMs|trafficSplit|homeRegions|maxAttempts|tombstone",
    re.IGNORECASE,
)
# Key that the project adds to the ASGI scope; it is not a header.
SCOPE_KEY = "caperdyke.target"


class BoundaryTest(testtools.TestCase):
    """Names of the platform's headers, calls and fields."""

    def test_no_name_outside(self) -> None:
        folders = (ROOT / "src", ROOT / "testing", ROOT / "bench")
        for path in (file for folder in folders for file in folder.rglob("*.py")):
            if path.parent.name == "platform":
                continue
            for line in path.read_text().splitlines():
                self.assertIsNone(NAMES.search(line.replace(SCOPE_KEY, "")), f"{path.name}: {line}")
