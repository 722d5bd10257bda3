"""Headers of callers and backend servers on the users' platform."""

import http.cookies

from caperdyke.state import ids, request_heads

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
# Status of a backend server that is not the one expected; it did not run the request.
MISDIRECTED_STATUS = 421

RawHeaders = list[tuple[bytes, bytes]]


def read_caller(headers: RawHeaders) -> request_heads.CallerHeaders:
    """Returns what the headers of a caller's request say; names are in lower case."""
    found = dict(headers)
    return request_heads.CallerHeaders(
        found.get(REQUEST_ID, b"").decode("latin-1"),
        _read_number(found.get(REQUEST_DEADLINE)),
        _read_object_key(headers),
    )


def read_server(status: int, headers: RawHeaders) -> request_heads.ServerHeaders:
    """Returns what the headers of a backend server's answer say; names are in lower case."""
    found = dict(headers)
    is_misdirected = status == MISDIRECTED_STATUS and SIGNATURE not in found
    return request_heads.ServerHeaders(
        found.get(REQUEST_ID, b"").decode("latin-1"),
        SIGNATURE in found,
        NOT_EXECUTED in found or is_misdirected,
        is_misdirected,
        _read_load(found.get(SERVER_LOAD)),
        _read_number(found.get(COLD_LEFT)),
        _read_limit(found),
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
        headers.append((b"retry-after", b"%.2f" % retry_seconds))
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


def _read_limit(found: dict[bytes, bytes]) -> request_heads.LimitReport:
    text = next((found[name] for name in SERVER_LIMITS if name in found), None)
    if text is None:
        return request_heads.NoLimit()
    number = _read_number(text)
    if number is None:
        return request_heads.UnreadableLimit(text.decode("latin-1"))
    return request_heads.NamedLimit(number)


def _read_load(text: bytes | None) -> request_heads.ServerLoad | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in text.split(b","))
    except ValueError:
        return None
    return request_heads.ServerLoad(running, waiting, slots)
