"""Builds servers, candidates and requirements for the tests of server selection."""

import math

from caperdyke.coordination.placement import homes, processing_times, selection, server_view
from caperdyke.state import backend, ids

TIMES = processing_times.ProcessingTime(warm=0.2, cold=0.65, mean=0.2)
SERVICE = ids.ServiceName("reader")


def make_server(name: str, domain: str = "hall-1", slots: int = 4) -> backend.BackendServer:
    """Returns a backend server."""
    return backend.BackendServer(
        ids.BackendId(name), ids.DomainName(domain), SERVICE, ids.Address("10.0.0.1:80"), slots
    )


def make_candidate(
    name: str, outstanding: int = 0, is_near: bool = True, warm: str = "", slots: int = 4
) -> selection.Candidate:
    """Returns a candidate with requests of other instances in flight.

    :param warm: object that the server is warm for; empty if there is none.
    """
    view = server_view.ServerView(make_server(name, slots=slots))
    view.others = outstanding
    if warm:
        view.warm_until[ids.ObjectKey(warm)] = math.inf
    return selection.Candidate(view, is_near, 0.001)


def make_requirements(
    key: str = "k", objective_at: float = 0.5, deadline: float = 3.0, **options
) -> selection.Requirements:
    """Returns the requirements of a request that arrived at time 0.

    :param options: ``far_seconds`` is the cross-domain penalty, ``tried`` lists servers;
        ``is_repeatable`` and ``timeout_s`` as in ``selection.Requirements``.
    """
    return selection.Requirements(
        SERVICE,
        ids.ObjectKey(key),
        deadline,
        objective_at,
        options.get("far_seconds", selection.CROSS_DOMAIN_PENALTY_S),
        frozenset(options.get("tried", ())),
        options.get("is_repeatable", True),
        options.get("timeout_s", math.inf),
    )


def make_measured_times(warm: float, cold: float) -> processing_times.ProcessingTime:
    """Returns the estimates of a route after enough recent answers, with some spread."""
    answers = processing_times.SPREAD_ANSWERS_MAX
    times = processing_times.ProcessingTime(warm, cold, warm, answers, answers)
    for number in range(processing_times.SPREAD_ANSWERS_MAX):
        times.record_ratio(0.0, True, warm * (0.85 + 0.3 * number / 63))
    return times


def make_located_servers(domains: dict[str, tuple[str, int]]) -> list[homes.LocatedServer]:
    """Returns the servers of some failure domains.

    :param domains: region and number of servers of each failure domain.
    """
    return [
        homes.LocatedServer(make_server(f"{domain}-{number}", domain), ids.RegionName(region))
        for domain, (region, count) in domains.items()
        for number in range(count)
    ]
