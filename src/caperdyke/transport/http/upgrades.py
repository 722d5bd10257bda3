"""Reads the bodies of requests that ask for another protocol, which is not supported.

The parser stops behind the head of such a request and takes what follows for the other protocol. A
server that does not change the protocol ignores the request for it (RFC 9110, section 7.8), so the
body is read by a new parser, which gets the same framing without the header that asks.
"""

import typing

import httptools

from caperdyke.transport.http import framing

_FRAMING_HEADERS = (framing.CONTENT_LENGTH, framing.TRANSFER_ENCODING)


class Protocol(typing.Protocol):
    """The connection that gets the events of a parser."""

    def on_message_begin(self) -> None:
        """Called at the begin of a request."""

    def on_url(self, url: bytes) -> None:
        """Called with a part of the target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called with a header."""

    def on_headers_complete(self) -> None:
        """Called at the end of a head."""

    def on_body(self, body: bytes) -> None:
        """Called with a part of a body."""

    def on_message_complete(self) -> None:
        """Called at the end of a request."""


class _BodyEvents:
    """Passes on the events of a body, and all events behind it."""

    def __init__(self, protocol: Protocol) -> None:
        self._protocol = protocol
        self._is_head_over = False

    def on_message_begin(self) -> None:
        if self._is_head_over:
            self._protocol.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if self._is_head_over:
            self._protocol.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_head_over:
            self._protocol.on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._is_head_over:
            self._protocol.on_headers_complete()
        self._is_head_over = True

    def on_body(self, body: bytes) -> None:
        self._protocol.on_body(body)

    def on_message_complete(self) -> None:
        self._protocol.on_message_complete()


def make_parser(protocol: Protocol) -> httptools.HttpRequestParser:
    """Returns a parser of all requests of a connection."""
    parser = httptools.HttpRequestParser(protocol)
    # Requests behind one that closes the connection are ignored, not malformed.
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    return parser


def make_body_parser(
    protocol: Protocol, headers: list[tuple[bytes, bytes]]
) -> httptools.HttpRequestParser:
    """Returns a parser that continues with the body of a request.

    :param headers: headers of the request, with names in lower case.
    """
    parser = make_parser(_BodyEvents(protocol))
    head = b"".join(
        b"%s: %s\r\n" % (name, value) for name, value in headers if name in _FRAMING_HEADERS
    )
    parser.feed_data(b"POST / HTTP/1.1\r\n" + head + b"\r\n")
    return parser
