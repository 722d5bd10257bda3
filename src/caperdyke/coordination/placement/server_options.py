"""Backend servers that a request may be sent to, and the choice between them by cost."""

import dataclasses
import random

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


def choose(options: list[Option], rng: random.Random) -> Option:
    """Returns one of the two cheapest options, at random, if it is not known which is cheaper.

    Pattern: many instances get no report of a server for seconds. Their estimates of its load are
    alike, and so all of them choose the same server at the same time, while an equally good one is
    idle. Only servers on which the object is equally likely to be warm are exchanged, so that no
    cold run is caused by chance.

    :param options: at least one option, in the order of their rank.
    """
    best = find_cheapest(options)
    rivals = [option for option in options if option is not best and _are_alike(best, option)]
    return rng.choice((best, find_cheapest(rivals))) if rivals else best


def _are_alike(best: Option, other: Option) -> bool:
    """Returns whether the costs of two options differ by less than the loads are known."""
    if best.times.is_load_recent or other.times.is_load_recent:
        return False
    is_equally_warm = best.times.is_warm and best.times.p_warm == other.times.p_warm
    uncertainty_s = min(best.times.uncertainty_s, other.times.uncertainty_s)
    return is_equally_warm and uncertainty_s > 0 and other.cost - best.cost < uncertainty_s
