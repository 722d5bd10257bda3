"""A fleet's sends to one server that names a limit, on one simulated clock."""

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
NAMED_AT = 100.0
WINDOW_SECONDS = 4.0
TICK_SECONDS = 0.05


class FleetOfBounds:
    """Instances that send to one server as often as they may.

    :param count: instances.
    :param delay: longest time until an instance gets an answer that names the limit, in seconds.
    :param rate: requests a second that callers have for the server.
    """

    def __init__(self, count: int, limit: float, delay: float, rate: float, seed: int = 1) -> None:
        self.now = NAMED_AT - 20.0
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
        self.announced_at = [NAMED_AT + self.random.uniform(0.2, delay) for _ in own]
        self.leaving: set[ids.InstanceId] = set()
        self.is_news = False
        for item in self.bounds:
            item.on_urgent_change = self._record_news
        self.sent: list[float] = []
        for item in self.fleets:
            item.record_members_read(self.now)
        self.run(NAMED_AT)

    def run(self, until: float) -> None:
        """Lets time pass."""
        while self.now < until:
            self.now = round(self.now + TICK_SECONDS, 2)
            self._announce()
            self._pass_news_on()
            for _ in range(self._draw_arrivals()):
                self._send(self.random.randrange(len(self.fleets)))

    def leave(self, count: int) -> None:
        """Lets the instances that come first for the server leave."""
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

    def _record_news(self) -> None:
        self.is_news = True

    def _pass_news_on(self) -> None:
        """Lets instances that heard something new tell all others with the next tick."""
        if self.is_news:
            self.is_news = False
            for item in self.bounds:
                told = item.limits.select_for_announcement(self.now)
                for other in self.bounds:
                    other.merge_announced(self.now, told, {}, {})

    def _draw_arrivals(self) -> int:
        mean = self.rate * TICK_SECONDS
        return int(mean) + (self.random.random() < mean % 1)

    def _send(self, number: int) -> None:
        bounds, now = self.bounds[number], self.now
        if bounds.find_next_send_time(now, SERVER, None) > now:
            return
        bounds.record_send(now, SERVER.backend)
        self.sent.append(now)
        if now >= self.announced_at[number]:
            bounds.record_answer(now, SERVER.backend, self.report, now, True)

    def tell(self) -> None:
        """Lets each instance get its first answer with the limit."""
        for at, bounds in sorted(
            zip(self.announced_at, self.bounds, strict=True), key=lambda i: i[0]
        ):
            self.run(at)
            bounds.record_answer(at, SERVER.backend, self.report, at, True)

    def count_most(self) -> int:
        """Returns the most requests in a window that begins after the limit was named."""
        starts = [at for at in self.sent if at >= NAMED_AT]
        return max(
            sum(start <= at < start + WINDOW_SECONDS for at in self.sent) for start in starts
        )


class FirstWindowTest(testtools.TestCase):
    """What is sent before all have heard of a limit counts."""

    @parameterized.expand(list(itertools.product((2.4, 3.8, 4.7), (15.0, 25.0), (1, 2, 3))))
    def test_requests_before_an_instance_heard_of_the_limit_count(self, limit, rate, seed) -> None:
        """Pattern: a busy server names a limit, and some get their first answer after 2.5 s."""
        played = FleetOfBounds(10, limit, 2.5, rate, seed)
        played.tell()
        played.run(NAMED_AT + 12.0)
        got, allowed = played.count_most(), 1.5 * limit * WINDOW_SECONDS + 5
        self.assertTrue(got <= allowed, f"got {got}, allowed {allowed}")

    @parameterized.expand([(1,), (2,), (3,)])
    def test_instances_that_leave_do_not_double_the_limit(self, seed) -> None:
        """Pattern: the instance with the largest part leaves, and others take its part over."""
        played = FleetOfBounds(10, 3.8, 2.5, 25.0, seed)
        played.tell()
        played.run(NAMED_AT + 10.0)
        played.leave(1)
        played.run(NAMED_AT + 20.0)
        got, allowed = played.count_most(), 1.5 * 3.8 * WINDOW_SECONDS + 5
        self.assertTrue(got <= allowed, f"got {got}, allowed {allowed}")
