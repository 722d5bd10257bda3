"""How the instances of a fleet see it in troubles, for bounds without a shared count."""

import collections
import functools
import random

from caperdyke.coordination.placement import shared_bounds
from caperdyke.state import ids

# Failure domains by region; the server stands in the first.
REGIONS = {f"hall-{number}": f"region-{number // 3}" for number in range(9)}
SERVER = ids.BackendId("s1")
SERVER_DOMAIN = ids.DomainName("hall-0")

Views = dict[ids.InstanceId, list[shared_bounds.FleetView]]


class FleetViews:
    """The views that each instance holds in the course of one window.

    :param count: instances, spread over the failure domains.
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
        self.all = set(self.domains)
        self.show()

    def show(
        self,
        unseen: set[ids.InstanceId] = frozenset(),
        by: set[ids.InstanceId] | None = None,
        is_told: bool = False,
    ) -> None:
        """Gives instances a further view.

        :param unseen: those that are not seen to be alive.
        :param by: those that see it so; all others of the fleet where it is None.
        :param is_told: whether the unseen ones said that they leave.
        """
        for name in self.all - unseen if by is None else by:
            live = {k: v for k, v in self.domains.items() if k == name or k not in unseen}
            silent = {} if is_told else {k: self.domains[k] for k in unseen - {name}}
            self.views[name].append(shared_bounds.make_fleet_view(name, live, silent))

    def rank_first(self, count: int = 1) -> set[ids.InstanceId]:
        """Returns the instances that come first for the server."""
        found = {}
        for name in self.all:
            fleet_view = shared_bounds.FleetView(name, self.domains, 1.0)
            found[name] = (
                shared_bounds.QuotaPositions().find(SERVER, SERVER_DOMAIN, fleet_view, REGIONS).rank
            )
        return set(sorted(found, key=found.get)[:count])

    def sum_parts(self, bound: shared_bounds.Bound) -> int:
        """Returns what all instances may send in a window, each by the largest of its parts."""
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
def play(trouble: str, count: int, seed: int = 1) -> FleetViews:
    """Returns the views of a fleet in the window that a trouble spoils most."""
    fleet = FleetViews(count, seed)
    match trouble:
        case "calm":
            pass
        case "first dead" | "first frozen and back":
            # One that was frozen has sent nothing meanwhile, and listens before it takes part.
            fleet.show(fleet.rank_first())
        case "first cut off":
            alone = fleet.rank_first()
            fleet.show(alone)
            fleet.show(fleet.all - alone, by=alone)
        case "first leaves":
            fleet.show(fleet.rank_first(), is_told=True)
        case "newcomer unknown to most":
            # It is known at once but for those whose datagrams were lost.
            newcomer = fleet.rank_first()
            fleet.show(newcomer, by=fleet.all - newcomer, is_told=True)
        case "cut in two":
            half = set(sorted(fleet.all)[: count // 2])
            fleet.show(half)
            fleet.show(fleet.all - half, by=half)
        case "region lost":
            lost = {name for name, at in fleet.domains.items() if REGIONS[at] == "region-0"}
            fleet.show(lost)
        case "regions part from each other":
            for region in set(REGIONS.values()):
                inside = {name for name, at in fleet.domains.items() if REGIONS[at] == region}
                fleet.show(fleet.all - inside, by=inside)
        case "many deaf":
            for name in set(fleet.random.sample(sorted(fleet.all), max(1, count // 20))):
                fleet.show(fleet.all - {name}, by={name})
        case "views differ":
            # Each misses others after three announcements in a row, at a loss of 15 of 100.
            for name in fleet.all:
                unseen = {other for other in fleet.all if fleet.random.random() < 0.15**3}
                fleet.show(unseen - {name}, by={name})
        case _:
            raise ValueError(f"unknown trouble {trouble!r}")
    return fleet


TROUBLES = (
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
