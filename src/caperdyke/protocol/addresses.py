"""Checks addresses that other writers provide."""

import re

PORT_MAX = 65535
# Printable characters without spaces; the longest name that the Domain Name System allows.
_HOST = re.compile(r"[\x21-\x7e]{1,253}")


def check_address(text: str) -> str:
    """Returns an address of the form ``host:port``.

    :raises ValueError: if no connection to it can be opened anywhere.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(PORT_MAX))
    if not _HOST.fullmatch(host) or not is_number or not 1 <= int(port) <= PORT_MAX:
        raise ValueError(f"got address {text[:300]!r}, expected host:port")
    return text
