"""What the quotas of teams need to know of the fleet."""

import dataclasses

from caperdyke.coordination.placement import shared_bounds
from caperdyke.coordination.quotas import holders
from caperdyke.coordination.registry import fleet
from caperdyke.state import member


def make_report(
    now: float, instances: fleet.Fleet, view: shared_bounds.FleetView
) -> holders.FleetReport:
    """Returns which instances are live, silent, or have no part in holding tokens."""
    silent, withdrawn = {}, set()
    for peer in instances.list_others():
        name = peer.record.instance
        if name in view.domains:
            continue
        if peer.record.state is not member.MemberState.LIVE or now < peer.alive_until:
            # It leaves, or has announced that it has no path to the servers.
            withdrawn.add(name)
        else:
            silent[name] = peer.record.domain
    return holders.FleetReport(view.own is not None, view.domains, silent, frozenset(withdrawn))


def make_fallback_view(
    view: shared_bounds.FleetView, directory: holders.HolderDirectory
) -> shared_bounds.FleetView:
    """Returns the view by which instances share what they may send without a holder.

    Pattern: a partition lasts longer than other parts of the system remember silent instances.
    """
    live_ratio = directory.compute_live_ratio(len(view.domains))
    return dataclasses.replace(view, live_ratio=min(view.live_ratio, live_ratio))
