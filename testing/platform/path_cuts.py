"""Cuts of the network path from one gateway to all backend servers."""

import asyncio
import enum

from caperdyke import errors
from caperdyke.transport.gateway import context


class CutManner(enum.Enum):
    """What happens to connections between a gateway and all servers."""

    # Nothing passes; connections stay open and new ones do not open.
    HANGING = "hanging"
    # Connections are reset and new ones are refused.
    RESET = "reset"
    # Connections stay usable and new ones are refused.
    NEW_REFUSED = "new refused"


class PathCut:
    """Cuts a gateway off from all servers until it is healed.

    :param node: gateway whose connection pool is replaced in part.
    """

    def __init__(self, node: context.GatewayContext, manner: CutManner) -> None:
        self._pool = node.pool
        self._manner = manner
        self._open = node.pool.open
        self._kept = [item for idle in node.pool._idle.values() for item in idle]
        node.pool.open = self._fail_to_open
        match manner:
            case CutManner.HANGING:
                for connection in self._kept:
                    connection.send = _swallow
            case CutManner.RESET:
                for connection in self._kept:
                    connection.close()
            case CutManner.NEW_REFUSED:
                pass

    def heal(self) -> None:
        """Restores the path; connections that hung are closed."""
        self._pool.open = self._open
        if self._manner is CutManner.HANGING:
            for connection in self._kept:
                connection.close()

    async def _fail_to_open(self, address: str, timeout: float):
        if self._manner is CutManner.HANGING:
            await asyncio.sleep(min(timeout, 0.5))
            raise errors.ConnectTimeoutError(f"{address}: cut")
        raise errors.BackendFailedError(f"{address}: ConnectionRefusedError()", False)


def _swallow(*_arguments) -> None:
    """Stands for bytes that are sent and never arrive."""
