"""Decisions about requests with an idempotency key, case by case."""

import dataclasses

import parameterized
import testtools

from caperdyke.coordination import membership, ownership
from caperdyke.state import keys, member, outcome
from testing import builders

FINGERPRINT = b"print"
HEAD = outcome.AnswerHead(200, ())
STATES = member.MemberState


@dataclasses.dataclass(frozen=True)
class KeyCase:
    """One case.

    :param record: state of the key's record at this instance, or None.
    :param owner: state of the owner's member record, or None where this instance is the owner.
    :param expected: class of the decision, or the outcome and reason of the refusal.
    """

    expected: type | tuple[outcome.Outcome, outcome.Reason]
    record: keys.KeyState | None = None
    body: bytes | None = b"answer"
    fingerprint: bytes = FINGERPRINT
    now: float = 50.0
    is_sealed: bool = False
    owner: STATES | None = None
    is_owner_lost: bool = False
    incarnation: int = 1
    successor: str = ""
    adopted: bool = False


UNKNOWN = outcome.Outcome.UNKNOWN
NOT_RUN = outcome.Outcome.NOT_RUN
REASON = outcome.Reason
CASES = [
    ("fresh", KeyCase(ownership.RunHere)),
    ("running", KeyCase(ownership.Join, keys.KeyState.RUNNING)),
    ("answered", KeyCase(ownership.Replay, keys.KeyState.ANSWERED)),
    ("answer_too_large", KeyCase((UNKNOWN, REASON.KEY_OUTCOME_LOST), keys.KeyState.ANSWERED, None)),
    ("outcome_unknown", KeyCase((UNKNOWN, REASON.KEY_OUTCOME_LOST), keys.KeyState.UNKNOWN)),
    ("other_request", KeyCase((NOT_RUN, REASON.KEY_MISMATCH), keys.KeyState.ANSWERED, b"", b"x")),
    ("expired", KeyCase((UNKNOWN, REASON.KEY_EXPIRED), now=100.0)),
    ("expired_but_known", KeyCase(ownership.Replay, keys.KeyState.ANSWERED, now=100.0)),
    ("sealed", KeyCase((NOT_RUN, REASON.INSTANCE_LEAVING), is_sealed=True)),
    ("sealed_but_known", KeyCase(ownership.Replay, keys.KeyState.ANSWERED, is_sealed=True)),
    ("owner_live", KeyCase(ownership.Delegate, owner=STATES.LIVE)),
    ("owner_leaving", KeyCase(ownership.Delegate, owner=STATES.LEAVING)),
    ("owner_lost",
     KeyCase((UNKNOWN, REASON.KEY_OWNER_GONE), owner=STATES.LIVE, is_owner_lost=True)),
    ("owner_restarted",
     KeyCase((UNKNOWN, REASON.KEY_OWNER_GONE), owner=STATES.LIVE, incarnation=2)),
    ("owner_gone", KeyCase((UNKNOWN, REASON.KEY_OWNER_GONE), owner=STATES.GONE)),
    ("handed_over", KeyCase(ownership.Delegate, owner=STATES.GONE, successor="three")),
    ("handed_over_early", KeyCase(ownership.Delegate, owner=STATES.LEAVING, successor="three")),
    ("successor_unknown",
     KeyCase((UNKNOWN, REASON.KEY_OWNER_GONE), owner=STATES.GONE, successor="x")),
    ("successor_here_without_memory",
     KeyCase((UNKNOWN, REASON.KEY_OWNER_GONE), owner=STATES.GONE, successor="me")),
    ("adopted_fresh", KeyCase(ownership.RunHere, owner=STATES.GONE, successor="me", adopted=True)),
    ("adopted_known", KeyCase(ownership.Replay, keys.KeyState.ANSWERED, owner=STATES.GONE,
                              successor="me", adopted=True)),
    ("successors_in_a_ring",
     KeyCase((UNKNOWN, REASON.KEY_OWNER_GONE), owner=STATES.GONE, successor="one")),
]  # fmt: skip


class DecideKeyTest(testtools.TestCase):
    """A key runs at most once, and "not run" is reported only where it is certain."""

    @parameterized.parameterized.expand(CASES)
    def test_decides(self, _name, case: KeyCase) -> None:
        name = "one" if case.owner is not None else "me"
        key = builders.make_key(name)
        members = membership.MemberTable(builders.make_member("me"))
        members.merge(builders.make_member("three"))
        if case.owner is not None:
            members.merge(
                builders.make_member(
                    name, state=case.owner, incarnation=case.incarnation, successor=case.successor
                )
            )
        if case.is_owner_lost:
            members.mark_failed(case.now, key.owner.instance)
        decision = ownership.decide_key(
            case.now, key, case.fingerprint, self._make_key_table(case, key), members
        )
        if isinstance(case.expected, type):
            self.assertIsInstance(decision, case.expected)
        else:
            refusal = decision.refusal
            self.assertEqual(case.expected, (refusal.outcome, refusal.reason))

    def test_owner_delegates_to_its_successor_after_a_handover(self) -> None:
        own = builders.make_member("me", state=STATES.LEAVING, successor="three")
        members = membership.MemberTable(own)
        members.merge(builders.make_member("three"))
        key_table = keys.KeyTable()
        key_table.seal()
        decision = ownership.decide_key(
            50.0, builders.make_key("me"), FINGERPRINT, key_table, members
        )
        self.assertEqual("three", decision.instance)

    def test_record_outlives_every_use_of_its_key(self) -> None:
        key = builders.make_key(expires_at=100_000)
        self.assertGreater(ownership.compute_forget_time(key, 10.0, 14.0), 100.0)
        self.assertGreater(ownership.compute_forget_time(key, 99.0, 200.0), 200.0)

    def _make_key_table(self, case: KeyCase, key: keys.RequestKey) -> keys.KeyTable:
        key_table = keys.KeyTable()
        records = []
        if case.record is not None:
            records.append(keys.KeyRecord(key, FINGERPRINT, case.record, 500.0, HEAD, case.body))
        if case.adopted:
            key_table.adopt(key.owner, records)
        else:
            for record in records:
                key_table.put(record)
        if case.is_sealed:
            key_table.seal()
        return key_table


class KeyTableTest(testtools.TestCase):
    """Records are removed when they expire, and no earlier."""

    def test_removes_only_expired_records(self) -> None:
        key_table = keys.KeyTable()
        for sequence, forget_at in ((1, 10.0), (2, 20.0)):
            key = builders.make_key(sequence=sequence)
            key_table.put(keys.KeyRecord(key, FINGERPRINT, keys.KeyState.UNKNOWN, forget_at))
        self.assertEqual(1, key_table.remove_expired(10.0))
        self.assertIsNone(key_table.find(builders.make_key(sequence=1)))
        self.assertIsNotNone(key_table.find(builders.make_key(sequence=2)))
