"""Measures the unit costs from which docs/CAPACITY.md is estimated."""

import asyncio
import dataclasses
import random
import time
import tracemalloc

import fleet

from caperdyke.coordination import acceptance, adoption, leases, lookup, membership, overlay, shares
from caperdyke.protocol import documents, frames, messages, records
from caperdyke.state import blockmap, ids, lease, member, timing
from caperdyke.state import configuration as configurations
from caperdyke.transport.http import http_client
from caperdyke.transport.peers import peerlink

NODES = 750
DOMAINS = 9
REGIONS = 3
NODES_PER_DOMAIN = 84
BLOCKS = 900_000
# Largest answer that is read, in bytes.
ANSWER_MAX_BYTES = 64 * 1024
SITES = 87
CUSTOMERS = 100
SETTLE_TIME_S = 6.0


@dataclasses.dataclass(frozen=True)
class Slope:
    """One measured unit cost."""

    name: str
    value: float
    unit: str


def measure_cpu_us(function, seconds: float) -> float:
    """Returns the mean CPU time of a call in microseconds, repeated for the given CPU seconds."""
    count = 0
    start = time.process_time()
    while time.process_time() - start < seconds:
        for _ in range(10):
            function()
        count += 10
    return (time.process_time() - start) / count * 1e6


def make_places(operator: str, regions: int, domains: int) -> str:
    """Returns a places document at full size."""
    text = f"[places]\noperator = {operator}\n"
    for number in range(domains):
        text += (
            f"[domain d{number}]\nregion = r{number % regions}\ncapacity = 1000000\n"
            f"slices = {NODES_PER_DOMAIN}\n"
        )
    return text


def make_contract(number: int) -> str:
    """Returns one customer's contract at full size."""
    text = (
        f"[contract]\ncustomer = customer-{number}\noperator = tala\nweight = latency\n"
        "period_ms = 1000\nshift_cap = 3000\nshift_step = 900\nretry_percent = 10\n"
    )
    for service in ("reader", "checkout", "depot"):
        text += f"[service {service}]\nkind = cheap\nrepeatable = yes\ndeadline_ms = 2000\n"
    for region in range(REGIONS):
        text += f"[region r{region}]\nshare = 20000\nfloor = 10000\nshift = 1000\n"
    return text


def make_configuration() -> configurations.Configuration:
    """Returns a configuration with all domains and customers."""
    configuration = configurations.EMPTY
    texts = [make_places("tala", REGIONS, DOMAINS)]
    texts += [make_contract(number) for number in range(CUSTOMERS)]
    for number, text in enumerate(texts):
        configuration = apply_text(configuration, text, number)
    return configuration


def apply_text(configuration, text: str, number: int) -> configurations.Configuration:
    """Returns the configuration with a document added, without the checks of acceptance."""
    name, document = documents.parse_document("bench", text)
    return acceptance.apply_document(
        configuration, ids.ChangeId(f"c{number}"), ids.Timestamp(1.0), name, text, document
    )


def make_members() -> list[member.Member]:
    """Returns the records of all nodes."""
    members = []
    for number in range(NODES):
        domain = number % DOMAINS
        members.append(
            member.Member(
                ids.InstanceId(f"d{domain}-entry-{number:03}"),
                ids.Incarnation(1_796_000_000_000 + number),
                ids.DomainName(f"d{domain}"),
                ids.Address(f"10.0.{number // 250}.{number % 250}:7200"),
                ids.Address(f"10.0.{number // 250}.{number % 250}:7100"),
                member.MemberState.LIVE,
            )
        )
    return members


def measure_blocks() -> list[Slope]:
    """Measures the map of client blocks."""
    blocks = [
        (number * 256, number * 256 + 255, ids.DomainName(f"site-{number % SITES}"))
        for number in range(BLOCKS)
    ]
    tracemalloc.start()
    block_map = blockmap.BlockMap()
    before = tracemalloc.get_traced_memory()[0]
    start = time.process_time()
    block_map.load(blocks)
    loaded = time.process_time() - start
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    rng = random.Random(1)
    addresses = [rng.randrange(BLOCKS * 256) for _ in range(1000)]
    position = iter(range(10**12))
    look_up = measure_cpu_us(lambda: block_map.find(addresses[next(position) % 1000]), 0.5)
    move = measure_cpu_us(
        lambda: block_map.move((next(position) % BLOCKS) * 256, ids.DomainName("site-1")), 0.3
    )
    return [
        Slope("block map, memory", memory / 1e6, "MB"),
        Slope("block map, load of all blocks (with tracing)", loaded, "s"),
        Slope("block map, find one address", look_up, "us"),
        Slope("block map, move one block", move, "us"),
    ]


def measure_decisions(configuration, members: list[member.Member]) -> list[Slope]:
    """Measures the decisions made for every look-up and request."""
    now = 1000.0
    table = membership.MemberTable(members[0])
    for record in members:
        table.merge(record)
    contract = configuration.contracts[ids.CustomerName("customer-1")]
    home = ids.DomainName("d0")
    configuration_table = adoption.ConfigurationTable()
    configuration_table.adopt(now, configuration)
    configuration_table.confirm(configuration.revision, now)
    holders = [item.holder for item in members if item.domain == "d0"]
    row = make_row(now, holders)
    limiter = shares.ShareLimiter(members[0].holder, home)
    limiter.apply_row(row)
    choose = measure_cpu_us(
        lambda: lookup.choose_entries(now, configuration, contract, home, table, frozenset(), 1),
        0.5,
    )
    limits = measure_cpu_us(
        lambda: limiter.find_limits(now, configuration_table, contract.customer), 0.5
    )
    merge = measure_cpu_us(lambda: table.merge(members[5]), 0.2)
    links = measure_cpu_us(lambda: overlay.choose_links(members[0], members), 0.5)
    return [
        Slope("look-up, choose entries among all nodes", choose, "us"),
        Slope("request, find limits with 84 slices", limits, "us"),
        Slope("member record, merge", merge, "us"),
        Slope("links, choose among all nodes", links, "us"),
    ]


def make_row(now: float, holders: list[lease.Holder]) -> lease.DomainLease:
    """Returns a full lease row."""
    row = leases.plan_renewal(
        now, lease.make_empty(ids.DomainName("d0"), 0), holders, NODES_PER_DOMAIN
    )
    return dataclasses.replace(row, version=1)


def measure_changes(configuration) -> list[Slope]:
    """Measures one configuration change and the messages that carry it."""
    text = make_contract(1).replace("share = 20000", "share = 19999")
    change = records.Change(
        ids.Revision(configuration.revision + 1),
        ids.ChangeId("x" * 36),
        ids.OperatorName("tala"),
        ids.Timestamp(1.0),
        ids.Timestamp(4.0),
        configurations.DocumentKind.CONTRACT,
        "customer-1",
        text,
    )
    apply = measure_cpu_us(lambda: records.apply_change(configuration, change), 1.0)
    data = frames.encode_record(change)
    reply = frames.encode_frame(messages.ChangesReply((data,), b"", 1.0))
    snapshot = frames.encode_record(records.make_snapshot(configuration))
    restore = measure_cpu_us(
        lambda: records.restore_configuration(frames.decode_record(records.Snapshot, snapshot)), 1.0
    )
    return [
        Slope("change, apply", apply, "us"),
        Slope("change, bytes of the message", len(reply), "B"),
        Slope("snapshot, bytes", len(snapshot), "B"),
        Slope("snapshot, open", restore, "us"),
    ]


def measure_lease() -> list[Slope]:
    """Measures one renewal of a full lease row."""
    holders = [item.holder for item in make_members() if item.domain == "d0"]
    row = make_row(1000.0, holders)
    plan = measure_cpu_us(lambda: leases.plan_renewal(1003.0, row, holders, NODES_PER_DOMAIN), 0.5)
    data = frames.encode_record(row)
    renewed = frames.encode_frame(messages.LeaseRenewed(ids.DomainName("d0"), 2, 1, 1.0))
    request = frames.encode_frame(messages.RenewRequest(holders[0]))
    return [
        Slope("lease, plan a renewal of 84 slices", plan, "us"),
        Slope("lease, bytes of the row", len(data), "B"),
        Slope("lease, bytes of a renewal", len(renewed), "B"),
        Slope("lease, bytes of a request", len(request), "B"),
    ]


def measure_frames(members: list[member.Member]) -> list[Slope]:
    """Measures the messages that are sent continuously."""
    heartbeat = messages.Heartbeat(ids.Revision(100_000), 1_796_000_000.123, 0.5)
    data = frames.encode_frame(heartbeat)
    member_news = frames.encode_frame(messages.MemberNews((members[0],)))
    return [
        Slope("heartbeat, bytes", len(data), "B"),
        Slope(
            "heartbeat, encode", measure_cpu_us(lambda: frames.encode_frame(heartbeat), 0.3), "us"
        ),
        Slope(
            "heartbeat, decode",
            measure_cpu_us(lambda: frames.decode_payload(data[4:]), 0.3),
            "us",
        ),
        Slope("member news, bytes", len(member_news), "B"),
    ]


async def simulate_peers(
    running: fleet.Fleet, entry: fleet.Entry, own: str, count: int, seconds: float
) -> float:
    """Opens links of simulated peers and sends heartbeats and renewals at real rates.

    :returns: CPU seconds of the entry per second, once all links are open.
    """
    address = entry.peer_address
    host, port = address.split(":")
    links = []
    for number in range(count):
        reader, writer = await asyncio.open_connection(host, int(port))
        domain = ids.DomainName(own if number < NODES_PER_DOMAIN else f"d{number % 8 + 1}")
        record = member.Member(
            ids.InstanceId(f"peer-{number:03}"),
            ids.Incarnation(1),
            domain,
            ids.Address(f"127.0.0.1:{1 + number % 9}"),
            ids.Address("127.0.0.1:1"),
            member.MemberState.LEAVING,
        )
        await peerlink.handshake(reader, writer, record)
        links.append((record, reader, writer))
        if number % 50 == 49:
            # Heartbeats keep the open links from expiring meanwhile.
            for _, _, opened in links:
                opened.write(frames.encode_frame(messages.Heartbeat(ids.Revision(0), 0.0, 0.5)))
    readers = [asyncio.create_task(_discard_input(reader)) for _, reader, _ in links]
    end = time.monotonic() + seconds + SETTLE_TIME_S
    iteration = 0
    started_at, used = 0.0, 0.0
    while time.monotonic() < end:
        if not started_at and time.monotonic() > end - seconds:
            started_at, used = time.monotonic(), running.measure_cpu(entry)
        for record, _, writer in links:
            heartbeat = messages.Heartbeat(ids.Revision(0), 0.0, 0.5)
            writer.write(frames.encode_frame(heartbeat))
            if iteration % 6 == 0 and record.domain == own:
                writer.write(frames.encode_frame(messages.RenewRequest(record.holder)))
        iteration += 1
        await asyncio.sleep(timing.HEARTBEAT_INTERVAL_SECONDS)
    used = (running.measure_cpu(entry) - used) / (time.monotonic() - started_at)
    for task in readers:
        task.cancel()
    for _, _, writer in links:
        writer.close()
    return used


async def _discard_input(reader: asyncio.StreamReader) -> None:
    while await reader.read(65536):
        pass


async def send_lookups(address: str, seconds: float, callers: int) -> tuple[int, float]:
    """Sends look-ups from concurrent callers; returns their number and the elapsed seconds."""
    client = http_client.HttpClient(callers, 2.0)
    target = "/lookup?customer=tala-gallery&client=10.1.0.9"
    end = time.monotonic() + seconds
    start = time.monotonic()
    count = 0

    async def call() -> None:
        nonlocal count
        while time.monotonic() < end:
            exchange = http_client.Exchange()
            await client.fetch(exchange, "GET", address, target, [], None, 5.0, ANSWER_MAX_BYTES)
            count += 1

    await asyncio.gather(*(call() for _ in range(callers)))
    await client.close()
    return count, time.monotonic() - start


def measure_process(is_quick: bool) -> list[Slope]:
    """Measures one entry process: idle, under look-ups, and with simulated peers."""
    seconds = 5.0 if is_quick else 12.0
    slopes = []
    domains = (fleet.DomainPlan("pasig-hall", 1, (fleet.ServicePlan("gallery-reader", 1, 3, 1),)),)
    places = "[places]\noperator = tala\n[domain pasig-hall]\nregion = luzon\n"
    places += "capacity = 100\nslices = 84\n"
    contract = (
        "[contract]\ncustomer = tala-gallery\noperator = tala\nweight = latency\n"
        "period_ms = 1000\nshift_cap = 0\nshift_step = 0\nretry_percent = 10\n"
        "[service gallery-reader]\nkind = cheap\nrepeatable = yes\ndeadline_ms = 2000\n"
        "[region luzon]\nshare = 100\nfloor = 50\nshift = 0\n"
    )
    with fleet.Fleet(domains) as running:
        paths = []
        for name, text in (("places.ini", places), ("contract.ini", contract)):
            (running.folder / name).write_text(text)
            paths.append((str(running.folder / name), "tala"))
        running.start_platform()
        running.start_backends()
        for path, operator in paths:
            running.run_operator(
                "apply", path, "--operator", operator, "--platform", running.platform
            )
        started_at = time.monotonic()
        running.start_entries()
        entry = running.entries[0]
        fleet.wait_for(lambda: _is_ready(entry), entry.name)
        slopes.append(Slope("entry, start to ready", time.monotonic() - started_at, "s"))
        time.sleep(2)
        slopes.append(Slope("entry, idle memory", running.measure_memory(entry), "MB"))
        before = running.measure_cpu(entry)
        time.sleep(seconds)
        idle = (running.measure_cpu(entry) - before) / seconds
        slopes.append(Slope("entry, idle processor", idle * 100, "% of a core"))
        before = running.measure_cpu(entry)
        count, elapsed_s = asyncio.run(send_lookups(entry.caller_address, seconds, 32))
        used = running.measure_cpu(entry) - before
        slopes.append(Slope("look-up, processor time over HTTP", used / count * 1e6, "us"))
        slopes.append(Slope("look-ups a second, callers on other cores", count / elapsed_s, "/s"))
        for count in (24, NODES_PER_DOMAIN, NODES):
            used = asyncio.run(simulate_peers(running, entry, "pasig-hall", count, seconds)) - idle
            slopes.append(Slope(f"entry, {count} linked peers", used * 100, "% of a core"))
            slopes.append(
                Slope(f"entry, memory with {count} peers", running.measure_memory(entry), "MB")
            )
            time.sleep(3)
    return slopes


def _is_ready(entry: fleet.Entry) -> bool:
    try:
        return bool(fleet.call(entry.caller_address, "GET", "/readyz")["is_ready"])
    except (OSError, ValueError):
        return False
