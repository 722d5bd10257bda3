"""Backend servers that a request may be sent to, and the choice between them by cost."""

import dataclasses

from caperdyke.coordination.placement import answer_times, server_view

# Costs that differ by less than this differ by rounding alone. The better ranked server is kept
# then, so that rounding does not move an object away from its first home.
COST_TIE_S = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """A server that a request may be sent to.

    :param times: expected times of the request on the server.
    :param cost: expected time until the answer and what others lose by it, in seconds.
    :param is_regional_home: whether the server is the object's home in another region.
    """

    view: server_view.ServerView
    times: answer_times.AnswerTimes
    cost: float
    is_regional_home: bool = False


def find_cheapest(options: list[Option]) -> Option:
    """Returns the option with the lowest cost, the first one of several.

    :param options: at least one option, in the order of their rank.
    """
    best = options[0]
    for option in options[1:]:
        if option.cost < best.cost - COST_TIE_S:
            best = option
    return best
