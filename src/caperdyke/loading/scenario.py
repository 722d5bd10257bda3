"""Scenarios of the load generator, read from INI files."""

import dataclasses

from caperdyke.protocol import ini
from caperdyke.state import ids

METHODS = ("GET", "POST")


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """One stream of requests.

    :param rate: mean requests per second at the start.
    :param rate_end: mean requests per second at the end; the rate changes linearly in between.
    :param client: IP address of the caller, which the look-up is made for.
    :param body_size: bytes of the body of a POST request.
    :param timeout_ms: timeout of one attempt.
    :param direct: addresses of backend servers that requests go to without a look-up, as a
        baseline for comparison; empty to use entry instances.
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
    """One run of the load generator.

    :param entries: entry instances that answer look-ups.
    :param seed: seed of all arrival times.
    """

    seconds: int
    seed: int
    entries: tuple[ids.Address, ...]
    streams: tuple[Stream, ...]


def read_scenario(path: str) -> Scenario:
    """Returns the scenario in a file.

    :raises errors.SettingsError: if the file contains an invalid entry.
    """
    document = ini.read_file(path)
    seconds = document.read_number("run", "seconds", 1, 600)
    addresses = document.read_words("run", "entries", "")
    entries = tuple(
        ids.Address(document.check_address("run", "entries", address)) for address in addresses
    )
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
        tuple(
            ids.Address(document.check_address(section, "direct", address)) for address in direct
        ),
        document.read_number(section, "starts_at_ms", 0, seconds * 1000, 0),
        document.read_number(section, "ends_at_ms", 0, seconds * 1000, seconds * 1000),
        document.read_number(section, "timeout_ms", 1, 600_000, 60_000),
    )
