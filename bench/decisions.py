"""Compares the ways of choosing backend servers under load and faults, in one run.

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
IDEAL = TARGETS * SLOTS * 1000 / SERVICE_MS
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
    """One comparison.

    :param streams: name, customer, service, rate, path and home address of each stream.
    :param act: called with the fleet once the load runs.
    :param plan: backend servers of each failure domain.
    """

    name: str
    seconds: int
    streams: tuple[tuple[str, str, str, int, str, str], ...]
    act: collections.abc.Callable[[fleet.Fleet], None]
    plan: tuple[fleet.ServicePlan, ...] = (
        fleet.ServicePlan("gallery-reader", TARGETS, SLOTS, SERVICE_MS),
    )
    domains: int = 1


def do_nothing(_: fleet.Fleet) -> None:
    """Leaves everything as it is."""


def break_fast(running: fleet.Fleet) -> None:
    """Lets one backend server answer every request with an error at once."""
    running.set_backend_faults("pasig-hall-gallery-reader-1", fast_errors=True, lie_load=0.0)


def slow_down(running: fleet.Fleet) -> None:
    """Makes one backend server ten times slower while it reports that it is idle."""
    running.set_backend_faults("pasig-hall-gallery-reader-1", extra_ms=9 * SERVICE_MS, lie_load=0.0)


def lose_domain(running: fleet.Fleet) -> None:
    """Kills all entry instances of one failure domain in mid-run."""
    time.sleep(5)
    for entry in running.find_entries("quezon-hall"):
        running.signal_entry(entry, signal.SIGKILL)


def browse(rate: float, name: str = "browse", customer: str = "gallery", home: str = "10.1.0.9"):
    """Returns a stream of cheap reads."""
    return (name, customer, "gallery-reader", int(rate), "/x", home)


COLD = (fleet.ServicePlan("gallery-reader", TARGETS, SLOTS, SERVICE_MS, 0, 0, 60, 12),)
MIXED = (
    fleet.ServicePlan("gallery-reader", TARGETS, SLOTS, SERVICE_MS),
    fleet.ServicePlan("bundle-depot", 2, SLOTS, 5, 4 << 20, 3000),
)
SCENARIOS = (
    Scenario("steady", 12, (browse(0.6 * IDEAL),), do_nothing),
    Scenario("cold", 12, (browse(0.4 * IDEAL),), do_nothing, COLD),
    Scenario("errors", 12, (browse(0.5 * IDEAL),), break_fast),
    Scenario("lying", 12, (browse(0.5 * IDEAL),), slow_down),
    Scenario(
        "lost-domain",
        16,
        (browse(0.4 * IDEAL), browse(0.4 * IDEAL, "quezon", "gallery", "10.1.200.9")),
        lose_domain,
        domains=2,
    ),
    Scenario("load-95", 14, (browse(0.95 * IDEAL),), do_nothing),
    Scenario("load-150", 14, (browse(1.5 * IDEAL),), do_nothing),
    Scenario("quiet", 12, (browse(0.2 * IDEAL, "quiet", "quiet"),), do_nothing),
    Scenario(
        "flood",
        12,
        (browse(0.2 * IDEAL, "quiet", "quiet"), browse(1.5 * IDEAL, "flood")),
        do_nothing,
    ),
    Scenario(
        "bundles",
        12,
        (
            browse(0.5 * IDEAL),
            ("bundle", "gallery", "bundle-depot", 1, "/download/1", "10.1.0.9"),
        ),
        do_nothing,
        MIXED,
    ),
)


def run_scenario(scenario: Scenario, policy: str) -> list[dict]:
    """Runs one scenario on a fleet of its own and returns the summaries."""
    names = ("pasig-hall", "quezon-hall")[: scenario.domains]
    domains = tuple(fleet.DomainPlan(name, 2, scenario.plan, "luzon") for name in names)
    with fleet.Fleet(domains, f"[limits]\npolicy = {policy}\n") as running:
        running.start(_write_documents(running))
        time.sleep(4)
        load = running.start_load(_make_load(scenario, running))
        scenario.act(running)
        load.wait(timeout=120)
        return running.read_report()


def _write_documents(running: fleet.Fleet) -> list[tuple[str, str]]:
    texts = {"places.ini": PLACES}
    for customer, share in (("gallery", 3000), ("quiet", 1000)):
        texts[f"{customer}.ini"] = CONTRACT.format(customer=customer, share=share)
    documents = []
    for name, text in texts.items():
        (running.folder / name).write_text(text)
        documents.append((str(running.folder / name), "tala"))
    return documents


def _make_load(scenario: Scenario, running: fleet.Fleet) -> str:
    entries = " ".join(entry.caller_address for entry in running.entries)
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
            for item in run_scenario(scenario, policy):
                goodput = item["answered"] / scenario.seconds
                cells = " ".join(f"{item[column]:>8}" for column in columns)
                print(
                    f"{scenario.name:<12} {policy:<12} {item['stream']:<8} {cells}"
                    f"  p50 {item['p50_ms']} p99 {item['p99_ms']}"
                    f" refusal p99 {item['refusal_p99_ms']}"
                    f" goodput {goodput:.0f}/s ({goodput / IDEAL / scenario.domains:.0%} of ideal)"
                )
                sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
