"""Changes are accepted exactly once despite platform failures and concurrent changes."""

import asyncio

import parameterized
import testtools

from caperdyke import errors
from caperdyke.protocol import records
from caperdyke.transport.store import change_writer
from testing import builders, fakes

# Name, faults of the coming calls (an attempt makes two reads and a write), whether the change is
# accepted; None for an unknown outcome.
FAULTS = [
    ("none", [], True),
    ("answer_lost_after_the_write", ["", "", "lose"], True),
    ("answer_lost_before_the_write", ["", "", "drop"], True),
    ("lost_twice", ["", "", "drop", "", "", "lose"], True),
    ("read_fails", ["down", "drop", "down"], True),
    ("read_back_fails", ["", "", "lose", "down", "drop"], True),
    ("down_for_good", ["down"] * 200, False),
    ("unknown_for_good", ["", "", "lose", *["down"] * 200], None),
]


class ChangeWriterTest(testtools.TestCase):
    """Applying changes with scripted faults of the platform."""

    def setUp(self) -> None:
        super().setUp()
        self.platform = fakes.FakePlatform()
        self.clock = fakes.FakeClock(100.0)
        self.writer = change_writer.ChangeWriter(self.platform, self._advance_clock)
        self.patch(change_writer, "RETRY_SECONDS", 0)

    def _advance_clock(self) -> float:
        self.clock.now += 0.1
        return self.clock.now

    def apply(self, text: str, change_id: str, base: int | None = None, operator: str = "tala"):
        draft = change_writer.Draft(change_id, operator, "d.ini", text, base)
        return self.writer.apply(draft, self.clock.now + 5.0)

    def count_changes(self) -> int:
        return sum(1 for key in self.platform.rows if key.startswith("config/change/"))

    @parameterized.parameterized.expand(FAULTS)
    def test_faults(self, _name, faults, is_accepted) -> None:
        asyncio.run(self.apply(builders.PLACES_TEXT, "places"))
        self.platform.faults = list(faults)
        applied = self.apply(builders.CONTRACT_TEXT, "contract")
        if is_accepted:
            self.assertEqual(2, asyncio.run(applied).revision)
        else:
            expected = (
                errors.OutcomeUnknownError
                if is_accepted is None
                else errors.PlatformUnavailableError
            )
            self.assertRaises(expected, asyncio.run, applied)
        self.platform.faults = []
        repeated = asyncio.run(self.apply(builders.CONTRACT_TEXT, "contract"))
        self.assertEqual((2, 2), (repeated.revision, self.count_changes()))

    def test_change_is_checked_again_after_a_concurrent_one(self) -> None:
        asyncio.run(self.apply(builders.PLACES_TEXT, "places"))
        other = "[places]\noperator = kestrelveld\n[domain x]\nregion = r\ncapacity = 1\nslices = 1"

        async def interfere() -> None:
            await self.apply(other, "other", operator="kestrelveld")

        self.platform.before_write = interfere
        accepted = asyncio.run(self.apply(builders.CONTRACT_TEXT, "contract"))
        self.assertEqual(3, accepted.revision)
        history = asyncio.run(self.writer.read_history(10))
        self.assertEqual(["contract", "other", "places"], [item.change_id for item in history])

    def test_concurrent_change_of_one_document_is_refused_with_both_texts(self) -> None:
        asyncio.run(self.apply(builders.PLACES_TEXT, "places"))
        asyncio.run(self.apply(builders.CONTRACT_TEXT, "contract"))
        first = builders.CONTRACT_TEXT.replace("share = 120", "share = 110")
        second = builders.CONTRACT_TEXT.replace("share = 120", "share = 100")

        async def interfere() -> None:
            await self.apply(first, "first", base=2)

        self.platform.before_write = interfere
        error = self.assertRaises(
            errors.ProposalError, asyncio.run, self.apply(second, "second", base=2)
        )
        self.assertIn("share = 110", str(error))
        self.assertIn("share = 100", str(error))

    def test_snapshot_and_changes_agree(self) -> None:
        asyncio.run(self.apply(builders.PLACES_TEXT, "places"))
        asyncio.run(self.apply(builders.CONTRACT_TEXT, "contract"))
        current, _ = asyncio.run(self.writer.read_current())
        configuration = change_writer.configurations.EMPTY
        for change in reversed(asyncio.run(self.writer.read_history(10))):
            configuration = records.apply_change(configuration, change)
        self.assertEqual(current, configuration)
