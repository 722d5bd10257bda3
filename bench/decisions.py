"""Compares the policies that select backend servers, under load and faults, in one run.

Usage: ``decisions.py [SCENARIO ...] [--policy NAME ...]``.
"""

import argparse
import collections.abc
import dataclasses
import signal
import sys
import time

import fleet

SERVICE_MS = 40
SLOTS = 3
TARGETS = 5
# Requests per second that the backend servers of one failure domain can answer.
IDEAL_REQUESTS_PER_S = TARGETS * SLOTS * 1000 / SERVICE_MS
POLICIES = ("least-work", "round-robin", "random-two")
PLACES = """
[places]
operator = tala
[domain pasig-hall]
region = luzon
capacity = 4000
slices = 2
blocks = 10.1.0.0/17
[domain quezon-hall]
region = luzon
capacity = 4000
slices = 2
blocks = 10.1.128.0/17
"""
CONTRACT = """
[contract]
customer = {customer}
operator = tala
weight = latency
period_ms = 1000
shift_cap = 0
shift_step = 0
retry_percent = 10
[service gallery-reader]
kind = cheap
repeatable = yes
deadline_ms = 2000
[service bundle-depot]
kind = download
repeatable = yes
deadline_ms = 60000
[region luzon]
share = {share}
floor = {share}
shift = 0
"""


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One load with a fault, for comparing the policies.

    :param streams: name, customer, service, requests per second, path and home address of each
        stream.
    :param inject_fault: called with the fleet after the load has started; injects the fault.
    :param plan: backend servers of each failure domain.
    """

    name: str
    seconds: int
    streams: tuple[tuple[str, str, str, int, str, str], ...]
    inject_fault: collections.abc.Callable[[fleet.Fleet], None]
    plan: tuple[fleet.ServicePlan, ...] = (
        fleet.ServicePlan("gallery-reader", TARGETS, SLOTS, SERVICE_MS),
    )
    domains: int = 1


def inject_nothing(_: fleet.Fleet) -> None:
    """Injects no fault."""


def inject_fast_errors(fleet_under_test: fleet.Fleet) -> None:
    """Lets one backend server answer every request with an immediate error and report no load."""
    fleet_under_test.set_backend_faults(
        "pasig-hall-gallery-reader-1", fast_errors=True, lie_load=0.0
    )


def inject_slowness(fleet_under_test: fleet.Fleet) -> None:
    """Makes one backend server ten times slower while it reports no load."""
    fleet_under_test.set_backend_faults(
        "pasig-hall-gallery-reader-1", extra_ms=9 * SERVICE_MS, lie_load=0.0
    )


def kill_domain(fleet_under_test: fleet.Fleet) -> None:
    """Kills all entry instances of one failure domain 5 s into the run."""
    time.sleep(5)
    for entry in fleet_under_test.find_entries("quezon-hall"):
        fleet_under_test.signal_entry(entry, signal.SIGKILL)


def make_browse_stream(
    rate: float, name: str = "browse", customer: str = "gallery", home: str = "10.1.0.9"
):
    """Returns a stream of cheap reads."""
    return (name, customer, "gallery-reader", int(rate), "/x", home)


COLD = (fleet.ServicePlan("gallery-reader", TARGETS, SLOTS, SERVICE_MS, 0, 0, 60, 12),)
MIXED = (
    fleet.ServicePlan("gallery-reader", TARGETS, SLOTS, SERVICE_MS),
    fleet.ServicePlan("bundle-depot", 2, SLOTS, 5, 4 << 20, 3000),
)
SCENARIOS = (
    Scenario("steady", 12, (make_browse_stream(0.6 * IDEAL_REQUESTS_PER_S),), inject_nothing),
    Scenario("cold", 12, (make_browse_stream(0.4 * IDEAL_REQUESTS_PER_S),), inject_nothing, COLD),
    Scenario("errors", 12, (make_browse_stream(0.5 * IDEAL_REQUESTS_PER_S),), inject_fast_errors),
    Scenario("lying", 12, (make_browse_stream(0.5 * IDEAL_REQUESTS_PER_S),), inject_slowness),
    Scenario(
        "lost-domain",
        16,
        (
            make_browse_stream(0.4 * IDEAL_REQUESTS_PER_S),
            make_browse_stream(0.4 * IDEAL_REQUESTS_PER_S, "quezon", "gallery", "10.1.200.9"),
        ),
        kill_domain,
        domains=2,
    ),
    Scenario("load-95", 14, (make_browse_stream(0.95 * IDEAL_REQUESTS_PER_S),), inject_nothing),
    Scenario("load-150", 14, (make_browse_stream(1.5 * IDEAL_REQUESTS_PER_S),), inject_nothing),
    Scenario(
        "quiet",
        12,
        (make_browse_stream(0.2 * IDEAL_REQUESTS_PER_S, "quiet", "quiet"),),
        inject_nothing,
    ),
    Scenario(
        "flood",
        12,
        (
            make_browse_stream(0.2 * IDEAL_REQUESTS_PER_S, "quiet", "quiet"),
            make_browse_stream(1.5 * IDEAL_REQUESTS_PER_S, "flood"),
        ),
        inject_nothing,
    ),
    Scenario(
        "bundles",
        12,
        (
            make_browse_stream(0.5 * IDEAL_REQUESTS_PER_S),
            ("bundle", "gallery", "bundle-depot", 1, "/download/1", "10.1.0.9"),
        ),
        inject_nothing,
        MIXED,
    ),
)


def run_scenario(scenario: Scenario, policy: str) -> list[dict]:
    """Runs one scenario on a fleet of its own and returns the summaries."""
    names = ("pasig-hall", "quezon-hall")[: scenario.domains]
    domains = tuple(fleet.DomainPlan(name, 2, scenario.plan, "luzon") for name in names)
    with fleet.Fleet(domains, f"[limits]\npolicy = {policy}\n") as fleet_under_test:
        fleet_under_test.start(_write_documents(fleet_under_test))
        time.sleep(4)
        load = fleet_under_test.start_load(_make_load(scenario, fleet_under_test))
        scenario.inject_fault(fleet_under_test)
        load.wait(timeout=120)
        return fleet_under_test.read_report()


def _write_documents(fleet_under_test: fleet.Fleet) -> list[tuple[str, str]]:
    texts = {"places.ini": PLACES}
    for customer, share in (("gallery", 3000), ("quiet", 1000)):
        texts[f"{customer}.ini"] = CONTRACT.format(customer=customer, share=share)
    documents = []
    for name, text in texts.items():
        (fleet_under_test.folder / name).write_text(text)
        documents.append((str(fleet_under_test.folder / name), "tala"))
    return documents


def _make_load(scenario: Scenario, fleet_under_test: fleet.Fleet) -> str:
    entries = " ".join(entry.caller_address for entry in fleet_under_test.entries)
    text = f"[run]\nseconds = {scenario.seconds}\nseed = 3\nentries = {entries}\n"
    for name, customer, service, rate, path, home in scenario.streams:
        text += (
            f"[stream {name}]\ncustomer = {customer}\nservice = {service}\nrate = {rate}\n"
            f"path = {path}\nclient = {home}\ntimeout_ms = 60000\n"
        )
    return text


def main() -> int:
    """Runs the chosen scenarios with the chosen policies and prints a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("scenarios", nargs="*")
    parser.add_argument("--policy", action="append", choices=POLICIES)
    arguments = parser.parse_args()
    columns = ("sent", "answered", "not_run", "unknown", "failed")
    print(f"{'scenario':<12} {'policy':<12} {'stream':<8} " + " ".join(f"{c:>8}" for c in columns))
    for scenario in SCENARIOS:
        if arguments.scenarios and scenario.name not in arguments.scenarios:
            continue
        for policy in arguments.policy or POLICIES:
            for stream_summary in run_scenario(scenario, policy):
                goodput = stream_summary["answered"] / scenario.seconds
                cells = " ".join(f"{stream_summary[column]:>8}" for column in columns)
                print(
                    f"{scenario.name:<12} {policy:<12} {stream_summary['stream']:<8} {cells}"
                    f"  p50 {stream_summary['p50_ms']} p99 {stream_summary['p99_ms']}"
                    f" refusal p99 {stream_summary['refusal_p99_ms']}"
                    f" goodput {goodput:.0f}/s"
                    f" ({goodput / IDEAL_REQUESTS_PER_S / scenario.domains:.0%} of ideal)"
                )
                sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
