"""Requests of one team that wait for tokens at this instance."""

import asyncio
import collections

from caperdyke.coordination.quotas import stock, token_requests
from caperdyke.state import ids


class TokenWaiters:
    """The tokens of one team, and the requests that wait for them in the order of arrival.

    :ivar timer: runs while a holder is expected to reply.
    """

    def __init__(self, team: ids.TeamName) -> None:
        self.requests = token_requests.TokenRequests(team)
        self.timer: asyncio.TimerHandle | None = None
        self._waiting: collections.deque[asyncio.Future] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self) -> asyncio.Future:
        """Adds a request; its future ends with a token, or with None if it gets none."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        return future

    def count(self) -> int:
        """Returns how many requests wait, and drops those that have given up."""
        while self._waiting and self._waiting[0].done():
            self._waiting.popleft()
        return sum(not future.done() for future in self._waiting)

    def serve(self, now: float) -> None:
        """Hands tokens in stock to the requests that wait."""
        while self.count():
            token = self.requests.take(now)
            if token is None:
                return
            self.finish_first(token)

    def finish_first(self, token: stock.Token | None) -> None:
        """Ends the wait of the request that came first; called while any waits."""
        future = self._waiting.popleft()
        if not future.done():
            future.set_result(token)

    def finish_all(self) -> None:
        """Ends all waits without a token."""
        while self._waiting:
            self.finish_first(None)

    def stop_timer(self) -> None:
        """Stops waiting for the reply of a holder."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
