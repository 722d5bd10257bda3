"""Decides whether a request that failed is sent again, and what its caller is told."""

import dataclasses
import enum


class Progress(enum.Enum):
    """What became of the sends of a request so far, the worst that holds."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


# Sends of one request that may end before they reach a server of the route.
UNREACHED_MAX = 3


@dataclasses.dataclass(slots=True)
class Attempts:
    """The sends of one request.

    :param sends_max: most servers that the request may reach.
    :param is_repeatable: whether it may run more than once.
    :param sent: requests that arrived anywhere.
    :param reached: those that arrived at a server of the route.
    :param unreached: sends that did not.
    """

    sends_max: int
    is_repeatable: bool
    sent: int = 0
    reached: int = 0
    unreached: int = 0
    progress: Progress = Progress.NOT_SENT

    def record_unreached(self) -> None:
        """Counts a send that ended before its first byte."""
        self.unreached += 1

    def record_misdirected(self) -> None:
        """Counts a send that reached a server of another service, which is no attempt."""
        self.sent += 1
        self.unreached += 1
        self.record_not_run()

    def record_reached(self) -> None:
        """Counts a send that reached a server."""
        self.sent += 1
        self.reached += 1

    def record_not_run(self) -> None:
        """Records that a server says it did not run the request."""
        if self.progress is Progress.NOT_SENT:
            self.progress = Progress.NOT_RUN

    def record_may_have_run(self) -> None:
        """Records that a server may have worked on the request."""
        self.progress = Progress.MAY_HAVE_RUN

    def allows_retry(self) -> bool:
        """Tells whether the request may be sent to one more server.

        Pattern: answers are lost after the server did its work. A request that may not be repeated
        is sent again only while every server so far is known not to have run it.
        """
        if self.reached >= self.sends_max or self.unreached > UNREACHED_MAX:
            return False
        return self.is_repeatable or self.progress is not Progress.MAY_HAVE_RUN

    @property
    def allows_copy(self) -> bool:
        """Whether one server more than the one that answered may get the request."""
        return self.is_repeatable and self.reached + 1 < self.sends_max

    @property
    def is_known_not_run(self) -> bool:
        """Whether no server ran the request or ever will."""
        return self.progress is not Progress.MAY_HAVE_RUN
