"""Runs both partners' places on loopback, kills an entry, drains a backend server, and reports."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bench"))

import fleet  # noqa: E402

from caperdyke.loading import results  # noqa: E402

LOAD_SECONDS = 14
DRAIN_LIMIT_SECONDS = 3.0
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
    (str(HERE / "contracts" / "tala-places.ini"), "tala"),
    (str(HERE / "contracts" / "kestrelveld-places.ini"), "kestrelveld"),
    (str(HERE / "contracts" / "tala-gallery.ini"), "tala"),
    (str(HERE / "contracts" / "kestrelveld-forecasting.ini"), "kestrelveld"),
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
    """Returns the load scenario of the demo."""
    addresses = " ".join(entry.caller_address for entry in entries)
    sections = [f"[run]\nseconds = {LOAD_SECONDS}\nseed = 1\nentries = {addresses}\n"]
    for name, customer, service, method, path, rate, client in STREAMS:
        sections.append(
            f"[stream {name}]\ncustomer = {customer}\nservice = {service}\nmethod = {method}\n"
            f"path = {path}\nrate = {rate}\nclient = {client}\nbody_size = 200\n"
        )
    return "\n".join(sections)


def drain_backend(running: fleet.Fleet, name: str) -> tuple[float, float]:
    """Announces a drain; returns the times to the last new work and to the last answer."""
    address = running.backends[name]
    announced_at = time.time()
    entry = running.find_entries("cebu-hall")[0].caller_address
    running.run_operator("drain", "announce", name, "--entry", entry)
    idle_at = announced_at
    while time.time() - announced_at <= DRAIN_LIMIT_SECONDS + 1.0:
        state = running.call(address, "GET", "/standin/runs")
        if state["in_flight"]:
            idle_at = time.time()
        time.sleep(0.02)
    return max(0.0, state["last_start"] - announced_at), idle_at - announced_at


def find_broken_promises(running: fleet.Fleet, report: list[dict], last_start: float) -> list[str]:
    """Returns what did not hold."""
    runs = running.read_runs()
    problems = []
    for item in report:
        label = f"{item['customer']}/{item['stream']}"
        if item["wrong"]:
            problems.append(f"{label}: {item['wrong']} answers belonged to other requests")
        if item["answered"] == 0:
            problems.append(f"{label}: nothing was answered")
        for token in item["not_run_tokens"]:
            if runs.get(token):
                problems.append(f"{label}: {token} was reported not run but ran")
        if item["stream"] in ("purchase", "payout", "submission", "tariff"):
            prefix_ran = [t for t in runs if f"-{item['stream']}-" in t and runs[t] > 1]
            problems += [f"{label}: {token} ran {runs[token]} times" for token in prefix_ran]
    if last_start > DRAIN_LIMIT_SECONDS:
        problems.append(f"the drained backend server got work {last_start:.1f} s later")
    return problems


def main() -> int:
    """Runs the demo and returns its exit status."""
    domains = tuple(fleet.DomainPlan(name, 2, TALA_SERVICES) for name in TALA)
    domains += tuple(fleet.DomainPlan(name, 2, KESTRELVELD_SERVICES) for name in KESTRELVELD)
    with fleet.Fleet(domains) as running:
        started_at = time.monotonic()
        running.start(DOCUMENTS)
        print(
            f"{len(running.entries)} entry instances, {len(running.backends)} backend servers,"
            f" ready in {time.monotonic() - started_at:.1f} s; logs in {running.folder}"
        )
        load = running.start_load(make_scenario(running.entries))
        time.sleep(4)
        victim = running.find_entries("pasig-hall")[0]
        running.signal_entry(victim, signal.SIGKILL)
        print(f"killed entry instance {victim.name}")
        time.sleep(1)
        drained = "cebu-hall-gallery-reader-1"
        last_start, idle_after = drain_backend(running, drained)
        load.wait(timeout=60)
        report = running.read_report()
        print(results.format_table(report))
        print(f"drain of {drained}: last new work after {last_start:.2f} s,", end=" ")
        print(f"last answer after {idle_after:.2f} s")
        problems = find_broken_promises(running, report, last_start)
    for problem in problems:
        print(f"BROKEN: {problem}")
    print("all promises held" if not problems else f"{len(problems)} promises broken")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
