"""Parses and creates the HTTP headers of the users' platform."""

import datetime
import email.utils
import http.cookies
import re
import urllib.parse

from caperdyke.state import header_fields, ids, teams

REQUEST_ID = b"caperdyke-request-id"
# Remaining time that the caller waits, in milliseconds; a duration in spite of its name.
REQUEST_DEADLINE = b"caperdyke-request-deadline"
AFFINITY_COOKIE = "Caperdyke-Affinity-Key"
EXPECTED_INSTANCE = b"caperdyke-expect-instance"
# Carries the caller's API key, and the name of the team that holds it.
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"Bearer "
TENANT = b"caperdyke-tenant"
SIGNATURE = b"caperdyke-server-signature"
NOT_EXECUTED = b"caperdyke-not-executed"
SERVER_LOAD = b"caperdyke-server-load"
COLD_LEFT = b"caperdyke-cold-milliseconds"
# Requests per second that the server accepts. The platform's documentation omits the prefix.
SERVER_LIMITS = (b"caperdyke-server-limit", b"server-limit")
# Is 1 while the server is shutting down. The platform's documentation omits the prefix.
SERVER_LEAVING = (b"caperdyke-server-leaving", b"server-leaving")
RETRY_AFTER = b"retry-after"
# Fourth figure of the load header while work takes as long as usual, and its highest multiple.
PACE_USUAL = 100.0
PACE_MAX = 100.0
# Status of a backend server that refuses a request; Retry-After may ask for a backoff.
UNAVAILABLE_STATUS = 503
# Status of a backend server other than the expected one; it did not run the request.
MISDIRECTED_STATUS = 421

# A value that arrives as it was sent: white space around it would be dropped.
_HEADER_VALUE = re.compile(
    rb"(?:[\x21-\x7e\x80-\xff](?:[\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?"
)

RawHeaders = list[tuple[bytes, bytes]]


def parse_caller_headers(headers: RawHeaders) -> header_fields.CallerHeaders:
    """Parses the headers of a caller's request; names must be in lower case."""
    found = dict(headers)
    return header_fields.CallerHeaders(
        found.get(REQUEST_ID, b"").decode("latin-1"),
        _parse_number(found.get(REQUEST_DEADLINE)),
        _parse_object_key(headers),
        _parse_credential(headers),
    )


def parse_server_headers(status: int, headers: RawHeaders) -> header_fields.ServerHeaders:
    """Parses the headers of a backend server's response; names must be in lower case."""
    found = dict(headers)
    is_misdirected = status == MISDIRECTED_STATUS and SIGNATURE not in found
    return header_fields.ServerHeaders(
        found.get(REQUEST_ID, b"").decode("latin-1"),
        SIGNATURE in found,
        NOT_EXECUTED in found or is_misdirected,
        is_misdirected,
        _parse_load(found.get(SERVER_LOAD)),
        _parse_number(found.get(COLD_LEFT)),
        _parse_limit(found),
        _parse_backoff(status, headers),
        _parse_leaving(headers),
    )


def make_server_headers(
    headers: RawHeaders,
    wait_ms: float,
    server: ids.BackendId,
    identity: header_fields.Identity,
) -> RawHeaders:
    """Returns a caller's headers as they are forwarded to a backend server.

    :param wait_ms: remaining time that the caller waits, in milliseconds.
    """
    replaced_names = (REQUEST_DEADLINE, EXPECTED_INSTANCE)
    passed_headers = [item for item in headers if item[0] not in replaced_names]
    match identity:
        case header_fields.TeamIdentity(team=team):
            passed_headers = _strip_identity(passed_headers)
            if team is not None:
                passed_headers.append((TENANT, _encode_team(team)))
        case header_fields.UnmanagedIdentity():
            pass
    passed_headers.append((REQUEST_DEADLINE, b"%d" % max(1, int(wait_ms))))
    passed_headers.append((EXPECTED_INSTANCE, server.encode("latin-1")))
    return passed_headers


def make_relayed_headers(
    headers: RawHeaders, wait_ms: float | None, identity: header_fields.Identity
) -> RawHeaders:
    """Returns a caller's headers as they are forwarded to another instance.

    :param wait_ms: remaining time that the caller waits, in milliseconds; None if not specified.
    """
    replaced_names = (REQUEST_DEADLINE, EXPECTED_INSTANCE)
    passed_headers = [item for item in headers if item[0] not in replaced_names]
    if isinstance(identity, header_fields.TeamIdentity):
        passed_headers = _strip_identity(passed_headers)
    if wait_ms is not None:
        passed_headers.append((REQUEST_DEADLINE, b"%d" % max(1, int(wait_ms))))
    return passed_headers


def make_refusal_headers(request_id: str, retry_seconds: float | None) -> RawHeaders:
    """Returns the headers of a response that no backend server produced.

    :param retry_seconds: time until the caller may retry, in seconds, or None.
    """
    headers = [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
    if retry_seconds is not None:
        headers.append((RETRY_AFTER, b"%.2f" % retry_seconds))
    return headers


def _strip_identity(headers: RawHeaders) -> RawHeaders:
    return [item for item in headers if item[0] not in (AUTHORIZATION, TENANT)]


def _encode_team(name: ids.TeamName) -> bytes:
    """Returns a team's name as a header value.

    A name with characters that no header value can contain is percent-encoded: it must neither end
    the header nor cost the team its requests.
    """
    value = name.encode("utf-8", "surrogatepass")
    if _HEADER_VALUE.fullmatch(value):
        return value
    return urllib.parse.quote_from_bytes(value, safe="").encode()


def _parse_credential(headers: RawHeaders) -> header_fields.Credential:
    values = [value for name, value in headers if name == AUTHORIZATION]
    if not values:
        return header_fields.NoCredential()
    key = values[0].removeprefix(KEY_SCHEME)
    if len(values) > 1 or not values[0].startswith(KEY_SCHEME) or not key:
        return header_fields.MalformedCredential()
    # Whatever follows the scheme is compared as it is: further white space makes it another key.
    return header_fields.KeyCredential(teams.digest_key(key))


def _parse_object_key(headers: RawHeaders) -> ids.ObjectKey:
    for name, value in headers:
        if name != b"cookie":
            continue
        try:
            morsel = http.cookies.SimpleCookie(value.decode("latin-1")).get(AFFINITY_COOKIE)
        except http.cookies.CookieError:
            # An unreadable cookie only loses the request its preferred server.
            continue
        if morsel is not None:
            return ids.ObjectKey(morsel.value)
    return ids.ObjectKey("")


def _parse_number(text: bytes | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def _parse_limit(found: dict[bytes, bytes]) -> header_fields.LimitReport:
    text = next((found[name] for name in SERVER_LIMITS if name in found), None)
    if text is None:
        return header_fields.NoLimit()
    number = _parse_number(text)
    if number is None:
        return header_fields.UnreadableLimit(text.decode("latin-1"))
    return header_fields.AdvertisedLimit(number)


def _parse_backoff(status: int, headers: RawHeaders) -> header_fields.BackoffReport:
    """Returns the longest backoff that a response requests."""
    texts = [value for name, value in headers if name == RETRY_AFTER]
    if status != UNAVAILABLE_STATUS or not texts:
        return header_fields.NoBackoff()
    sent_at = _parse_date(dict(headers).get(b"date", b""))
    found = [_parse_backoff_seconds(text, sent_at) for text in texts]
    readable = [seconds for seconds in found if seconds is not None]
    if not readable:
        return header_fields.UnreadableBackoff(texts[0].decode("latin-1"))
    return header_fields.RequestedBackoff(max(readable))


def _parse_backoff_seconds(text: bytes, sent_at: datetime.datetime | None) -> float | None:
    seconds = _parse_number(text)
    until = _parse_date(text)
    if seconds is not None or until is None:
        return seconds
    if sent_at is None:
        sent_at = datetime.datetime.now(datetime.UTC)
    return max(0.0, (until - sent_at).total_seconds())


def _parse_date(text: bytes) -> datetime.datetime | None:
    try:
        found = email.utils.parsedate_to_datetime(text.decode("latin-1"))
    except ValueError:
        return None
    return found if found.tzinfo is not None else found.replace(tzinfo=datetime.UTC)


def _parse_leaving(headers: RawHeaders) -> bool:
    values = [value.strip() for name, value in headers if name in SERVER_LEAVING]
    return any(value not in (b"", b"0") for value in values)


def _parse_load(text: bytes | None) -> header_fields.ServerLoad | None:
    if text is None:
        return None
    parts = text.split(b",")
    try:
        running, waiting, slots = (int(part) for part in parts[:3])
    except ValueError:
        return None
    pace = _parse_number(parts[3]) if len(parts) > 3 else None
    is_plausible = pace is not None and 0 < pace <= PACE_USUAL * PACE_MAX
    return header_fields.ServerLoad(
        running, waiting, slots, pace / PACE_USUAL if is_plausible else None
    )
