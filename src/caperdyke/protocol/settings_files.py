"""Reads and validates the settings files of the programs."""

import re

from caperdyke.protocol import ini
from caperdyke.state import backend, ids, settings

NAME_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
POLICIES = ("least-work", "round-robin", "random-two")
BODY_MAX_BYTES = 1024 * 1024


def read_entry(path: str) -> settings.EntrySettings:
    """Returns the settings of an entry instance.

    :raises errors.SettingsError: if the file cannot be read or a setting is invalid.
    """
    document = ini.read_file(path)
    domain = ids.DomainName(_read_name(document, "instance", "failure_domain"))
    document.has_section("limits")
    peer_address = document.read_address("instance", "peer_address")
    result = settings.EntrySettings(
        instance=ids.InstanceId(_read_name(document, "instance", "name")),
        domain=domain,
        caller_address=ids.Address(document.read_address("instance", "caller_address")),
        peer_address=ids.Address(peer_address),
        advertised_address=ids.Address(
            document.read_address("instance", "advertised_peer_address", peer_address)
        ),
        platform_address=ids.Address(document.read_address("platform", "address")),
        seeds=_read_seeds(document),
        backends=_read_backends(document, domain),
        body_max=document.read_number("limits", "body_max", 1, BODY_MAX_BYTES, 256 * 1024),
        stop_seconds=document.read_number("limits", "stop_seconds", 1, 3600, 30),
        policy=document.read_choice("limits", "policy", POLICIES, POLICIES[0]),
        logs=read_logs(document),
        memory_bytes=read_memory(document),
        descriptors=read_descriptors(document),
    )
    document.check_all_read()
    return result


def read_memory(document: ini.Document) -> int | None:
    """Returns the memory that the process may take in bytes, None if it is not given."""
    memory_mb = document.read_number("limits", "memory_mb", 0, 2**20, 0)
    return memory_mb * 1024 * 1024 or None


def read_descriptors(document: ini.Document) -> int | None:
    """Returns the descriptors that the process may open, None if they are not given."""
    return document.read_number("limits", "descriptors", 0, 2**24, 0) or None


def read_platform(path: str) -> settings.PlatformSettings:
    """Returns the settings of the stand-in for the platform."""
    document = ini.read_file(path)
    result = settings.PlatformSettings(
        ids.Address(document.read_address("platform", "address")),
        document.read_number("platform", "list_lag_ms", 0, 600_000, 0),
        read_logs(document),
    )
    document.check_all_read()
    return result


def read_backend(path: str) -> settings.BackendSettings:
    """Returns the settings of the stand-in for backend servers."""
    document = ini.read_file(path)
    names = document.list_sections("backend")
    if not names:
        raise document.make_error("", "", "no section [backend NAME]", "at least one")
    simulated = tuple(_read_simulated(document, name) for name in names)
    result = settings.BackendSettings(simulated, read_logs(document))
    document.check_all_read()
    return result


def read_network(path: str) -> settings.NetworkSettings:
    """Returns the settings of the stand-in for the network."""
    document = ini.read_file(path)
    result = settings.NetworkSettings(
        ids.Address(document.read_address("network", "control")),
        tuple(_read_route(document, name) for name in document.list_sections("route")),
        tuple(_read_place(document, name) for name in document.list_sections("place")),
        tuple(_read_delay(document, name) for name in document.list_sections("delay")),
        read_logs(document),
    )
    document.check_all_read()
    return result


def _read_route(document: ini.Document, name: str) -> settings.NetworkRoute:
    section = f"route {name}"
    return settings.NetworkRoute(
        document.read_text(section, "place"),
        ids.Address(document.read_address(section, "listen")),
        ids.Address(document.read_address(section, "target")),
    )


def _read_place(document: ini.Document, name: str) -> settings.NetworkPlace:
    return settings.NetworkPlace(name, document.read_text(f"place {name}", "host"))


def _read_delay(document: ini.Document, name: str) -> settings.NetworkDelay:
    first, _, second = name.partition(" ")
    delay_us = document.read_number(f"delay {name}", "one_way_us", 0, 1_000_000)
    return settings.NetworkDelay(first, second, delay_us)


def _read_simulated(document: ini.Document, name: str) -> settings.SimulatedBackend:
    section = f"backend {name}"
    return settings.SimulatedBackend(
        ids.BackendId(name),
        ids.ServiceName(document.read_text(section, "service")),
        ids.Address(document.read_address(section, "address")),
        document.read_number(section, "slots", 1, 10_000),
        document.read_number(section, "service_ms", 0, 600_000),
        document.read_number(section, "cold_requests", 0, 100_000, 0),
        document.read_number(section, "cold_factor", 1, 1_000, 1),
        document.read_number(section, "download_bytes", 0, 1 << 30, 1 << 20),
        document.read_number(section, "download_ms", 0, 600_000, 0),
    )


def _read_name(document: ini.Document, section: str, key: str) -> str:
    text = document.read_text(section, key)
    if not NAME_PATTERN.fullmatch(text):
        expected = "1 to 64 letters, digits, '-' or '_'"
        raise document.make_error(section, key, repr(text), expected)
    return text


def _read_seeds(document: ini.Document) -> tuple[ids.Address, ...]:
    document.has_section("peers")
    words = document.read_words("peers", "seeds", "")
    return tuple(ids.Address(document.check_address("peers", "seeds", word)) for word in words)


def _read_backends(
    document: ini.Document, domain: ids.DomainName
) -> tuple[backend.BackendServer, ...]:
    servers = []
    for name in document.list_sections("backend"):
        section = f"backend {name}"
        servers.append(
            backend.BackendServer(
                ids.BackendId(name),
                domain,
                ids.ServiceName(document.read_text(section, "service")),
                ids.Address(document.read_address(section, "address")),
                document.read_number(section, "slots", 1, 10_000),
            )
        )
    return tuple(servers)


def read_logs(document: ini.Document) -> settings.LogSettings:
    """Returns the level and format of the log."""
    document.has_section("logs")
    formats = [item.value for item in settings.LogFormat]
    return settings.LogSettings(
        document.read_choice("logs", "level", LOG_LEVELS, "INFO"),
        settings.LogFormat(document.read_choice("logs", "format", formats, "text")),
    )
