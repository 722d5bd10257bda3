"""Limits of teams, and the parts of them that holders and single instances may use."""

import dataclasses
import math

from caperdyke.state import gateway_settings, teams

# Part of the tolerance that instances share while no holder replies.
FALLBACK_RATIO = 0.5
# Part of the tolerance by which granted tokens that are not used yet may exceed the capacity. The
# remaining quarter covers instances whose views of the fleet differ for a moment.
OUTSTANDING_RATIO = 0.25
# Smallest capacity of a holder in tokens; below one it could never grant any.
CAPACITY_MIN = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class HolderPart:
    """What one holder may grant.

    :param rate: tokens per second.
    :param capacity: most tokens in stock at the holder.
    :param outstanding_extra: tokens that may be granted and unused beyond the capacity.
    """

    rate: float
    capacity: float
    outstanding_extra: float


def compute_extra(team: teams.Team, tolerance: gateway_settings.QuotaTolerance) -> float:
    """Returns how many requests over its limit a team may send in a window."""
    allowed = team.rate_per_second * tolerance.window_s + team.burst
    return tolerance.overrun * allowed + tolerance.slack


def compute_part(
    team: teams.Team, ratio: float, tolerance: gateway_settings.QuotaTolerance
) -> HolderPart:
    """Returns the part of a holder in a team's limit.

    Pattern: a team whose burst is far below its rate has few tokens in stock, while most tokens are
    under way to instances or in the stock of one that asks again half a second later. Without the
    extra, these would keep the holder from refilling.

    :param ratio: part of the limit, 0 to 1.
    """
    extra = OUTSTANDING_RATIO * compute_extra(team, tolerance)
    return HolderPart(
        team.rate_per_second * ratio, max(CAPACITY_MIN, team.burst * ratio), extra * ratio
    )


def compute_fallback_count(team: teams.Team, tolerance: gateway_settings.QuotaTolerance) -> int:
    """Returns how many requests in a window all instances together may send without a holder."""
    return math.floor(FALLBACK_RATIO * compute_extra(team, tolerance))
