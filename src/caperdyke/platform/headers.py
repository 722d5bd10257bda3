"""Headers of callers and backend servers on the users' platform."""

import datetime
import email.utils
import http.cookies

from caperdyke.state import header_fields, ids

REQUEST_ID = b"caperdyke-request-id"
# Milliseconds that the caller will still wait; a duration, though it is called a deadline.
REQUEST_DEADLINE = b"caperdyke-request-deadline"
AFFINITY_COOKIE = "Caperdyke-Affinity-Key"
EXPECTED_INSTANCE = b"caperdyke-expect-instance"
SIGNATURE = b"caperdyke-server-signature"
NOT_EXECUTED = b"caperdyke-not-executed"
SERVER_LOAD = b"caperdyke-server-load"
COLD_LEFT = b"caperdyke-cold-milliseconds"
# Requests a second that the server takes; the platform's text leaves the prefix out.
SERVER_LIMITS = (b"caperdyke-server-limit", b"server-limit")
# Says 1 while the server is about to end; the platform's text leaves the prefix out.
SERVER_LEAVING = (b"caperdyke-server-leaving", b"server-leaving")
RETRY_AFTER = b"retry-after"
# Status of a backend server that turns a request away, and may say for how long it wants none.
UNAVAILABLE_STATUS = 503
# Status of a backend server that is not the one expected; it did not run the request.
MISDIRECTED_STATUS = 421

RawHeaders = list[tuple[bytes, bytes]]


def parse_caller_headers(headers: RawHeaders) -> header_fields.CallerHeaders:
    """Returns what the headers of a caller's request say; names are in lower case."""
    found = dict(headers)
    return header_fields.CallerHeaders(
        found.get(REQUEST_ID, b"").decode("latin-1"),
        _read_number(found.get(REQUEST_DEADLINE)),
        _read_object_key(headers),
    )


def parse_server_headers(status: int, headers: RawHeaders) -> header_fields.ServerHeaders:
    """Returns what the headers of a backend server's answer say; names are in lower case."""
    found = dict(headers)
    is_misdirected = status == MISDIRECTED_STATUS and SIGNATURE not in found
    return header_fields.ServerHeaders(
        found.get(REQUEST_ID, b"").decode("latin-1"),
        SIGNATURE in found,
        NOT_EXECUTED in found or is_misdirected,
        is_misdirected,
        _read_load(found.get(SERVER_LOAD)),
        _read_number(found.get(COLD_LEFT)),
        _read_limit(found),
        _read_rest(status, headers),
        _read_leaving(headers),
    )


def make_server_headers(headers: RawHeaders, wait_ms: float, server: ids.BackendId) -> RawHeaders:
    """Returns a caller's headers as they are passed on to a backend server.

    :param wait_ms: how long the answer is still of use, in milliseconds.
    """
    own = (REQUEST_DEADLINE, EXPECTED_INSTANCE)
    kept = [item for item in headers if item[0] not in own]
    kept.append((REQUEST_DEADLINE, b"%d" % max(1, int(wait_ms))))
    kept.append((EXPECTED_INSTANCE, server.encode("latin-1")))
    return kept


def make_refusal_headers(request_id: str, retry_seconds: float | None) -> RawHeaders:
    """Returns the headers of an answer of the system's own.

    :param retry_seconds: when the caller may come back, in seconds from now.
    """
    headers = [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
    if retry_seconds is not None:
        headers.append((RETRY_AFTER, b"%.2f" % retry_seconds))
    return headers


def _read_object_key(headers: RawHeaders) -> ids.ObjectKey:
    for name, value in headers:
        if name != b"cookie":
            continue
        try:
            morsel = http.cookies.SimpleCookie(value.decode("latin-1")).get(AFFINITY_COOKIE)
        except http.cookies.CookieError:
            # A cookie that cannot be read costs the request its preferred server, nothing else.
            continue
        if morsel is not None:
            return ids.ObjectKey(morsel.value)
    return ids.ObjectKey("")


def _read_number(text: bytes | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def _read_limit(found: dict[bytes, bytes]) -> header_fields.LimitReport:
    text = next((found[name] for name in SERVER_LIMITS if name in found), None)
    if text is None:
        return header_fields.NoLimit()
    number = _read_number(text)
    if number is None:
        return header_fields.UnreadableLimit(text.decode("latin-1"))
    return header_fields.AdvertisedLimit(number)


def _read_rest(status: int, headers: RawHeaders) -> header_fields.BackoffReport:
    """Returns the longest rest that an answer asks for."""
    texts = [value for name, value in headers if name == RETRY_AFTER]
    if status != UNAVAILABLE_STATUS or not texts:
        return header_fields.NoBackoff()
    sent_at = _read_date(dict(headers).get(b"date", b""))
    found = [_read_rest_seconds(text, sent_at) for text in texts]
    readable = [seconds for seconds in found if seconds is not None]
    if not readable:
        return header_fields.UnreadableBackoff(texts[0].decode("latin-1"))
    return header_fields.RequestedBackoff(max(readable))


def _read_rest_seconds(text: bytes, sent_at: datetime.datetime | None) -> float | None:
    seconds = _read_number(text)
    until = _read_date(text)
    if seconds is not None or until is None:
        return seconds
    if sent_at is None:
        sent_at = datetime.datetime.now(datetime.UTC)
    return max(0.0, (until - sent_at).total_seconds())


def _read_date(text: bytes) -> datetime.datetime | None:
    try:
        found = email.utils.parsedate_to_datetime(text.decode("latin-1"))
    except ValueError:
        return None
    return found if found.tzinfo is not None else found.replace(tzinfo=datetime.UTC)


def _read_leaving(headers: RawHeaders) -> bool:
    values = [value.strip() for name, value in headers if name in SERVER_LEAVING]
    return any(value not in (b"", b"0") for value in values)


def _read_load(text: bytes | None) -> header_fields.ServerLoad | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in text.split(b","))
    except ValueError:
        return None
    return header_fields.ServerLoad(running, waiting, slots)
