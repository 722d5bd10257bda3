"""Measures the parts of requests that no application reads: heads, trailers and framing."""

import dataclasses
import enum

# Largest headers of a request until a configuration is known.
HEADER_BYTES_DEFAULT = 64 * 1024
# Bytes of a head beside the headers: white space, and the request line, whose target may be as long
# as the headers.
HEAD_FACTOR = 2
HEAD_EXTRA_BYTES = 1024
# Empty lines before a request (RFC 9112, section 2.2, asks servers to skip one at least).
EMPTY_LINES_BYTES_MAX = 1024
# Memory of a request in progress, and of each of its headers, beside their bytes.
REQUEST_OVERHEAD_BYTES = 16 * 1024
FIELD_OVERHEAD_BYTES = 192
# Forms of a target in a request: as received, with and without its query, as text.
TARGET_FORMS = 4
# Bytes of a field beside its name and its value.
FIELD_FRAMING_BYTES = 4


class Fault(enum.Enum):
    """Why what a caller sends is not read on, with the status and the text of the response."""

    HEAD_TOO_LARGE = (431, "The head of the request is too large.")
    TRAILERS_TOO_LARGE = (431, "The trailers of the request are too large.")
    # No request has begun that could be answered.
    EMPTY_LINES = (None, "")

    def __init__(self, status: int | None, text: str) -> None:
        self.status = status
        self.text = text


class _Phase(enum.Enum):
    BETWEEN = "between requests"
    HEAD = "head"
    BODY = "body"


@dataclasses.dataclass(slots=True)
class MessageLimits:
    """Limits on what callers send, which a configuration sets.

    :ivar header_bytes: size of all headers of a request, and of its trailers.
    """

    header_bytes: int = HEADER_BYTES_DEFAULT

    @property
    def fields_bytes(self) -> int:
        """Size of all headers, including those that instances add when they relay a request."""
        return self.header_bytes + HEAD_EXTRA_BYTES

    @property
    def head_bytes(self) -> int:
        """Size of a whole head."""
        return HEAD_FACTOR * self.header_bytes + HEAD_EXTRA_BYTES


class MessageMeter:
    """Measures the requests of one connection while they are parsed.

    Bytes are measured before they are parsed: a field, a target or a chunk without end causes no
    event of the parser.

    Pattern: heads, trailers, chunk extensions or empty lines without end, in one piece or many.
    """

    __slots__ = (
        "_fields_bytes",
        "_gap_bytes",
        "_has_progressed",
        "_limits",
        "_phase",
        "head_cost",
    )

    def __init__(self, limits: MessageLimits) -> None:
        self._limits = limits
        self._phase = _Phase.BETWEEN
        # Whether the bytes that are being parsed have brought a message forward, and how many have
        # been parsed since then.
        self._has_progressed = False
        self._gap_bytes = 0
        self._fields_bytes = 0
        self.head_cost = 0

    @property
    def is_receiving_body(self) -> bool:
        """Whether the head of a request is complete, and the request is not."""
        return self._phase is _Phase.BODY

    @property
    def held_bytes(self) -> int:
        """Memory of what has been received and belongs to no request yet."""
        return self._gap_bytes + (self.head_cost if self._phase is _Phase.HEAD else 0)

    def begin_message(self) -> None:
        """Begins to measure a request."""
        self._enter(_Phase.HEAD)
        self.head_cost = REQUEST_OVERHEAD_BYTES

    def record_target(self, part: bytes) -> None:
        """Records a part of the target, which a request holds in several forms."""
        self.head_cost += TARGET_FORMS * len(part)

    def record_field(self, name: bytes, value: bytes) -> None:
        """Records a header or a trailer."""
        size = len(name) + len(value) + FIELD_FRAMING_BYTES
        self._fields_bytes += size
        self.head_cost += size + FIELD_OVERHEAD_BYTES

    def complete_head(self) -> None:
        """Records the end of the head."""
        self._enter(_Phase.BODY)

    def record_body(self) -> None:
        """Records that a part of the body has arrived."""
        self._has_progressed = True

    def complete_message(self) -> None:
        """Records the end of the request."""
        self._enter(_Phase.BETWEEN)

    def record_piece(self, size: int) -> Fault | None:
        """Records the size of bytes that have been parsed, and returns why no more should be."""
        self._gap_bytes = 0 if self._has_progressed else self._gap_bytes + size
        self._has_progressed = False
        if self._phase is _Phase.BETWEEN:
            return Fault.EMPTY_LINES if self._gap_bytes > EMPTY_LINES_BYTES_MAX else None
        limits = self._limits
        if self._gap_bytes <= limits.head_bytes and self._fields_bytes <= limits.fields_bytes:
            return None
        return Fault.HEAD_TOO_LARGE if self._phase is _Phase.HEAD else Fault.TRAILERS_TOO_LARGE

    def _enter(self, phase: _Phase) -> None:
        self._phase = phase
        self._has_progressed = True
        self._fields_bytes = 0
