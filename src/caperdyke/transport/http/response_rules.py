"""Decides which responses of backend servers are passed on to callers.

The parsers of the two sides differ: a response that the client side reads may be one that the
server side cannot write, or that callers read differently. What is not passed on is no answer, as
if the connection had ended before it.
"""

import collections.abc
import re

from caperdyke.transport.http import framing

VERSIONS = frozenset((b"1.0", b"1.1"))
# Informational responses precede a final one (RFC 9110, section 15).
STATUS_MIN = 200
STATUS_MAX = 599
NO_CONTENT_STATUS = 204
# Statuses of responses that end behind their head, whatever their headers say.
BODILESS_STATUSES = frozenset((NO_CONTENT_STATUS, 304))
# Field values contain no control characters but tabs (RFC 9110, section 5.5).
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

Headers = collections.abc.Iterable[tuple[bytes, bytes]]


def find_fault(version: bytes, status: int, headers: Headers) -> str | None:
    """Returns why a response cannot be passed on, or None if it can.

    :param version: version of HTTP, as in ``1.1``.
    :param headers: with names in lower case.
    """
    if version not in VERSIONS:
        return f"HTTP/{version.decode('latin-1')}, expected 1.0 or 1.1"
    if not STATUS_MIN <= status <= STATUS_MAX:
        return f"status {status}, expected {STATUS_MIN} to {STATUS_MAX}"
    lengths, is_encoded = [], False
    for name, value in headers:
        if _CONTROL_CHARACTER.search(value):
            return f"header {name.decode('latin-1')} contains a control character"
        if name == framing.CONTENT_LENGTH:
            lengths.append(value)
        elif name == framing.TRANSFER_ENCODING:
            is_encoded = True
    if lengths and is_encoded:
        return "a length beside a transfer encoding"
    if status == NO_CONTENT_STATUS and (is_encoded or any(value.strip(b"0 ") for value in lengths)):
        return f"status {status} with a body"
    return None
