"""Views that the instances of a fleet have of it during faults, for the tests of shared bounds."""

import collections
import functools
import random

from caperdyke.coordination.placement import shared_bounds
from caperdyke.state import ids

# Region of each failure domain; the server is in the first one.
REGIONS = {f"hall-{number}": f"region-{number // 3}" for number in range(9)}
SERVER = ids.BackendId("s1")
SERVER_DOMAIN = ids.DomainName("hall-0")

Views = dict[ids.InstanceId, list[shared_bounds.FleetView]]


class FleetViews:
    """The views that each instance has in the course of one window.

    :param count: number of instances; they are spread evenly over the failure domains.
    """

    def __init__(self, count: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        names = list(REGIONS)
        self.domains = {
            ids.InstanceId(f"gateway-{number}"): ids.DomainName(names[number % len(names)])
            for number in range(count)
        }
        self.views: Views = collections.defaultdict(list)
        self._positions: dict[ids.InstanceId, list] = {}
        self.instances = set(self.domains)
        self.add_views()

    def add_views(
        self,
        not_live: set[ids.InstanceId] = frozenset(),
        observers: set[ids.InstanceId] | None = None,
        is_announced: bool = False,
    ) -> None:
        """Adds one view to those of each observer.

        :param not_live: instances that are not live in this view.
        :param observers: instances that have this view; all except ``not_live`` if None.
        :param is_announced: whether the instances that are not live announced that they leave.
        """
        for name in self.instances - not_live if observers is None else observers:
            live = {k: v for k, v in self.domains.items() if k == name or k not in not_live}
            silent = {} if is_announced else {k: self.domains[k] for k in not_live - {name}}
            self.views[name].append(shared_bounds.make_fleet_view(name, live, silent))

    def find_first_ranked(self, count: int = 1) -> set[ids.InstanceId]:
        """Returns the instances with the first quota positions for the server."""
        ranks = {}
        for name in self.instances:
            fleet_view = shared_bounds.FleetView(name, self.domains, 1.0)
            ranks[name] = (
                shared_bounds.QuotaPositions().find(SERVER, SERVER_DOMAIN, fleet_view, REGIONS).rank
            )
        return set(sorted(ranks, key=ranks.get)[:count])

    def sum_quotas(self, bound: shared_bounds.Bound) -> int:
        """Returns the sum of all instances' quotas, each the largest over the instance's views."""
        if not self._positions:
            for name, fleet_views in self.views.items():
                self._positions[name] = [
                    (
                        shared_bounds.QuotaPositions().find(
                            SERVER, SERVER_DOMAIN, fleet_view, REGIONS
                        ),
                        fleet_view,
                    )
                    for fleet_view in fleet_views
                ]
        return sum(
            max(
                shared_bounds.compute_quota(bound, position, fleet_view)
                for position, fleet_view in positions
            )
            for positions in self._positions.values()
        )


@functools.cache
def simulate(fault: str, count: int, seed: int = 1) -> FleetViews:
    """Returns the views of a fleet in the window in which a fault has the largest effect."""
    fleet = FleetViews(count, seed)
    match fault:
        case "calm":
            pass
        case "first dead" | "first frozen and back":
            # An instance that was suspended sent nothing in the meantime, and it receives
            # announcements for a while before it uses its quota again.
            fleet.add_views(fleet.find_first_ranked())
        case "first cut off":
            isolated = fleet.find_first_ranked()
            fleet.add_views(isolated)
            fleet.add_views(fleet.instances - isolated, observers=isolated)
        case "first leaves":
            fleet.add_views(fleet.find_first_ranked(), is_announced=True)
        case "newcomer unknown to most":
            # All instances see it at once, except those that lost its datagrams.
            joined = fleet.find_first_ranked()
            fleet.add_views(joined, observers=fleet.instances - joined, is_announced=True)
        case "cut in two":
            half = set(sorted(fleet.instances)[: count // 2])
            fleet.add_views(half)
            fleet.add_views(fleet.instances - half, observers=half)
        case "region lost":
            lost = {name for name, at in fleet.domains.items() if REGIONS[at] == "region-0"}
            fleet.add_views(lost)
        case "regions part from each other":
            for region in set(REGIONS.values()):
                inside = {name for name, at in fleet.domains.items() if REGIONS[at] == region}
                fleet.add_views(fleet.instances - inside, observers=inside)
        case "many deaf":
            for name in set(fleet.random.sample(sorted(fleet.instances), max(1, count // 20))):
                fleet.add_views(fleet.instances - {name}, observers={name})
        case "views differ":
            # Each misses those of which it lost three announcements in a row, at a loss of 15 %.
            for name in fleet.instances:
                not_live = {other for other in fleet.instances if fleet.random.random() < 0.15**3}
                fleet.add_views(not_live - {name}, observers={name})
        case _:
            raise ValueError(f"unknown fault {fault!r}")
    return fleet


FAULTS = (
    "calm",
    "first dead",
    "first frozen and back",
    "first cut off",
    "first leaves",
    "newcomer unknown to most",
    "cut in two",
    "region lost",
    "regions part from each other",
    "many deaf",
    "views differ",
)
