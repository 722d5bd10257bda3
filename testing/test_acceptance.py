"""Proposals are validated against the whole configuration."""

import parameterized
import testtools

from caperdyke import errors
from caperdyke.coordination import acceptance
from caperdyke.protocol import frames, records
from caperdyke.state import configuration as configurations
from caperdyke.state import timing
from testing import builders

OTHER_PLACES = """
[places]
operator = kestrelveld
[domain jhb-midrand]
region = gauteng
capacity = 100
slices = 1
[loan tala]
gauteng = 30
"""
GAUTENG = "\n[region gauteng]\nshare = {share}\nfloor = 0\nshift = 0\n"
# Case, replaced text of the contract, replacement, part of the expected problem.
REFUSED = [
    ("share_above_capacity", "share = 120", "share = 201", "capacity 200"),
    ("floor_above_share", "floor = 60", "floor = 121", "at most share 120"),
    ("shift_above_cap", "shift_cap = 50", "shift_cap = 49", "shift_cap 49"),
    ("unknown_region", "[region luzon]", "[region mindanao]", "not in any operator's places"),
    ("unknown_service", "never = checkout", "never = chekout", "unknown service chekout"),
    ("long_period", "period_ms = 1000", "period_ms = 2000", "at most 1000"),
    ("region_of_others", "never = checkout", "never =" + GAUTENG.format(share=31), "the 30 that"),
]


def add_other_places(configuration):
    """Returns the next revision with the other operator's places."""
    proposal = builders.make_proposal(OTHER_PLACES, "other", "kestrelveld")
    return acceptance.accept(20.0, configuration, proposal)


class AcceptTest(testtools.TestCase):
    """Consistent proposals are accepted; others are refused with the problems."""

    @parameterized.parameterized.expand(REFUSED)
    def test_refuses(self, _name, old, new, expected) -> None:
        configuration = add_other_places(builders.make_configuration())
        text = builders.CONTRACT_TEXT.replace(old, new)
        proposal = builders.make_proposal(text, "change-9", base=2)
        error = self.assertRaises(
            errors.ProposalError, acceptance.accept, 30.0, configuration, proposal
        )
        self.assertIn(expected, str(error))

    def test_accepts_a_share_within_the_loan(self) -> None:
        configuration = add_other_places(builders.make_configuration())
        text = builders.CONTRACT_TEXT + GAUTENG.format(share=30)
        proposal = builders.make_proposal(text, "change-9", base=2)
        changed = acceptance.accept(30.0, configuration, proposal)
        self.assertEqual(4, changed.revision)
        self.assertEqual(30.0 + timing.IN_FORCE_DELAY_SECONDS, changed.in_force_at)

    def test_lender_cannot_reduce_a_loan_below_its_claims(self) -> None:
        configuration = add_other_places(builders.make_configuration())
        text = builders.CONTRACT_TEXT + GAUTENG.format(share=30)
        claimed = acceptance.accept(
            30.0, configuration, builders.make_proposal(text, "change-9", base=2)
        )
        reduced = OTHER_PLACES.replace("gauteng = 30", "gauteng = 29")
        proposal = builders.make_proposal(reduced, "change-10", "kestrelveld", base=3)
        error = self.assertRaises(errors.ProposalError, acceptance.accept, 40.0, claimed, proposal)
        self.assertIn("claim 30", str(error))

    def test_refuses_an_edit_of_an_outdated_text_and_shows_both_texts(self) -> None:
        configuration = builders.make_configuration()
        text = builders.CONTRACT_TEXT.replace("share = 120", "share = 110")
        proposal = builders.make_proposal(text, "change-3", base=1)
        error = self.assertRaises(
            errors.ProposalError, acceptance.accept, 30.0, configuration, proposal
        )
        self.assertIn("share = 120", str(error))
        self.assertIn("share = 110", str(error))

    def test_refuses_the_contract_of_another_operator(self) -> None:
        configuration = builders.make_configuration()
        proposal = builders.make_proposal(builders.CONTRACT_TEXT, "change-3", "kestrelveld", base=2)
        self.assertRaises(errors.ProposalError, acceptance.accept, 30.0, configuration, proposal)

    def test_limit_cannot_fall_below_a_floor_that_may_be_in_use(self) -> None:
        configuration = builders.make_configuration()
        error = self.assertRaises(
            errors.ProposalError,
            builders.change_contract,
            configuration,
            30.0,
            "share = 120\nfloor = 60",
            "share = 50\nfloor = 50",
        )
        self.assertIn("lower the floor first", str(error))
        lowered = builders.change_contract(configuration, 30.0, "floor = 60", "floor = 10")
        self.assertRaises(
            errors.ProposalError,
            builders.change_contract,
            lowered,
            40.0,
            "share = 120",
            "share = 50",
        )
        until = max(item.until for item in lowered.standing_floors)
        changed = builders.change_contract(lowered, until + 1, "share = 120", "share = 50")
        self.assertEqual((), changed.standing_floors)

    def test_period_of_a_customer_cannot_change(self) -> None:
        configuration = builders.make_configuration()
        self.assertRaises(
            errors.ProposalError,
            builders.change_contract,
            configuration,
            30.0,
            "period_ms = 1000",
            "period_ms = 500",
        )

    def test_in_force_time_never_decreases_although_clocks_differ(self) -> None:
        configuration = builders.make_configuration()
        changed = builders.change_contract(configuration, 5.0, "share = 120", "share = 110")
        self.assertGreaterEqual(changed.in_force_at, configuration.in_force_at)


class RecordsTest(testtools.TestCase):
    """Every instance builds the same configuration from snapshots and changes."""

    def test_snapshot_round_trip(self) -> None:
        lowered = builders.change_contract(
            builders.make_configuration(), 30.0, "floor = 60", "floor = 10"
        )
        data = frames.encode_record(records.make_snapshot(lowered))
        restored = records.restore_configuration(frames.decode_record(records.Snapshot, data))
        self.assertEqual(lowered, restored)

    def test_change_must_follow_the_current_revision(self) -> None:
        change = records.Change(
            5, "c", "tala", 1.0, 4.0, configurations.DocumentKind.CONTRACT, "x", ""
        )
        self.assertRaises(
            errors.ProtocolError, records.apply_change, builders.make_configuration(), change
        )
