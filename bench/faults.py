"""Runs a fleet of processes under kills, freezes, partitions and outages and checks its guarantees.

Usage: ``faults.py [NAME ...]``; without a name, all cases run. Exits with 1 if a case failed.
"""

import asyncio
import concurrent.futures
import contextlib
import json
import pathlib
import signal
import socket
import sys
import tempfile
import time

import fault_case
import fleet

from caperdyke.loading import results
from caperdyke.transport.http import http_client

LOOKUP_TARGET = "/lookup?customer=tala-gallery"
# Largest answer that is read, in bytes.
ANSWER_MAX_BYTES = 64 * 1024


def configuration_accepted_once(case: fault_case.Case) -> None:
    """A change is accepted exactly once if the store's answer is lost or the store is slow."""
    case.fleet.set_platform_faults(lose_answers=1)
    accepted_at = time.time()
    done = case.apply_document("contract.ini", fault_case.make_contract(share=58))
    case.figures["revision"] = done["revision"]
    case.wait_until_in_force(done["revision"], 4.0)
    case.figures["in force after lost answer s"] = round(time.time() - accepted_at, 2)
    case.fleet.set_platform_faults(delay_ms=400)
    second = case.apply_document("contract.ini", fault_case.make_contract(share=56))
    case.expect(second["revision"] == done["revision"] + 1, f"revision {second['revision']}")
    started_at = time.time()
    case.wait_until_in_force(second["revision"], 4.0)
    case.figures["in force on slow store s"] = round(time.time() - started_at, 2)


def operators_race(case: fault_case.Case) -> None:
    """Of two changes to the same base revision one is accepted; the other is shown both texts."""
    history = case.fleet.run_operator("history", "--platform", case.fleet.platform)
    base = max(c["revision"] for c in history["changes"] if c["document"].startswith("contract"))
    paths = [
        case.write_document(f"race{n}.ini", fault_case.make_contract(share=50 + n))
        for n in range(2)
    ]
    arguments = ("--operator", "tala", "--platform", case.fleet.platform, "--base", str(base))
    with concurrent.futures.ThreadPoolExecutor() as pool:
        done = list(pool.map(lambda p: case.fleet.try_operator("apply", p, *arguments), paths))
    statuses = sorted(item.returncode for item in done)
    case.expect(statuses == [0, 3], f"exit statuses {statuses}, expected [0, 3]")
    refused = next(item for item in done if item.returncode == 3)
    case.expect("proposed text" in refused.stderr, "the refusal does not show both texts")


def domain_cut_off(case: fault_case.Case) -> None:
    """An isolated domain falls back to its floors while a limit is lowered, then catches up."""
    load = case.start_load(
        22, "browse gallery-reader 90 10.1.0.9 GET /b", "visayas gallery-reader 40 10.2.0.9 GET /b"
    )
    time.sleep(4)
    case.fleet.isolate("pasig-hall")
    isolated_at = time.time()
    lowered = case.apply_document("contract.ini", fault_case.make_contract(share=40))
    time.sleep(max(0.0, lowered["in_force_by"] - time.time()))
    lowered_at = time.time()
    status = case.read_status(case.fleet.find_entries("pasig-hall")[0])
    case.expect(not status["is_current"], "the isolated domain reports that it is current")
    time.sleep(4)
    healed_at = time.time()
    served = [s for s in case.fleet.read_starts() if s[0] > lowered_at and s[1] == "pasig-hall"]
    case.figures["served per second while cut"] = round(len(served) / (healed_at - lowered_at), 1)
    case.expect(len(served) > 0, "the isolated domain served nothing")
    case.fleet.set_partitions([])
    case.wait_until_in_force(lowered["revision"], 4.0)
    case.figures["caught up after s"] = round(time.time() - healed_at, 2)
    load.wait(timeout=90)
    case.figures["cut for s"] = round(healed_at - isolated_at, 1)
    case.check_limits(since=lowered_at, share=40)
    case.check_outcomes(case.fleet.read_report())


def holder_frozen(case: fault_case.Case) -> None:
    """A lease holder frozen past expiry does not use the slices that others have taken over."""
    load = case.start_load(
        40, "browse gallery-reader 120 10.1.0.9 GET /b", "visayas gallery-reader 60 10.2.0.9 GET /b"
    )
    time.sleep(3)
    victim = case.fleet.find_entries("pasig-hall")[0]
    case.fleet.signal_entry(victim, signal.SIGSTOP)
    time.sleep(26)
    case.fleet.signal_entry(victim, signal.SIGCONT)
    load.wait(timeout=90)
    report = case.fleet.read_report()
    case.figures["answered"] = [item["answered"] for item in report]
    case.check_limits()
    case.check_outcomes(report)


def region_lost(case: fault_case.Case) -> None:
    """All entries of a region are killed; shifted load is served within its cap and step."""
    load = case.start_load(
        16, "browse gallery-reader 60 10.1.0.9 GET /b", "visayas gallery-reader 20 10.2.0.9 GET /b"
    )
    time.sleep(4)
    lost_at = time.time()
    for entry in case.fleet.entries:
        if fault_case.REGION_BY_DOMAIN[entry.domain] == "luzon":
            case.fleet.signal_entry(entry, signal.SIGKILL)
    load.wait(timeout=90)
    report = case.fleet.read_report()
    shifted = [s for s in case.fleet.read_starts() if s[0] > lost_at + 3 and "browse" in s[2]]
    rate = len(shifted) / (shifted[-1][0] - lost_at - 3) if shifted else 0
    case.figures["shifted per second"] = round(rate, 1)
    case.expect(
        rate >= fault_case.REGION_SHIFT / 2,
        f"only {rate:.1f} shifted per second of {fault_case.REGION_SHIFT} allowed",
    )
    case.check_limits()
    case.check_outcomes(report)


def platform_away(case: fault_case.Case) -> None:
    """While the platform is unavailable, every domain keeps serving at its floors."""
    load = case.start_load(
        26, "browse gallery-reader 90 10.1.0.9 GET /b", "visayas gallery-reader 90 10.2.0.9 GET /b"
    )
    time.sleep(4)
    case.fleet.set_platform_faults(down=True)
    down_at = time.time()
    time.sleep(18)
    up_at = time.time()
    case.fleet.set_platform_faults(down=False)
    load.wait(timeout=90)
    starts = [s for s in case.fleet.read_starts() if down_at + 4 < s[0] < up_at]
    rate = len(starts) / (up_at - down_at - 4)
    case.figures["served per second of floors"] = f"{rate:.1f} of {2 * fault_case.REGION_FLOOR}"
    case.expect(
        rate >= 0.8 * 2 * fault_case.REGION_FLOOR,
        f"{rate:.1f} per second of the floors {2 * fault_case.REGION_FLOOR}",
    )
    after = [s for s in case.fleet.read_starts() if s[0] > up_at + 2]
    case.figures["served after"] = len(after)
    case.check_limits()
    case.check_outcomes(case.fleet.read_report())


def once_under_kills(case: fault_case.Case) -> None:
    """Duplicate purchases through two entries run at most once under kills, freezes and losses."""
    report = asyncio.run(_send_duplicates(case))
    runs = case.fleet.read_runs()
    repeated = [token for token, count in runs.items() if "dup-once" in token and count > 1]
    case.expect(not repeated, f"ran more than once: {repeated[:3]}")
    false_not_run = [token for token in report["not_run"] if runs.get(token)]
    case.expect(not false_not_run, f"reported not run but ran: {false_not_run[:3]}")
    wrong = report["wrong"]
    case.expect(not wrong, f"answers of other requests: {wrong[:3]}")
    case.figures |= {name: len(value) for name, value in report.items()}
    case.expect(len(report["answered"]) > 100, "too few were answered")


async def _send_duplicates(case: fault_case.Case) -> dict[str, list[str]]:
    client = http_client.HttpClient(2000, 2.0)
    outcomes: dict[str, list[str]] = {"answered": [], "not_run": [], "unknown": [], "wrong": []}
    entries = [entry.caller_address for entry in case.fleet.entries]
    tasks = []
    for number in range(400):
        if number == 100:
            case.fleet.set_backend_faults("pasig-hall-checkout-1", lose_answers=5)
        if number == 150:
            case.fleet.signal_entry(case.fleet.entries[0], signal.SIGKILL)
        if number == 250:
            case.fleet.signal_entry(case.fleet.entries[2], signal.SIGSTOP)
        if number == 350:
            case.fleet.signal_entry(case.fleet.entries[2], signal.SIGCONT)
        tasks.append(asyncio.create_task(_send_duplicate_pair(client, entries, number, outcomes)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)
    await client.close()
    return outcomes


async def _send_duplicate_pair(client, entries: list[str], number: int, outcomes: dict) -> None:
    token = f"dup-once-{number}"
    key = None
    for offset in range(len(entries)):
        with contextlib.suppress(*http_client.FAILURES):
            address = entries[(number + offset) % len(entries)]
            exchange = http_client.Exchange()
            _, found = await client.fetch(
                exchange, "GET", address, LOOKUP_TARGET, [], None, 1.0, ANSWER_MAX_BYTES
            )
            key = json.loads(found)["key"]
            break
    if key is None:
        return
    first = _send_once(client, entries[number % len(entries)], token, key, outcomes)
    second = _send_once(client, entries[(number + 3) % len(entries)], token, key, outcomes)
    await asyncio.gather(first, second)


async def _send_once(client, address: str, token: str, key: str, outcomes: dict) -> None:
    headers = [("caperdyke-key", key), ("test-token", token)]
    target = "/serve/tala-gallery/checkout/buy"
    exchange = http_client.Exchange()
    try:
        _, content = await client.fetch(
            exchange, "POST", address, target, headers, b"x" * 50, 8.0, ANSWER_MAX_BYTES
        )
        body = json.loads(content)
    except (ValueError, *http_client.FAILURES):
        return
    if "outcome" in body:
        name = "not_run" if body["outcome"] == "not-run" else "unknown"
    else:
        name = "answered" if body["token"] == token else "wrong"
    outcomes[name].append(token)


def whole_answers(case: fault_case.Case) -> None:
    """Backend servers truncate answers; no caller gets a partial or foreign answer."""
    for name in case.fleet.backends:
        case.fleet.set_backend_faults(name, cut_answers=3)
    load = case.start_load(
        8,
        "browse gallery-reader 30 10.1.0.9 GET /b",
        "visayas-bundle bundle-depot 1 10.2.0.9 GET /download/1",
        "once checkout 10 10.1.0.9 POST /buy",
    )
    load.wait(timeout=90)
    report = case.fleet.read_report()
    for item in report:
        case.figures[item["stream"]] = (
            f"{item['answered']}/{item['sent']} answered, {item['failed']} failed,"
            f" {item['unknown']} unknown"
        )
    case.check_outcomes(report)


def slow_readers(case: fault_case.Case) -> None:
    """Clients that stop reading a large download use bounded memory and fail no other request."""
    entry = case.fleet.entries[0]
    before = case.fleet.measure_memory(entry)
    host, port = entry.caller_address.split(":")
    readers = []
    for number in range(SLOW_READERS):
        reader = socket.create_connection((host, int(port)))
        reader.sendall(
            f"GET /serve/tala-gallery/bundle-depot/download/{number} HTTP/1.1\r\n"
            "host: x\r\n\r\n".encode()
        )
        readers.append(reader)
    load = case.start_load(8, "browse gallery-reader 20 10.1.0.9 GET /b")
    load.wait(timeout=60)
    growth = case.fleet.measure_memory(entry) - before
    for reader in readers:
        reader.close()
    browse = case.fleet.read_report()[0]
    case.figures["memory growth MB"] = round(growth, 1)
    case.expect(growth <= SLOW_READERS * MAX_MB_PER_SLOW_READER, f"memory grew by {growth:.0f} MB")
    lost = browse["sent"] - browse["answered"]
    case.expect(lost == 0, f"{lost} reads lost beside slow readers: {browse['reasons']}")
    case.check_outcomes([browse])


def backend_server_leaves(case: fault_case.Case) -> None:
    """A leaving backend server gets no requests later than 3 s after any of the three signals."""
    load = case.start_load(22, "browse gallery-reader 55 10.1.0.9 GET /b")
    time.sleep(2)
    signaled_at_by_server = {}
    listed_server = "pasig-hall-gallery-reader-1"
    _publish_server_state(case, listed_server, "leaving")
    signaled_at_by_server[listed_server] = time.time()
    time.sleep(5)
    case.fleet.set_platform_faults(down=True)
    announced_server = "pasig-hall-gallery-reader-2"
    entry = case.fleet.find_entries("quezon-hall")[0].caller_address
    other = case.fleet.find_entries("pasig-hall")[1].caller_address
    case.fleet.run_operator("drain", "announce", announced_server, "--entry", other)
    signaled_at_by_server[announced_server] = time.time()
    time.sleep(5)
    case.fleet.set_platform_faults(down=False)
    reporting_server = "quezon-hall-gallery-reader-1"
    case.fleet.set_backend_faults(reporting_server, leaving=True)
    signaled_at_by_server[reporting_server] = time.time()
    time.sleep(5)
    for name, signaled_at in signaled_at_by_server.items():
        state = case.fleet.call(case.fleet.backends[name], "GET", "/standin/runs")
        delay_s = state["last_start"] - signaled_at
        case.figures[name] = f"last new work {delay_s:.2f} s after the sign"
        case.expect(delay_s <= 3.0, f"{name} got work {delay_s:.1f} s after the sign")
    case.fleet.run_operator("drain", "show", "--entry", entry)
    load.wait(timeout=60)
    report = case.fleet.read_report()
    case.figures["answered"] = f"{report[0]['answered']} of {report[0]['sent']}"
    case.check_outcomes(report)


def _publish_server_state(case: fault_case.Case, name: str, state: str) -> None:
    domain, service = name.split("-gallery")[0], "gallery-reader"
    item = {"name": name, "kind": "backend", "state": state, "domain": domain}
    item |= {"address": case.fleet.backends[name], "service": service, "slots": 3}
    case.fleet.call(case.fleet.platform, "PUT", "/standin/instances", {"instances": [item]})


def place_drained(case: fault_case.Case) -> None:
    """A failure domain drains under load without losses until its backend servers are idle."""
    load = case.start_load(
        20,
        "browse gallery-reader 8 10.1.0.9 GET /b",
        "bundle bundle-depot 1 10.1.0.9 GET /download/1",
        "once checkout 4 10.1.0.9 POST /buy",
    )
    time.sleep(5)
    entry = case.fleet.find_entries("cebu-hall")[0].caller_address
    case.fleet.run_operator("drain", "announce", "pasig-hall", "--entry", entry)
    announced_at = time.time()
    idle_at = announced_at
    names = [name for name in case.fleet.backends if name.startswith("pasig-hall")]
    while load.poll() is None:
        if any(_read_runs(case, name)["in_flight"] for name in names):
            idle_at = time.time()
        time.sleep(0.1)
    last = max(_read_runs(case, name)["last_start"] for name in names) - announced_at
    case.figures["last new work s"] = round(last, 2)
    case.figures["drain time s"] = round(idle_at - announced_at, 1)
    case.expect(last <= 3.0, f"new work {last:.1f} s after the announcement")
    report = case.fleet.read_report()
    for item in report:
        lost = item["sent"] - item["answered"]
        case.expect(lost == 0, f"{item['stream']}: {lost} lost {item['reasons']}")
    case.check_outcomes(report)


def _read_runs(case: fault_case.Case, name: str) -> dict:
    return case.fleet.call(case.fleet.backends[name], "GET", "/standin/runs")


def planned_stops(case: fault_case.Case) -> None:
    """Both entries of a domain stop gracefully at the same time under load; no request is lost."""
    load = case.start_load(
        20,
        "browse gallery-reader 8 10.1.0.9 GET /b",
        "bundle bundle-depot 1 10.1.0.9 GET /download/1",
        "once checkout 4 10.1.0.9 POST /buy",
    )
    time.sleep(4)
    for entry in case.fleet.find_entries("pasig-hall"):
        case.fleet.signal_entry(entry, signal.SIGTERM)
    stopped_at = time.time()
    for entry in case.fleet.find_entries("pasig-hall"):
        entry.process.wait(timeout=35)
    case.figures["stopped after s"] = round(time.time() - stopped_at, 1)
    load.wait(timeout=90)
    report = case.fleet.read_report()
    for item in report:
        lost = item["sent"] - item["answered"]
        case.figures[item["stream"]] = f"{item['answered']}/{item['sent']} {item['reasons']}"
        case.expect(lost == 0, f"{item['stream']}: {lost} lost {item['reasons']}")
        case.expect(item["failed"] == 0, f"{item['stream']}: {item['failed']} cut off")
    case.check_outcomes(report)


def rolling_replacement(case: fault_case.Case) -> None:
    """A rolling restart of all entries of a region loses no request."""
    load = case.start_load(
        60,
        "browse gallery-reader 8 10.1.0.9 GET /b",
        "once checkout 4 10.1.0.9 POST /buy",
        "visayas gallery-reader 4 10.2.0.9 GET /b",
    )
    time.sleep(2)
    replaced = 0
    for entry in list(case.fleet.entries):
        if fault_case.REGION_BY_DOMAIN[entry.domain] == "luzon":
            case.fleet.signal_entry(entry, signal.SIGTERM)
            entry.process.wait(timeout=35)
            case.fleet.start_entry(entry)
            fleet.wait_for(lambda entry=entry: _holds_slice(case, entry), entry.name)
            replaced += 1
    case.figures["replaced"] = replaced
    load.wait(timeout=90)
    report = case.fleet.read_report()
    for item in report:
        lost = item["sent"] - item["answered"]
        case.expect(lost == 0, f"{item['stream']}: {lost} lost {item['reasons']}")
    case.check_limits()
    case.check_outcomes(report)


def killed_while_stopping(case: fault_case.Case) -> None:
    """An entry is killed during a graceful stop; limits hold and no request runs twice."""
    load = case.start_load(
        14,
        "browse gallery-reader 20 10.1.0.9 GET /b",
        "bundle bundle-depot 1 10.1.0.9 GET /download/1",
        "once checkout 10 10.1.0.9 POST /buy",
    )
    time.sleep(3)
    victim = case.fleet.entries[0]
    case.fleet.signal_entry(victim, signal.SIGTERM)
    time.sleep(5.5)
    case.fleet.signal_entry(victim, signal.SIGKILL)
    load.wait(timeout=90)
    report = case.fleet.read_report()
    for item in report:
        case.figures[item["stream"]] = f"{item['answered']}/{item['sent']} {item['reasons']}"
    case.check_limits()
    case.check_outcomes(report)


def _holds_slice(case: fault_case.Case, entry: fleet.Entry) -> bool:
    try:
        status = case.read_status(entry)
    except (OSError, ValueError):
        return False
    return bool(status["is_ready"] and status["slices"])


def late_starter(case: fault_case.Case) -> None:
    """An entry started while the platform is unavailable gets its configuration from peers."""
    victim = case.fleet.entries[0]
    case.fleet.signal_entry(victim, signal.SIGKILL)
    victim.process.wait(timeout=5)
    case.fleet.set_platform_faults(down=True)
    started_at = time.time()
    case.fleet.start_entry(victim)
    fleet.wait_for(lambda: _is_ready(case, victim), victim.name)
    case.figures["ready from peers after s"] = round(time.time() - started_at, 2)
    others = [case.read_status(entry)["revision"] for entry in case.fleet.entries]
    case.expect(len(set(others)) == 1, f"revisions differ: {others}")


def _is_ready(case: fault_case.Case, entry: fleet.Entry) -> bool:
    try:
        return bool(case.fleet.call(entry.caller_address, "GET", "/readyz")["is_ready"])
    except (OSError, ValueError):
        return False


SLOW_READERS = 6
# Covers the flow-control window, the socket buffers and one chunk, with a margin.
MAX_MB_PER_SLOW_READER = 3
LARGE_DOWNLOADS = (
    fleet.ServicePlan("gallery-reader", 3, 3, 8),
    fleet.ServicePlan("bundle-depot", 1, 6, 5, 64 << 20, 0),
)
# Cases that replace the default backend servers.
SERVICES_BY_CASE = {"slow_readers": LARGE_DOWNLOADS}
CASES = (
    configuration_accepted_once,
    operators_race,
    domain_cut_off,
    holder_frozen,
    region_lost,
    platform_away,
    once_under_kills,
    whole_answers,
    slow_readers,
    backend_server_leaves,
    place_drained,
    planned_stops,
    rolling_replacement,
    killed_while_stopping,
    late_starter,
)


def run_case(function) -> bool:
    """Runs one case on a new fleet and returns whether it passed."""
    services = SERVICES_BY_CASE.get(function.__name__, fault_case.SERVICES)
    domains = tuple(
        fleet.DomainPlan(name, 2, services, region)
        for name, region in fault_case.REGION_BY_DOMAIN.items()
    )
    folder = pathlib.Path(tempfile.mkdtemp(prefix="caperdyke-faults-"))
    documents = []
    for name, text in (
        ("places.ini", fault_case.PLACES_DOCUMENT),
        ("contract.ini", fault_case.make_contract()),
    ):
        (folder / name).write_text(text)
        documents.append((str(folder / name), "tala"))
    with fleet.Fleet(domains, delays_us=(1500, 20000)) as running:
        case = fault_case.Case(running)
        try:
            running.start(documents)
            function(case)
        except Exception as error:
            case.problems.append(f"the case itself failed: {error!r}")
        print(f"{'passed' if not case.problems else 'FAILED'}  {function.__name__}")
        for name, value in case.figures.items():
            print(f"    {name}: {value}")
        for problem in case.problems:
            print(f"    problem: {problem}")
        if case.problems:
            print(f"    logs: {running.folder}")
        if (running.folder / "load" / "results.json").exists():
            table = results.format_table(running.read_report())
            print("    " + table.replace("\n", "\n    "))
        sys.stdout.flush()
    return not case.problems


def main(names: list[str]) -> int:
    """Runs the named cases, or all, and returns the exit status."""
    chosen = [case for case in CASES if not names or case.__name__ in names]
    passed = [run_case(case) for case in chosen]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
