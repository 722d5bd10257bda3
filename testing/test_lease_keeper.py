"""Any instance can renew the lease row, and concurrent writers do not drop each other's slices."""

import asyncio

import testtools

from caperdyke.protocol import messages
from caperdyke.state import member, timing
from caperdyke.transport import context, metrics
from caperdyke.transport.store import lease_keeper
from testing import builders, fakes, session

_METRICS = metrics.Metrics()


class FakeLink:
    """A link that delivers messages to another keeper at once."""

    def __init__(self, peer: member.Member, keepers: dict) -> None:
        self.peer = peer
        self._keepers = keepers
        self.reverse = None

    def send(self, message: messages.Message) -> None:
        """Passes a message to the keeper on the other side."""
        keeper = self._keepers[self.peer.instance]
        match message:
            case messages.RenewRequest():
                keeper.handle_renew_request(self.reverse, message)
            case messages.LeaseRenewed():
                keeper.handle_renewal(self.reverse, message)
            case messages.LeaseNews():
                keeper.handle_row(message.row)
            case messages.RowRequest():
                keeper.handle_row_request(self.reverse, message)


class FakeLinks:
    """Links of one keeper to the others; none while ``is_partitioned`` is set."""

    def __init__(self) -> None:
        self.links: dict[str, FakeLink] = {}
        self.is_partitioned = False

    def list_open(self) -> list[FakeLink]:
        """Returns the links."""
        return [] if self.is_partitioned else list(self.links.values())

    async def ensure_link(self, record: member.Member) -> FakeLink | None:
        """Returns the link to an instance."""
        return None if self.is_partitioned else self.links.get(record.instance)


class LeaseKeeperTest(testtools.TestCase):
    """Two instances of one failure domain with two slices."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fakes.FakeClock()
        self.platform = fakes.FakePlatform()
        self.configuration = builders.make_configuration()
        self.keepers: dict[str, lease_keeper.LeaseKeeper] = {}
        self.links: dict[str, FakeLinks] = {}
        for name in ("one", "two"):
            self.add_keeper(name)
        for name, other in (("one", "two"), ("two", "one")):
            record = self.keepers[other]._node.own
            self.keepers[name]._node.members.merge(record)
            self.links[name].links[other] = FakeLink(record, self.keepers)
        self.links["one"].links["two"].reverse = self.links["two"].links["one"]
        self.links["two"].links["one"].reverse = self.links["one"].links["two"]

    def add_keeper(self, name: str) -> None:
        node = context.NodeContext(session.make_settings(name, "pasig-hall", ()), _METRICS)
        node.clock = self.clock
        node.platform = self.platform
        node.set_own_record(builders.make_member(name))
        node.configuration_table.adopt(self.clock.now, self.configuration)
        self.links[name] = FakeLinks()
        self.keepers[name] = lease_keeper.LeaseKeeper(node, self.links[name])

    def run_rounds(self, count: int, names: tuple[str, ...] = ("one", "two")) -> None:
        for _ in range(count):
            for name in names:
                node = self.keepers[name]._node
                node.configuration_table.confirm(self.configuration.revision, self.clock.now)
                asyncio.run(self.keepers[name].renew_once())
            self.clock.now += timing.LEASE_RENEWAL_INTERVAL_SECONDS

    def count_held(self, name: str) -> int:
        node = self.keepers[name]._node
        return len(node.shares.list_holdings(self.clock.now, node.configuration_table))

    def test_both_hold_a_slice_and_keep_it(self) -> None:
        self.run_rounds(4)
        self.assertEqual((1, 1), (self.count_held("one"), self.count_held("two")))
        version = self.keepers["one"]._node.shares.row.version
        self.run_rounds(4)
        self.assertEqual((1, 1), (self.count_held("one"), self.count_held("two")))
        self.assertEqual(version + 4, self.keepers["two"]._node.shares.row.version)

    def test_lost_answers_and_outages_take_no_slice_away(self) -> None:
        self.run_rounds(4)
        for faults in (["", "lose"], ["", "drop"], ["down"], ["drop"]):
            self.platform.faults = list(faults)
            self.run_rounds(1)
            self.platform.faults = []
            self.run_rounds(1)
            self.assertEqual((1, 1), (self.count_held("one"), self.count_held("two")), faults)

    def test_slices_of_a_gone_instance_move_to_the_other(self) -> None:
        self.run_rounds(4)
        survivor = self.keepers["one"]._node
        survivor.members.merge(builders.make_member("two", state=member.MemberState.GONE))
        self.run_rounds(10, ("one",))
        rest = [part.rest_holder.instance for part in survivor.shares.row.slices]
        self.assertEqual(["one", "one"], rest)

    def test_partition_between_two_writers_takes_no_slice_away(self) -> None:
        self.run_rounds(4)
        for links in self.links.values():
            links.is_partitioned = True
        self.run_rounds(8)
        self.assertEqual((1, 1), (self.count_held("one"), self.count_held("two")))

    def test_writer_without_platform_is_replaced(self) -> None:
        self.run_rounds(4)
        for name in ("one", "two"):
            isolated = self.keepers[name]._node
            isolated.platform = fakes.FakePlatform()
            isolated.platform.faults = ["down"] * 100
            self.run_rounds(8)
            self.assertEqual((1, 1), (self.count_held("one"), self.count_held("two")), name)
            isolated.platform = self.platform
            self.run_rounds(4)

    def test_released_slices_go_to_the_other_instance(self) -> None:
        self.run_rounds(4)
        asyncio.run(self.keepers["two"].release())
        self.assertEqual(0, self.count_held("two"))
        self.keepers["two"]._node.key_table.seal()
        gone_member = builders.make_member("two", state=member.MemberState.GONE)
        self.keepers["one"]._node.members.merge(gone_member)
        self.run_rounds(3)
        self.assertEqual(2, self.count_held("one"))

    def test_late_instance_gets_a_slice_from_one_that_holds_all(self) -> None:
        # An instance that is not the first choice writes after two renewal intervals of silence.
        self.run_rounds(8, ("one",))
        self.assertEqual(2, self.count_held("one"))
        self.run_rounds(6)
        self.assertEqual((1, 1), (self.count_held("one"), self.count_held("two")))

    def test_isolated_instance_falls_to_its_floor(self) -> None:
        self.run_rounds(4)
        self.clock.now += timing.REST_LEASE_SECONDS
        node = self.keepers["one"]._node
        node.configuration_table.confirm(self.configuration.revision, self.clock.now)
        (held,) = node.shares.list_holdings(self.clock.now, node.configuration_table)
        self.assertEqual((True, False), (held.floor, held.rest))
