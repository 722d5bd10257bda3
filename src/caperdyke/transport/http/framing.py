"""How the body of a request is framed."""

import collections.abc

# Names of the headers, in lower case.
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"


def find_length(headers: collections.abc.Iterable[tuple[bytes, bytes]]) -> int | None:
    """Returns the announced length of a body in bytes, None if there is none.

    :param headers: with names in lower case.
    """
    return next((int(value) for name, value in headers if name == CONTENT_LENGTH), None)


def has_body(headers: collections.abc.Iterable[tuple[bytes, bytes]]) -> bool:
    """Returns whether a body follows the head of a request.

    :param headers: with names in lower case.
    """
    return any(
        name == TRANSFER_ENCODING or (name == CONTENT_LENGTH and value.strip(b"0 ") != b"")
        for name, value in headers
    )
