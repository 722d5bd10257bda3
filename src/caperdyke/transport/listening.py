"""Accepts connections a few at a time, however many wait."""

import asyncio
import os
import socket

# Connections that the system completes before they are accepted.
QUEUE_LENGTH = 4096
# Connections that are accepted before those accepted earlier are looked at. Above the limit of a
# server each holds a descriptor until then.
ACCEPTED_AT_ONCE = 32


def lengthen_queue(server: asyncio.Server) -> None:
    """Lets the system queue more connections than are accepted at once.

    asyncio has one number for both, so servers start with ``ACCEPTED_AT_ONCE``.
    """
    for listening in server.sockets:
        with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
            duplicate.listen(QUEUE_LENGTH)
