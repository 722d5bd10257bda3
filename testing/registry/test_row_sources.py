"""Choice of the instances to request missing rows from."""

import testtools

from caperdyke.coordination.registry import fleet, row_sources
from caperdyke.state import ids, member, store_rows

TABLE = store_rows.StoreTable.CONFIGURATION
HOME = ids.DomainName("home")


def make_source(name: str, domain: str = "away", number: int = 5, last_seen_at: float = 0.0):
    """Returns an instance that announced changes up to a position."""
    address = ids.Address(f"{name}:1")
    record = member.Member(
        ids.InstanceId(name),
        ids.Incarnation(1),
        ids.DomainName(domain),
        address,
        address,
        member.MemberState.LIVE,
    )
    changed = {TABLE: store_rows.Position(1, number)}
    return fleet.PeerInstance(record, last_seen_at=last_seen_at, changed=changed)


class RowSourcesTest(testtools.TestCase):
    """An instance whose table is behind several others."""

    def test_own_failure_domain_is_preferred(self) -> None:
        ahead = [make_source("far", number=9), make_source("near", "home")]
        self.assertEqual("near:1", row_sources.RowSources().choose(1.0, ahead, HOME, TABLE))

    def test_newest_position_and_then_latest_announcement_is_preferred(self) -> None:
        ahead = [
            make_source("old", number=4, last_seen_at=3.0),
            make_source("quiet", last_seen_at=1.0),
            make_source("heard", last_seen_at=2.0),
        ]
        self.assertEqual("heard:1", row_sources.RowSources().choose(4.0, ahead, HOME, TABLE))

    def test_further_requests_start_while_the_first_is_pending(self) -> None:
        ahead = [make_source(name) for name in ("a", "b", "c", "d")]
        sources, now, requested = row_sources.RowSources(), 1.0, []
        for _ in ahead:
            address = sources.choose(now, ahead, HOME, TABLE)
            if address is not None:
                sources.record_request_start(now, address)
                requested.append(address)
            self.assertIsNone(sources.choose(now, ahead, HOME, TABLE))
            now += row_sources.REQUEST_INTERVAL_SECONDS
        self.assertEqual(["a:1", "b:1", "c:1"], requested)

    def test_failed_source_is_ranked_last(self) -> None:
        ahead = [make_source("dead", "home", number=9), make_source("alive")]
        sources = row_sources.RowSources()
        sources.record_request_start(1.0, ids.Address("dead:1"))
        sources.record_failed(1.5, ids.Address("dead:1"))
        self.assertEqual("alive:1", sources.choose(2.0, ahead, HOME, TABLE))
        self.assertEqual("dead:1", sources.choose(2.0, ahead[:1], HOME, TABLE))
        later = 1.5 + row_sources.AVOID_SECONDS
        self.assertEqual("dead:1", sources.choose(later, ahead, HOME, TABLE))
