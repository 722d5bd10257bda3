"""Decodes rows that operators and backend servers write to the platform's store."""

import json
import re

from caperdyke import errors
from caperdyke.protocol import addresses
from caperdyke.state import backend, ids, registration, routes, store_rows, teams

CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
KEYS = "apiKeys"
HOMES = "homeRegions"
# Largest valid rate, burst and priority of a team; JSON numbers have no bound.
AMOUNT_MAX = 1e12
# Largest valid slots, start time, sequence number and cold time of a registration.
SLOTS_MAX = 1_000_000
COUNT_MAX = 2**63 - 1
COLD_MS_MAX = 86_400_000
# What json and the constructors raise for documents that they cannot decode. RecursionError stands
# for a document that is too deeply nested.
DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
# Names of servers are sent as header values.
_SERVER_NAME = re.compile(r"[\x21-\x7e]+")


def read_route_table(row: store_rows.StoreRow) -> routes.RouteTable | None:
    """Returns the configuration in a row, or None if the row contains something else.

    :raises errors.ProtocolError: if the configuration cannot be decoded.
    """
    if row.key != CONFIGURATION_KEY or row.value is None:
        return None
    try:
        document = json.loads(row.value)
        limits = document["limits"]
        return routes.RouteTable(
            int(document["version"]),
            tuple(_read_route(name, item) for name, item in document["routes"].items()),
            {
                ids.ServiceName(name): _read_service(name, item)
                for name, item in document["services"].items()
            },
            routes.CallerLimits(
                int(limits["maxHeaderBytes"]),
                int(limits["maxBodyBytes"]),
                float(limits["headerTimeoutMs"]),
                float(limits["idleTimeoutMs"]),
            ),
            _read_teams(document["tenants"]) if document.get("tenants") is not None else None,
        )
    except UnicodeDecodeError as error:
        # The representation of this error contains the whole document, with its keys.
        raise errors.ProtocolError(f"configuration, change {row.changed.number}: {error}") from None
    except DECODING_ERRORS as error:
        raise errors.ProtocolError(
            f"configuration, change {row.changed.number}: {error!r}"
        ) from error


def read_evacuation(row: store_rows.StoreRow) -> store_rows.Evacuation | None:
    """Returns the evacuation that a row declares, or None if the row is for something else."""
    if not row.key.startswith(EVACUATION_PREFIX):
        return None
    return store_rows.Evacuation(ids.DomainName(row.key.removeprefix(EVACUATION_PREFIX)))


def read_registration(row: store_rows.StoreRow) -> registration.Registration:
    """Returns the registration in a row.

    :raises errors.ProtocolError: if the row does not describe a usable backend server.
    """
    try:
        document = json.loads(row.value or b"")
        information, status = document["information"], document["status"]
        _check_types(document, information, status)
        if not _SERVER_NAME.fullmatch(row.key):
            raise ValueError("got a key with other characters, expected visible ASCII characters")
        return registration.Registration(
            backend.BackendServer(
                ids.BackendId(row.key),
                ids.DomainName(information["zone"]),
                ids.ServiceName(information["service"]),
                ids.Address(addresses.check_address(document["address"])),
                information["slots"],
            ),
            registration.RegistrationState(status["state"]),
            document.get("born", 0),
            status["sequence"],
            float(status.get("coldRemainingMs", 0)),
        )
    except DECODING_ERRORS as error:
        raise errors.ProtocolError(f"registration {row.key!r}: {error!r}") from error


def _check_types(document: dict, information: dict, status: dict) -> None:
    texts = (document["address"], information["zone"], information["service"], status["state"])
    numbers = (information["slots"], status["sequence"], document.get("born", 0))
    if not all(isinstance(item, str) and item and _is_encodable(item) for item in texts):
        raise TypeError(f"got texts {texts!r}, expected four non-empty strings")
    if not all(isinstance(item, int) and not isinstance(item, bool) for item in numbers):
        raise TypeError(f"got numbers {numbers!r}, expected three whole numbers")
    if not 1 <= information["slots"] <= SLOTS_MAX:
        raise ValueError(f"slots out of range, expected 1 to {SLOTS_MAX}")
    if not all(0 <= item <= COUNT_MAX for item in numbers):
        raise ValueError(f"number out of range, expected 0 to {COUNT_MAX}")
    if not 0 <= float(status.get("coldRemainingMs", 0)) <= COLD_MS_MAX:
        raise ValueError(f"cold time out of range, expected 0 to {COLD_MS_MAX} ms")


def _read_route(name: str, item: dict) -> routes.Route:
    if "service" in item:
        parts = (routes.WeightedService(ids.ServiceName(item["service"]), 1.0),)
    else:
        parts = tuple(
            routes.WeightedService(ids.ServiceName(part["service"]), float(part["weight"]))
            for part in item["trafficSplit"]
        )
    return routes.Route(
        name=ids.RouteName(name),
        host=item["host"],
        prefix=item["prefix"],
        kind=routes.RouteKind(item["kind"]),
        parts=parts,
        timeout_ms=float(item["timeoutMs"]),
        objective_ms=float(item["latencyObjectiveMs"]),
        priority=int(item.get("priority", 0)),
        attempts_max=int(item["maxAttempts"]),
        has_affinity=bool(item.get("sessionAffinity", False)),
        homes=frozenset(ids.RegionName(region) for region in item.get("homeRegions", ())),
        is_public=item.get("public") is True,
    )


def _read_teams(items: dict) -> teams.TeamDirectory:
    """Returns the teams; a fault in one entry leaves the others, and the rest of it, in force."""
    faults: list[str] = []
    held_keys = []
    for name, item in items.items():
        if not isinstance(item, dict):
            faults.append(f"team {name}: got {type(item).__name__}, expected a table")
            continue
        rate = _read_amount(name, item, "ratePerS", faults)
        burst = _read_amount(name, item, "burst", faults)
        if burst and not rate:
            faults.append(f"team {name}: got burst {burst:g} without a rate, expected both")
        priority = _read_amount(name, item, "priority", faults)
        team = teams.Team(
            ids.TeamName(name),
            int(priority) if priority is not None else None,
            rate or 0.0,
            burst or 0.0,
            frozenset(ids.RegionName(text) for text in _read_texts(name, item, HOMES, faults)),
        )
        keys = _read_texts(name, item, KEYS, faults)
        if not keys:
            faults.append(f"team {name}: no keys, expected one or more")
        held_keys.append((team, keys))
    return teams.make_directory(held_keys, faults)


def _read_amount(name: str, item: dict, field: str, faults: list[str]) -> float | None:
    """Returns a number that is not negative; None where it is missing or invalid."""
    value = item.get(field)
    if value is None:
        return None
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 <= value <= AMOUNT_MAX:
        return float(value)
    # A text may be a key that was entered in the wrong field, so it is not quoted.
    found = f"{value:g}" if is_number and abs(value) <= AMOUNT_MAX else type(value).__name__
    faults.append(f"team {name}: got {field} {found}, expected a number from 0 to {AMOUNT_MAX:g}")
    return None


def _read_texts(name: str, item: dict, field: str, faults: list[str]) -> list[str]:
    """Returns the usable texts of a list; the fault names neither these nor the others."""
    listed = item.get(field)
    if listed is None:
        return []
    if not isinstance(listed, list):
        faults.append(f"team {name}: got {field} {type(listed).__name__}, expected a list")
        return []
    texts = [text for text in listed if isinstance(text, str) and text and _is_encodable(text)]
    if len(texts) < len(listed):
        faults.append(f"team {name}: {len(listed) - len(texts)} of {field} are not usable texts")
    return texts


def _is_encodable(text: str) -> bool:
    """Returns whether a text has no lone surrogates, which JSON allows and UTF-8 does not."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _read_service(name: str, item: dict) -> routes.ServiceLimits:
    return routes.ServiceLimits(
        ids.ServiceName(name),
        int(item["connectionLimit"]),
        float(item["coldStartS"]) * 1000,
        float(item["coldPerS"]),
    )
