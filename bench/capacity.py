"""Estimates the load of a full-size deployment from measured unit costs, see docs/CAPACITY.md.

Usage: ``capacity.py [--quick]``. All processes run on loopback; simulated peers use the real
protocol.
"""

import argparse
import resource
import sys

import slopes

from caperdyke.coordination import overlay
from caperdyke.state import timing

LOOKUPS_PER_S = 480_000
CHANGES_PER_DAY = 470
S_PER_DAY = 86_400
# Instances that fail or are restarted or replaced on an ordinary day.
INSTANCES_CHANGED_PER_DAY = 112
# Member records caused by each of them: leaving, gone, and the live record of the new instance.
RECORDS_PER_INSTANCE_CHANGE = 3
CONTROL_CPU_LIMIT_RATIO = 0.034
CONTROL_MEMORY_LIMIT_MB = 128
CONTROL_LIMIT_BYTES_PER_S = 3_000
TABLE_READS_LIMIT_PER_S = 2_000


def estimate_load(costs: dict[str, slopes.Slope]) -> list[tuple[str, str, str]]:
    """Returns the rows of the plan: quantity, estimated load, bound. Rates are per second."""
    links = _estimate_links_per_node()
    # A heartbeat that forwards a confirmation replaces a periodic one, so the higher rate counts.
    heartbeat_rate = links * max(
        1 / timing.HEARTBEAT_INTERVAL_SECONDS, 1 / timing.CONFIRMATION_SPREAD_SECONDS
    )
    heartbeat_bytes = costs["heartbeat, bytes"].value
    renewals = 1 / timing.LEASE_RENEWAL_INTERVAL_SECONDS
    request_bytes = costs["lease, bytes of a request"].value
    renewal_bytes = costs["lease, bytes of a renewal"].value
    change_bytes = costs["change, bytes of the message"].value
    change_rate = CHANGES_PER_DAY / S_PER_DAY
    member_record_rate = INSTANCES_CHANGED_PER_DAY * RECORDS_PER_INSTANCE_CHANGE / S_PER_DAY
    control_bytes_per_s = heartbeat_rate * heartbeat_bytes + renewals * (
        request_bytes + renewal_bytes
    )
    control_bytes_per_s += (
        change_rate * change_bytes + member_record_rate * links * costs["member news, bytes"].value
    )
    renewer_bytes_per_s = control_bytes_per_s + renewals * slopes.NODES_PER_DOMAIN * renewal_bytes
    heartbeat_cpu_us = costs["heartbeat, encode"].value + costs["heartbeat, decode"].value
    cpu_percent_per_peer = costs["entry, 24 linked peers"].value / 24
    control_cpu_percent = costs["entry, idle processor"].value + cpu_percent_per_peer * links
    backup_rate = overlay.BACKUP_READS_PER_SECOND
    poll_rate = overlay.POLLERS_PER_DOMAIN * (1 / timing.POLL_INTERVAL_SECONDS + 2)
    reads = slopes.DOMAINS * (poll_rate + 2 * backup_rate + renewals)
    lookup_rate = LOOKUPS_PER_S / slopes.NODES
    lookup_cpu_percent = costs["look-up, processor time over HTTP"].value * lookup_rate / 1e4
    return [
        ("links of a node, mean of both directions", f"{links:.1f}", ""),
        (
            "heartbeats sent by a node",
            f"{heartbeat_rate:.1f} /s, {heartbeat_cpu_us:.0f} us each way",
            "",
        ),
        (
            "control sent by a node",
            f"{control_bytes_per_s:.0f} B/s",
            f"{CONTROL_LIMIT_BYTES_PER_S} B/s",
        ),
        (
            "control sent by a node that renews",
            f"{renewer_bytes_per_s:.0f} B/s",
            f"{CONTROL_LIMIT_BYTES_PER_S} B/s",
        ),
        (
            "control processor",
            f"{control_cpu_percent:.2f} %",
            f"{CONTROL_CPU_LIMIT_RATIO * 100:.1f} %",
        ),
        (
            "memory of a node with the block map",
            f"{costs['entry, memory with 84 peers'].value + costs['block map, memory'].value:.0f}"
            " MB",
            f"{CONTROL_MEMORY_LIMIT_MB} MB for control",
        ),
        (
            "table writes, all nodes",
            f"{slopes.DOMAINS * renewals + change_rate:.1f} /s",
            "several hundred /s",
        ),
        ("table reads, all nodes", f"{reads:.0f} /s", f"{TABLE_READS_LIMIT_PER_S} /s"),
        (
            "table reads, a domain restarts at once",
            f"{reads + backup_rate + slopes.NODES_PER_DOMAIN * 4:.0f} /s",
            f"{TABLE_READS_LIMIT_PER_S} /s",
        ),
        (
            "table reads, platform just back, no node confirmed",
            f"{reads + slopes.DOMAINS * (backup_rate + slopes.NODES_PER_DOMAIN * renewals):.0f} /s",
            f"{TABLE_READS_LIMIT_PER_S} /s",
        ),
        ("look-ups of a node", f"{lookup_rate:.0f} /s, {lookup_cpu_percent:.0f} % of a core", ""),
    ]


def _estimate_links_per_node() -> float:
    members = slopes.make_members()
    link_count = sum(len(overlay.choose_links(record, members)) for record in members[:90])
    return 2 * link_count / 90


def main() -> int:
    """Prints the measured slopes and the plan."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true", help="shorter process measurements")
    arguments = parser.parse_args()
    members = slopes.make_members()
    configuration = slopes.make_configuration()
    costs = slopes.measure_blocks()
    costs += slopes.measure_decisions(configuration, members)
    costs += slopes.measure_changes(configuration)
    costs += slopes.measure_lease()
    costs += slopes.measure_frames(members)
    costs += slopes.measure_process(arguments.quick)
    print("| measured | value | unit |\n| --- | ---: | --- |")
    for slope in costs:
        print(f"| {slope.name} | {slope.value:,.2f} | {slope.unit} |")
    print("\n| worked out at full size | load | bound |\n| --- | ---: | --- |")
    for row in estimate_load({slope.name: slope for slope in costs}):
        print("| " + " | ".join(row) + " |")
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"\npeak memory of this script: {peak:.0f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
