"""Decides whether a copy of a request warms the object's home near the instance."""

from caperdyke.coordination.placement import answer_times, processing_times, selection

# Highest utilization of a service, and of the server itself, at which a server is prewarmed.
PREWARM_UTILIZATION_MAX = 0.4
# Lowest cross-domain penalty at which an object is prewarmed in the own failure domain.
PREWARM_PENALTY_MIN_S = 0.05


def select_near_home(
    now: float,
    needs: selection.Requirements,
    candidates: list[selection.Candidate],
    times: processing_times.ProcessingTime,
) -> selection.Placement | None:
    """Returns the object's home in the own failure domain if prewarming it is worthwhile.

    Pattern: large answers come from a home in the sibling failure domain for the whole day. While
    there is capacity to spare, a copy of a repeatable request warms the near home, and no caller
    waits for its answer.

    :param candidates: servers in the order of their rank for the object.
    """
    if needs.cross_domain_penalty < PREWARM_PENALTY_MIN_S or not needs.key:
        return None
    eligible = [item for item in candidates if selection.is_eligible(now, item, needs)]
    if not eligible or selection.compute_utilization(now, eligible) > PREWARM_UTILIZATION_MAX:
        return None
    for rank, candidate in enumerate(eligible[: len(answer_times.WARM_PROBABILITIES)]):
        view = candidate.view
        if not candidate.is_near:
            continue
        has_capacity = (
            view.estimate_outstanding(now) + 1 <= PREWARM_UTILIZATION_MAX * view.server.slots
        )
        if has_capacity and not candidate.is_deprioritized and not view.is_warm(now, needs.key):
            expected = answer_times.estimate(
                now, view, needs.key, rank, candidate.round_trip, times
            )
            return selection.make_placement(view, expected)
        return None
    return None
