"""Measures the latency that the path adds over a direct call, and what one process can do.

Usage: ``path.py``. Prints one table; streams run one after the other on the same fleet.
"""

import sys
import time

import fleet

SECONDS = 10
SERVICE = fleet.ServicePlan("gallery-reader", 4, 3, 5)
PLACES = """
[places]
operator = tala
[domain pasig-hall]
region = luzon
capacity = 3000
slices = 1
blocks = 10.1.0.0/16
[domain cebu-hall]
region = visayas
capacity = 3000
slices = 1
blocks = 10.2.0.0/16
"""
CONTRACT = """
[contract]
customer = tala-gallery
operator = tala
weight = latency
period_ms = 1000
shift_cap = 2000
shift_step = 2000
retry_percent = 10
[service gallery-reader]
kind = cheap
repeatable = yes
deadline_ms = 2000
[region luzon]
share = 3000
floor = 3000
shift = 1000
[region visayas]
share = 3000
floor = 3000
shift = 1000
"""


def run_stream(running: fleet.Fleet, name: str, rate: int, extra: str) -> dict:
    """Runs one stream and returns its summary."""
    entries = " ".join(entry.caller_address for entry in running.find_entries("pasig-hall"))
    scenario = (
        f"[run]\nseconds = {SECONDS}\nseed = 1\nentries = {entries}\n"
        f"[stream {name}]\ncustomer = tala-gallery\nservice = gallery-reader\n"
        f"rate = {rate}\npath = /x\nclient = 10.1.0.9\n{extra}"
    )
    running.start_load(scenario, name).wait(timeout=60)
    return running.read_report(name)[0]


def main() -> int:
    """Runs the measurements and prints them."""
    domains = (
        fleet.DomainPlan("pasig-hall", 1, (SERVICE,), "luzon"),
        fleet.DomainPlan("cebu-hall", 1, (SERVICE,), "visayas"),
    )
    with fleet.Fleet(domains) as running:
        documents = []
        for name, text in (("places.ini", PLACES), ("contract.ini", CONTRACT)):
            (running.folder / name).write_text(text)
            documents.append((str(running.folder / name), "tala"))
        running.start(documents)
        time.sleep(4)
        targets = " ".join(
            address for name, address in running.backends.items() if name.startswith("pasig")
        )
        direct = run_stream(running, "direct", 40, f"direct = {targets}\n")
        local = run_stream(running, "local", 40, "")
        entry = running.find_entries("pasig-hall")[0]
        before = running.measure_cpu(entry)
        busy = run_stream(running, "busy", 300, "")
        cost = (running.measure_cpu(entry) - before) / busy["sent"]
        running.run_operator("drain", "announce", "pasig-hall", "--entry", entry.caller_address)
        time.sleep(1)
        for other in running.find_entries("cebu-hall"):
            running.call(other.caller_address, "GET", "/status")
        shifted = run_stream(running, "shifted", 40, "")
        rows = [direct, local, shifted, busy]
        print(f"{'stream':<10} {'answered':>9} {'p50 ms':>8} {'p99 ms':>8} {'added p50':>10}")
        for row in rows:
            added = row["p50_ms"] - direct["p50_ms"]
            print(
                f"{row['stream']:<10} {row['answered']:>9} {row['p50_ms']:>8} {row['p99_ms']:>8}"
                f" {added:>10.2f}"
            )
        print(f"processor time of one local request: {cost * 1e6:.0f} us")
        print(f"requests a second on one core, worked out: {1 / cost:.0f}")
        print(f"memory of an entry after the run: {running.measure_memory(entry):.0f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
