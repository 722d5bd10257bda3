"""Runs a fleet of two partners on loopback under load, with one instance killed and one drain.

Checks the outcome of every request and exits with status 1 on a violation.
"""

import pathlib
import signal
import sys
import time

DEMO_FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(DEMO_FOLDER.parent / "bench"))

import fleet  # noqa: E402

from caperdyke.loading import results  # noqa: E402

LOAD_DURATION_S = 14
DRAIN_LIMIT_S = 3.0
TALA = ("pasig-hall", "quezon-hall", "cebu-hall", "iloilo-hall")
KESTRELVELD = ("jhb-midrand", "jhb-isando", "cpt-bellville", "cpt-montague")
TALA_SERVICES = (
    fleet.ServicePlan("gallery-reader", 4, 3, 8),
    fleet.ServicePlan("checkout", 2, 3, 15),
    fleet.ServicePlan("payout-desk", 2, 3, 15),
    fleet.ServicePlan("bundle-depot", 2, 3, 5, 512 * 1024, 800),
)
KESTRELVELD_SERVICES = (
    fleet.ServicePlan("projview", 3, 7, 10),
    fleet.ServicePlan("lodgement", 2, 7, 15),
    fleet.ServicePlan("tariffs", 2, 3, 15),
    fleet.ServicePlan("workbooks", 2, 3, 5, 512 * 1024, 800),
)
DOCUMENTS = [
    (str(DEMO_FOLDER / "contracts" / "tala-places.ini"), "tala"),
    (str(DEMO_FOLDER / "contracts" / "kestrelveld-places.ini"), "kestrelveld"),
    (str(DEMO_FOLDER / "contracts" / "tala-gallery.ini"), "tala"),
    (str(DEMO_FOLDER / "contracts" / "kestrelveld-forecasting.ini"), "kestrelveld"),
]
STREAMS = (
    ("browse", "tala-gallery", "gallery-reader", "GET", "/browse", 60, "10.1.0.9"),
    ("browse-visayas", "tala-gallery", "gallery-reader", "GET", "/browse", 30, "10.2.0.9"),
    ("purchase", "tala-gallery", "checkout", "POST", "/buy", 15, "10.1.0.9"),
    ("payout", "tala-gallery", "payout-desk", "POST", "/claim", 8, "10.2.200.9"),
    ("bundle", "tala-gallery", "bundle-depot", "GET", "/download/1", 2, "10.1.200.9"),
    ("projection", "kestrelveld-forecasting", "projview", "GET", "/view", 60, "10.4.0.9"),
    ("submission", "kestrelveld-forecasting", "lodgement", "POST", "/lodge", 15, "10.4.0.9"),
    ("tariff", "kestrelveld-forecasting", "tariffs", "POST", "/adjust", 8, "10.5.0.9"),
    ("workbook", "kestrelveld-forecasting", "workbooks", "GET", "/download/2", 2, "10.5.200.9"),
)


def make_scenario(entries: list[fleet.Entry]) -> str:
    """Returns the load scenario as an INI document."""
    addresses = " ".join(entry.caller_address for entry in entries)
    sections = [f"[run]\nseconds = {LOAD_DURATION_S}\nseed = 1\nentries = {addresses}\n"]
    for name, customer, service, method, path, rate, client in STREAMS:
        sections.append(
            f"[stream {name}]\ncustomer = {customer}\nservice = {service}\nmethod = {method}\n"
            f"path = {path}\nrate = {rate}\nclient = {client}\nbody_size = 200\n"
        )
    return "\n".join(sections)


def drain_backend(demo_fleet: fleet.Fleet, name: str) -> tuple[float, float]:
    """Announces the drain of a backend server and watches it until the limit has passed.

    :return: seconds from the announcement to the last start of a request and to the last time at
        which a request was in flight.
    """
    address = demo_fleet.backends[name]
    announced_at = time.time()
    entry = demo_fleet.find_entries("cebu-hall")[0].caller_address
    demo_fleet.run_operator("drain", "announce", name, "--entry", entry)
    idle_at = announced_at
    while time.time() - announced_at <= DRAIN_LIMIT_S + 1.0:
        state = demo_fleet.call(address, "GET", "/standin/runs")
        if state["in_flight"]:
            idle_at = time.time()
        time.sleep(0.02)
    return max(0.0, state["last_start"] - announced_at), idle_at - announced_at


def find_violations(
    demo_fleet: fleet.Fleet, report: list[dict], last_start_delay_s: float
) -> list[str]:
    """Returns the violated guarantees, one sentence each.

    :param report: results of the load generator, one item per stream.
    :param last_start_delay_s: seconds from the drain's announcement to the last start of a request
        at the drained backend server.
    """
    runs = demo_fleet.read_runs()
    violations = []
    for item in report:
        label = f"{item['customer']}/{item['stream']}"
        if item["wrong"]:
            violations.append(f"{label}: {item['wrong']} answers belonged to other requests")
        if item["answered"] == 0:
            violations.append(f"{label}: nothing was answered")
        for token in item["not_run_tokens"]:
            if runs.get(token):
                violations.append(f"{label}: {token} was reported not run but ran")
        if item["stream"] in ("purchase", "payout", "submission", "tariff"):
            repeated_tokens = [t for t in runs if f"-{item['stream']}-" in t and runs[t] > 1]
            violations += [f"{label}: {token} ran {runs[token]} times" for token in repeated_tokens]
    if last_start_delay_s > DRAIN_LIMIT_S:
        violations.append(f"the drained backend server got work {last_start_delay_s:.1f} s later")
    return violations


def main() -> int:
    """Runs the demo and returns its exit status."""
    domains = tuple(fleet.DomainPlan(name, 2, TALA_SERVICES) for name in TALA)
    domains += tuple(fleet.DomainPlan(name, 2, KESTRELVELD_SERVICES) for name in KESTRELVELD)
    with fleet.Fleet(domains) as demo_fleet:
        started_at = time.monotonic()
        demo_fleet.start(DOCUMENTS)
        print(
            f"{len(demo_fleet.entries)} entry instances,"
            f" {len(demo_fleet.backends)} backend servers,"
            f" ready in {time.monotonic() - started_at:.1f} s; logs in {demo_fleet.folder}"
        )
        load = demo_fleet.start_load(make_scenario(demo_fleet.entries))
        time.sleep(4)
        killed_entry = demo_fleet.find_entries("pasig-hall")[0]
        demo_fleet.signal_entry(killed_entry, signal.SIGKILL)
        print(f"killed entry instance {killed_entry.name}")
        time.sleep(1)
        drained_backend = "cebu-hall-gallery-reader-1"
        last_start_delay_s, idle_delay_s = drain_backend(demo_fleet, drained_backend)
        load.wait(timeout=60)
        report = demo_fleet.read_report()
        print(results.format_table(report))
        print(
            f"drain of {drained_backend}: last new work after {last_start_delay_s:.2f} s,", end=" "
        )
        print(f"last answer after {idle_delay_s:.2f} s")
        violations = find_violations(demo_fleet, report, last_start_delay_s)
    for violation in violations:
        print(f"BROKEN: {violation}")
    print("all promises held" if not violations else f"{len(violations)} promises broken")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
