"""Times what one instance does again and again, by the size of the fleet and of a service."""

import argparse
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from caperdyke.coordination.placement import selection
from caperdyke.protocol import announcements
from caperdyke.state import backend, ids, member, name_hashes, registration, store_rows
from caperdyke.transport.gateway import announcer, store_sync
from testing.platform import fleet_harness

SERVER_COUNTS = (15, 213, 2000)
INSTANCE_COUNTS = (10, 68, 195, 750)
SERVICE = fleet_harness.SERVICE
OBJECTS = 279
# Requests under way that each instance tells of.
LOAD_TOLD = 6


class Instance:
    """One instance that knows a fleet and the servers of one service."""

    def __init__(self, instances: int, servers: int) -> None:
        self.now = fleet_harness.START
        played = fleet_harness.FleetHarness(1)
        self.node = played.nodes[0]
        self.node.now = lambda: self.now
        self.route = fleet_harness.make_route()
        domains = list(fleet_harness.DOMAINS)
        for number in range(servers):
            described = backend.BackendServer(
                ids.BackendId(f"i-{number:08x}"),
                ids.DomainName(domains[number % len(domains)]),
                SERVICE,
                ids.Address("127.0.0.1:1"),
                3,
            )
            ready = registration.RegistrationState.READY
            entry = registration.Registration(described, ready, 1, 1, 0.0)
            self.node.servers.merge(self.now, entry, store_rows.Position(0, 1))
        self.node.servers.mark_all_preexisting()
        self.node.refresh_servers()
        for known in self.node.servers.list_all():
            self.node.find_view(known.registration.server.backend)
        self.announcer = announcer.Announcer(self.node, store_sync.StoreSync(self.node))
        self.datagrams = [self._add_instance(n, domains, servers) for n in range(1, instances)]
        self.receive_all()

    def _add_instance(self, number: int, domains: list[str], servers: int) -> bytes:
        name = ids.InstanceId(f"front-{number}")
        record = member.Member(
            name,
            ids.Incarnation(1),
            ids.DomainName(domains[number % len(domains)]),
            ids.Address("127.0.0.1:9"),
            ids.Address("127.0.0.1:10"),
            member.MemberState.LIVE,
        )
        self.node.fleet.merge(self.now, record)
        load = {
            name_hashes.hash_name(f"i-{(number * 7 + step) % servers:08x}"): 1
            for step in range(LOAD_TOLD)
        }
        return announcements.encode_announcement(
            announcements.Announcement(
                name_hashes.hash_name(name),
                ids.Incarnation(1),
                None,
                True,
                60_000,
                dict.fromkeys(announcements.FOLLOWED_TABLES, store_rows.FIRST_POSITION),
                -1,
                store_rows.FIRST_POSITION,
                load,
                {},
                {},
                {},
                False,
            )
        )

    def receive_all(self) -> None:
        """Takes one announcement of each other instance."""
        for data in self.datagrams:
            self.announcer.datagram_received(data, ("127.0.0.1", 9))

    def tick(self) -> None:
        """Does what is done between two announcements."""
        self.now += announcer.TICK_SECONDS
        self.announcer.update_fleet_view(self.now)

    def choose(self, number: int) -> selection.Selection:
        """Chooses a server for a request."""
        key = ids.ObjectKey(str(number))
        demand = selection.Requirements(SERVICE, key, self.now + 3.0, self.now + 0.5, 0.02)
        candidates = self.node.list_candidates(SERVICE, key, self.route)
        times = self.node.times.find(self.route.name, 0.5)
        return selection.select_server(self.now, demand, candidates, times)


def measure(action, count: int) -> float:
    """Returns the time of one call, in microseconds."""
    began = time.process_time()
    for number in range(count):
        action(number)
    return (time.process_time() - began) / count * 1e6


def main() -> None:
    """Prints two tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeat", type=int, default=200, help="calls for each figure")
    repeat = parser.parse_args().repeat
    print("| servers | choice, new object, us | choice, known object, us |")
    print("| ---: | ---: | ---: |")
    for count in SERVER_COUNTS:
        one = Instance(1, count)
        new = measure(one.choose, OBJECTS)
        known = measure(lambda number, one=one: one.choose(number % OBJECTS), repeat)
        print(f"| {count} | {new:.0f} | {known:.0f} |", flush=True)
    print("\n| instances | tick, us | announcement heard, us | told, us | refresh, us |")
    print("| ---: | ---: | ---: | ---: | ---: |")
    for count in INSTANCE_COUNTS:
        one = Instance(count, 385)
        tick = measure(lambda _number, one=one: one.tick(), repeat)
        rounds = max(1, repeat // count)
        heard = measure(lambda _number, one=one: one.receive_all(), rounds) / (count - 1)
        told = measure(
            lambda _number, one=one: announcements.encode_announcement(
                one.announcer._make(250, False, False)
            ),
            repeat,
        )
        refresh = measure(lambda _number, one=one: one.node.refresh_servers(), repeat)
        print(f"| {count} | {tick:.0f} | {heard:.0f} | {told:.0f} | {refresh:.0f} |", flush=True)


if __name__ == "__main__":
    main()
