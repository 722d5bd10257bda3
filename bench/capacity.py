"""Works out the load at full size from measured slopes, see docs/CAPACITY.md.

Usage: ``capacity.py [--quick]``. Everything runs on loopback; fake peers speak the real protocol.
"""

import argparse
import resource
import sys

import slopes

from caperdyke.coordination import overlay
from caperdyke.state import timing

LOOKUPS_PER_SECOND = 480_000
CHANGES_PER_DAY = 470
SECONDS_PER_DAY = 86_400
# Instances that fail, or are restarted or replaced, on an ordinary day.
INSTANCES_CHANGED_PER_DAY = 112
# Member records that one of them causes: it leaves, is gone, and a new one is live.
RECORDS_PER_CHANGE = 3
CONTROL_CPU_LIMIT = 0.034
CONTROL_MEMORY_LIMIT_MB = 128
CONTROL_BYTES_LIMIT = 3_000
TABLE_READS_LIMIT = 2_000


def work_out(found: dict[str, slopes.Slope]) -> list[tuple[str, str, str]]:
    """Returns rows of the plan: what, worked-out load, bound."""
    links = _count_links()
    # A heartbeat that passes a confirmation on takes the place of a periodic one.
    beats = links * max(
        1 / timing.HEARTBEAT_INTERVAL_SECONDS, 1 / timing.CONFIRMATION_SPREAD_SECONDS
    )
    beat_bytes = found["heartbeat, bytes"].value
    renewals = 1 / timing.LEASE_RENEWAL_INTERVAL_SECONDS
    request_bytes = found["lease, bytes of a request"].value
    renewal_bytes = found["lease, bytes of a renewal"].value
    change_bytes = found["change, bytes of the message"].value
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    news = INSTANCES_CHANGED_PER_DAY * RECORDS_PER_CHANGE / SECONDS_PER_DAY
    steady = beats * beat_bytes + renewals * (request_bytes + renewal_bytes)
    steady += changes * change_bytes + news * links * found["member news, bytes"].value
    keeper = steady + renewals * slopes.NODES_PER_DOMAIN * renewal_bytes
    beat_cpu = found["heartbeat, encode"].value + found["heartbeat, decode"].value
    per_peer = found["entry, 24 linked peers"].value / 24
    cpu = found["entry, idle processor"].value + per_peer * links
    silent = overlay.BACKUP_READS_PER_SECOND
    pollers = overlay.POLLERS_PER_DOMAIN * (1 / timing.POLL_INTERVAL_SECONDS + 2)
    reads = slopes.DOMAINS * (pollers + 2 * silent + renewals)
    lookups = LOOKUPS_PER_SECOND / slopes.NODES
    lookup_cpu = found["look-up, processor time over HTTP"].value * lookups / 1e4
    return [
        ("links of a node, mean of both directions", f"{links:.1f}", ""),
        ("heartbeats sent by a node", f"{beats:.1f} /s, {beat_cpu:.0f} us each way", ""),
        ("control sent by a node", f"{steady:.0f} B/s", f"{CONTROL_BYTES_LIMIT} B/s"),
        ("control sent by a node that renews", f"{keeper:.0f} B/s", f"{CONTROL_BYTES_LIMIT} B/s"),
        ("control processor", f"{cpu:.2f} %", f"{CONTROL_CPU_LIMIT * 100:.1f} %"),
        (
            "memory of a node with the block map",
            f"{found['entry, memory with 84 peers'].value + found['block map, memory'].value:.0f}"
            " MB",
            f"{CONTROL_MEMORY_LIMIT_MB} MB for control",
        ),
        (
            "table writes, all nodes",
            f"{slopes.DOMAINS * renewals + changes:.1f} /s",
            "several hundred /s",
        ),
        ("table reads, all nodes", f"{reads:.0f} /s", f"{TABLE_READS_LIMIT} /s"),
        (
            "table reads, a domain restarts at once",
            f"{reads + silent + slopes.NODES_PER_DOMAIN * 4:.0f} /s",
            f"{TABLE_READS_LIMIT} /s",
        ),
        (
            "table reads, platform just back, no node confirmed",
            f"{reads + slopes.DOMAINS * (silent + slopes.NODES_PER_DOMAIN * renewals):.0f} /s",
            f"{TABLE_READS_LIMIT} /s",
        ),
        ("look-ups of a node", f"{lookups:.0f} /s, {lookup_cpu:.0f} % of a core", ""),
    ]


def _count_links() -> float:
    members = slopes.make_members()
    total = sum(len(overlay.choose_links(record, members)) for record in members[:90])
    return 2 * total / 90


def main() -> int:
    """Prints the slopes and the plan."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true", help="shorter process measurements")
    arguments = parser.parse_args()
    members = slopes.make_members()
    configuration = slopes.make_configuration()
    found = slopes.measure_blocks()
    found += slopes.measure_decisions(configuration, members)
    found += slopes.measure_changes(configuration)
    found += slopes.measure_lease()
    found += slopes.measure_frames(members)
    found += slopes.measure_process(arguments.quick)
    print("| measured | value | unit |\n| --- | ---: | --- |")
    for slope in found:
        print(f"| {slope.name} | {slope.value:,.2f} | {slope.unit} |")
    print("\n| worked out at full size | load | bound |\n| --- | ---: | --- |")
    for row in work_out({slope.name: slope for slope in found}):
        print("| " + " | ".join(row) + " |")
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"\npeak memory of this script: {peak:.0f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
