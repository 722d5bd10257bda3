"""Limits of teams, and the parts of them that holders and single instances may use."""

import dataclasses
import math

from caperdyke.state import gateway_settings, teams

# Part of the tolerance that instances share while no holder replies.
FALLBACK_RATIO = 0.5
# Part of the tolerance by which the tokens in the fleet may exceed the burst. The remaining quarter
# covers instances whose views of the fleet differ for a moment.
CAPACITY_RATIO = 0.25
# Smallest capacity of a holder in tokens; below one it could never grant any.
CAPACITY_MIN = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class HolderPart:
    """What one holder may grant.

    :param rate: tokens per second.
    :param capacity: most tokens in stock at the holder and unused at other instances.
    """

    rate: float
    capacity: float


def compute_extra(team: teams.Team, tolerance: gateway_settings.QuotaTolerance) -> float:
    """Returns how many requests over its limit a team may send in a window."""
    allowed = team.rate_per_second * tolerance.window_s + team.burst
    return tolerance.overrun * allowed + tolerance.slack


def compute_part(
    team: teams.Team, ratio: float, tolerance: gateway_settings.QuotaTolerance
) -> HolderPart:
    """Returns the part of a holder in a team's limit.

    Pattern: a team whose burst is small or far below its rate. Parts of a burst of 5 hold one whole
    token each, and most tokens of a high rate are under way to instances or in the stock of one
    that asks again half a second later. A part of the tolerance keeps the holders from running
    empty below the rate.

    :param ratio: part of the limit, 0 to 1.
    """
    burst = team.burst + CAPACITY_RATIO * compute_extra(team, tolerance)
    return HolderPart(team.rate_per_second * ratio, max(CAPACITY_MIN, burst * ratio))


def compute_fallback_count(team: teams.Team, tolerance: gateway_settings.QuotaTolerance) -> int:
    """Returns how many requests in a window all instances together may send without a holder."""
    return math.floor(FALLBACK_RATIO * compute_extra(team, tolerance))
