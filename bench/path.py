"""Measures the latency added over a direct call, and the throughput of one process.

Usage: ``path.py``. Prints one table; the streams run one after another on the same fleet.
"""

import sys
import time

import fleet

STREAM_DURATION_S = 10
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


def run_stream(fleet_under_test: fleet.Fleet, name: str, rate: int, extra_settings: str) -> dict:
    """Runs one stream and returns its summary.

    :param rate: requests per second.
    :param extra_settings: further lines of the stream's section.
    """
    entries = " ".join(
        entry.caller_address for entry in fleet_under_test.find_entries("pasig-hall")
    )
    scenario = (
        f"[run]\nseconds = {STREAM_DURATION_S}\nseed = 1\nentries = {entries}\n"
        f"[stream {name}]\ncustomer = tala-gallery\nservice = gallery-reader\n"
        f"rate = {rate}\npath = /x\nclient = 10.1.0.9\n{extra_settings}"
    )
    fleet_under_test.start_load(scenario, name).wait(timeout=60)
    return fleet_under_test.read_report(name)[0]


def main() -> int:
    """Runs the measurements, prints them and returns the exit status."""
    domains = (
        fleet.DomainPlan("pasig-hall", 1, (SERVICE,), "luzon"),
        fleet.DomainPlan("cebu-hall", 1, (SERVICE,), "visayas"),
    )
    with fleet.Fleet(domains) as fleet_under_test:
        documents = []
        for name, text in (("places.ini", PLACES), ("contract.ini", CONTRACT)):
            (fleet_under_test.folder / name).write_text(text)
            documents.append((str(fleet_under_test.folder / name), "tala"))
        fleet_under_test.start(documents)
        time.sleep(4)
        targets = " ".join(
            address
            for name, address in fleet_under_test.backends.items()
            if name.startswith("pasig")
        )
        direct = run_stream(fleet_under_test, "direct", 40, f"direct = {targets}\n")
        local = run_stream(fleet_under_test, "local", 40, "")
        entry = fleet_under_test.find_entries("pasig-hall")[0]
        cpu_s_before = fleet_under_test.measure_cpu(entry)
        busy = run_stream(fleet_under_test, "busy", 300, "")
        cpu_s_per_request = (fleet_under_test.measure_cpu(entry) - cpu_s_before) / busy["sent"]
        fleet_under_test.run_operator(
            "drain", "announce", "pasig-hall", "--entry", entry.caller_address
        )
        time.sleep(1)
        for other in fleet_under_test.find_entries("cebu-hall"):
            fleet_under_test.call(other.caller_address, "GET", "/status")
        shifted = run_stream(fleet_under_test, "shifted", 40, "")
        rows = [direct, local, shifted, busy]
        print(f"{'stream':<10} {'answered':>9} {'p50 ms':>8} {'p99 ms':>8} {'added p50':>10}")
        for row in rows:
            added = row["p50_ms"] - direct["p50_ms"]
            print(
                f"{row['stream']:<10} {row['answered']:>9} {row['p50_ms']:>8} {row['p99_ms']:>8}"
                f" {added:>10.2f}"
            )
        print(f"processor time of one local request: {cpu_s_per_request * 1e6:.0f} us")
        print(f"requests a second on one core, worked out: {1 / cpu_s_per_request:.0f}")
        print(f"memory of an entry after the run: {fleet_under_test.measure_memory(entry):.0f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
