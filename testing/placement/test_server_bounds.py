"""Requests of a fleet to one server that advertises a limit, on a simulated clock."""

import itertools
import random

import testtools
from parameterized import parameterized

from caperdyke.coordination.registry import fleet
from caperdyke.state import backend, header_fields, ids, member, name_hashes
from caperdyke.transport.gateway import server_bounds
from testing.placement import fleet_views

SERVER = backend.BackendServer(
    fleet_views.SERVER, fleet_views.SERVER_DOMAIN, ids.ServiceName("a"), ids.Address("a:1"), 8
)
ADVERTISED_AT = 100.0
WINDOW_S = 4.0
TICK_S = 0.05


class SimulatedFleet:
    """Instances that send to one server as often as they may.

    :param count: number of instances.
    :param limit: limit that the server advertises, in requests a second.
    :param delay: longest time, in seconds, until an instance receives an answer with the limit.
    :param rate: requests a second that callers send for the server.
    """

    def __init__(self, count: int, limit: float, delay: float, rate: float, seed: int = 1) -> None:
        self.now = ADVERTISED_AT - 20.0
        self.rate = rate
        self.report = header_fields.AdvertisedLimit(limit)
        self.random = random.Random(seed)
        domains = itertools.cycle(list(fleet_views.REGIONS)[:6])
        own = [
            member.Member(
                ids.InstanceId(f"gateway-{number}"),
                ids.Incarnation(1),
                next(domains),
                ids.Address(f"g{number}:1"),
                ids.Address(f"g{number}:2"),
                member.MemberState.LIVE,
            )
            for number in range(count)
        ]
        self.fleets = [fleet.Fleet(record, fleet_views.REGIONS) for record in own]
        self.bounds = [
            server_bounds.ServerBounds(item, fleet_views.REGIONS, 60.0) for item in self.fleets
        ]
        self.received_at = [ADVERTISED_AT + self.random.uniform(0.2, delay) for _ in own]
        self.leaving: set[ids.InstanceId] = set()
        self.has_urgent_change = False
        for item in self.bounds:
            item.on_urgent_change = self._record_urgent_change
        self.sent: list[float] = []
        for item in self.fleets:
            item.record_members_read(self.now)
        self.run(ADVERTISED_AT)

    def run(self, until: float) -> None:
        """Advances the clock, with announcements and requests in every tick."""
        while self.now < until:
            self.now = round(self.now + TICK_S, 2)
            self._announce()
            self._announce_urgent_change()
            for _ in range(self._draw_arrivals()):
                self._send(self.random.randrange(len(self.fleets)))

    def start_leaving(self, count: int) -> None:
        """Makes instances in the server's failure domain announce that they are leaving."""
        near = [item.own for item in self.fleets if item.own.domain == SERVER.domain]
        for record in near[:count]:
            self.leaving.add(record.instance)

    def _announce(self) -> None:
        for item in self.fleets:
            item.record_tick(self.now)
            for other in self.fleets:
                record = other.own
                if record.instance in self.leaving:
                    leaving = member.MemberState.LEAVING
                    record = member.Member(
                        record.instance,
                        record.incarnation,
                        record.domain,
                        record.peer_address,
                        record.caller_address,
                        leaving,
                    )
                if record.instance == item.own.instance:
                    item.own = record
                    continue
                item.merge(self.now, record)
                mark = name_hashes.hash_name(record.instance)
                item.record_announcement(self.now, mark, record.incarnation, True, 0.2)

    def _record_urgent_change(self) -> None:
        self.has_urgent_change = True

    def _announce_urgent_change(self) -> None:
        """Delivers the limits of all instances to all others after an urgent change."""
        if self.has_urgent_change:
            self.has_urgent_change = False
            for item in self.bounds:
                announced = item.limits.select_for_announcement(self.now)
                for other in self.bounds:
                    other.merge_announced(self.now, announced, {}, {})

    def _draw_arrivals(self) -> int:
        mean = self.rate * TICK_S
        return int(mean) + (self.random.random() < mean % 1)

    def _send(self, number: int) -> None:
        bounds, now = self.bounds[number], self.now
        if bounds.find_next_send_time(now, SERVER, None) > now:
            return
        bounds.record_send(now, SERVER.backend)
        self.sent.append(now)
        if now >= self.received_at[number]:
            bounds.record_answer(now, SERVER.backend, self.report, now, True)

    def deliver_limit(self) -> None:
        """Delivers the first answer with the limit to each instance."""
        for at, bounds in sorted(
            zip(self.received_at, self.bounds, strict=True), key=lambda i: i[0]
        ):
            self.run(at)
            bounds.record_answer(at, SERVER.backend, self.report, at, True)

    def count_max(self) -> int:
        """Returns the most requests in a window that begins after the limit was advertised."""
        starts = [at for at in self.sent if at >= ADVERTISED_AT]
        return max(sum(start <= at < start + WINDOW_S for at in self.sent) for start in starts)


class FirstWindowTest(testtools.TestCase):
    """The window in which some instances have not received the limit yet."""

    @parameterized.expand(list(itertools.product((2.4, 3.8, 4.7), (15.0, 25.0), (1, 2, 3))))
    def test_requests_before_the_limit_was_received_count(self, limit, rate, seed) -> None:
        """Pattern: a busy server advertises a limit; some receive it as late as after 2.5 s."""
        simulated = SimulatedFleet(10, limit, 2.5, rate, seed)
        simulated.deliver_limit()
        simulated.run(ADVERTISED_AT + 12.0)
        got, allowed = simulated.count_max(), 1.5 * limit * WINDOW_S + 5
        self.assertTrue(got <= allowed, f"got {got}, allowed {allowed}")

    @parameterized.expand([(1,), (2,), (3,)])
    def test_leaving_instance_does_not_double_the_limit(self, seed) -> None:
        """Pattern: an instance with one of the largest quotas leaves; others take it over."""
        simulated = SimulatedFleet(10, 3.8, 2.5, 25.0, seed)
        simulated.deliver_limit()
        simulated.run(ADVERTISED_AT + 10.0)
        simulated.start_leaving(1)
        simulated.run(ADVERTISED_AT + 20.0)
        got, allowed = simulated.count_max(), 1.5 * 3.8 * WINDOW_S + 5
        self.assertTrue(got <= allowed, f"got {got}, allowed {allowed}")
