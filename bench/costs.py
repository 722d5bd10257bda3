"""Measures the recurring operations of one instance, by the size of the fleet and of a service."""

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
# Backend servers for which each instance announces a request in flight.
ANNOUNCED_LOADS = 6


class Instance:
    """One instance with the records of a fleet and of the servers of one service."""

    def __init__(self, instances: int, servers: int) -> None:
        self.now = fleet_harness.START
        harness = fleet_harness.FleetHarness(1)
        self.node = harness.nodes[0]
        self.node.now = lambda: self.now
        self.route = fleet_harness.make_route()
        domains = list(fleet_harness.DOMAINS)
        for number in range(servers):
            backend_server = backend.BackendServer(
                ids.BackendId(f"i-{number:08x}"),
                ids.DomainName(domains[number % len(domains)]),
                SERVICE,
                ids.Address("127.0.0.1:1"),
                3,
            )
            ready = registration.RegistrationState.READY
            entry = registration.Registration(backend_server, ready, 1, 1, 0.0)
            self.node.servers.merge(self.now, entry, store_rows.Position(0, 1))
        self.node.servers.mark_all_preexisting()
        self.node.refresh_servers()
        for server_record in self.node.servers.list_all():
            self.node.find_view(server_record.registration.server.backend)
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
            for step in range(ANNOUNCED_LOADS)
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
        """Receives one announcement from each other instance."""
        for data in self.datagrams:
            self.announcer.datagram_received(data, ("127.0.0.1", 9))

    def tick(self) -> None:
        """Advances the clock by one tick and runs the periodic update of the fleet view."""
        self.now += announcer.TICK_SECONDS
        self.announcer.update_fleet_view(self.now)

    def select(self, number: int) -> selection.Selection:
        """Selects a server for a request.

        :param number: number of the object that the request is for.
        """
        key = ids.ObjectKey(str(number))
        requirements = selection.Requirements(SERVICE, key, self.now + 3.0, self.now + 0.5, 0.02)
        candidates = self.node.list_candidates(SERVICE, key, self.route)
        times = self.node.times.find(self.route.name, 0.5)
        return selection.select_server(self.now, requirements, candidates, times)


def measure(action, count: int) -> float:
    """Returns the mean processor time of a call, in microseconds."""
    started_at = time.process_time()
    for number in range(count):
        action(number)
    return (time.process_time() - started_at) / count * 1e6


def main() -> None:
    """Prints the costs by number of servers and by number of instances."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeat", type=int, default=200, help="calls for each figure")
    repeat = parser.parse_args().repeat
    print("| servers | choice, new object, us | choice, known object, us |")
    print("| ---: | ---: | ---: |")
    for count in SERVER_COUNTS:
        instance = Instance(1, count)
        new_object_us = measure(instance.select, OBJECTS)
        known_object_us = measure(
            lambda number, instance=instance: instance.select(number % OBJECTS), repeat
        )
        print(f"| {count} | {new_object_us:.0f} | {known_object_us:.0f} |", flush=True)
    print("\n| instances | tick, us | announcement heard, us | told, us | refresh, us |")
    print("| ---: | ---: | ---: | ---: | ---: |")
    for count in INSTANCE_COUNTS:
        instance = Instance(count, 385)
        tick_us = measure(lambda _number, instance=instance: instance.tick(), repeat)
        rounds = max(1, repeat // count)
        receipt_us = measure(lambda _number, instance=instance: instance.receive_all(), rounds) / (
            count - 1
        )
        encoding_us = measure(
            lambda _number, instance=instance: announcements.encode_announcement(
                instance.announcer._make(250, False, False)
            ),
            repeat,
        )
        refresh_us = measure(
            lambda _number, instance=instance: instance.node.refresh_servers(), repeat
        )
        print(
            f"| {count} | {tick_us:.0f} | {receipt_us:.0f}"
            f" | {encoding_us:.0f} | {refresh_us:.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
