"""Scenarios of the load program and how they are read."""

import dataclasses

from caperdyke.protocol import ini
from caperdyke.state import ids

METHODS = ("GET", "POST")


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """One stream of requests.

    :param rate: mean requests per second at the start.
    :param rate_end: mean requests per second at the end; changes linearly in between.
    :param client: address that the look-up is asked for.
    :param timeout_ms: longest time that one try may take.
    :param direct: addresses to send to without a look-up, for comparison.
    """

    name: str
    customer: ids.CustomerName
    service: ids.ServiceName
    rate: int
    rate_end: int
    method: str
    path: str
    client: str
    body_size: int
    direct: tuple[ids.Address, ...]
    starts_at_ms: int
    ends_at_ms: int
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One run.

    :param entries: entry instances that are asked for look-ups.
    :param seed: decides all arrivals.
    """

    seconds: int
    seed: int
    entries: tuple[ids.Address, ...]
    streams: tuple[Stream, ...]


def read_scenario(path: str) -> Scenario:
    """Returns the scenario in a file.

    :raises errors.SettingsError: where something in the file cannot be accepted.
    """
    document = ini.read_file(path)
    seconds = document.read_number("run", "seconds", 1, 600)
    words = document.read_words("run", "entries", "")
    entries = tuple(ids.Address(document.check_address("run", "entries", w)) for w in words)
    streams = tuple(
        _read_stream(document, name, seconds) for name in document.list_sections("stream")
    )
    if not streams:
        raise document.make_error("run", "", "no section [stream NAME]", "at least one")
    scenario = Scenario(seconds, document.read_number("run", "seed", 0, 1 << 31), entries, streams)
    document.check_all_read()
    return scenario


def _read_stream(document: ini.Document, name: str, seconds: int) -> Stream:
    section = f"stream {name}"
    rate = document.read_number(section, "rate", 0, 20_000)
    direct = document.read_words(section, "direct", "")
    return Stream(
        name,
        ids.CustomerName(document.read_text(section, "customer")),
        ids.ServiceName(document.read_text(section, "service")),
        rate,
        document.read_number(section, "rate_end", 0, 20_000, rate),
        document.read_choice(section, "method", METHODS, "GET"),
        document.read_text(section, "path", "/"),
        document.read_text(section, "client", "127.0.0.1"),
        document.read_number(section, "body_size", 0, 1 << 20, 0),
        tuple(ids.Address(document.check_address(section, "direct", word)) for word in direct),
        document.read_number(section, "starts_at_ms", 0, seconds * 1000, 0),
        document.read_number(section, "ends_at_ms", 0, seconds * 1000, seconds * 1000),
        document.read_number(section, "timeout_ms", 1, 600_000, 60_000),
    )
