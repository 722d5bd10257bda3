"""Decides whether a failed request is retried, and whether it is certain that it did not run."""

import dataclasses
import enum


class Progress(enum.Enum):
    """The outcome of all attempts of a request so far; the least favorable one counts."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


# Sends of one request that may fail before they reach a server of the route.
UNREACHED_SENDS_MAX = 3


@dataclasses.dataclass(slots=True)
class Attempts:
    """Counts the sends of one request.

    :param servers_max: number of servers that the request may reach at most.
    :param is_repeatable: whether the request may run more than once.
    :param sent: sends that reached any server.
    :param reached: sends that reached a server of the route.
    :param unreached: sends that did not reach a server of the route.
    """

    servers_max: int
    is_repeatable: bool
    sent: int = 0
    reached: int = 0
    unreached: int = 0
    progress: Progress = Progress.NOT_SENT

    def record_unreached(self) -> None:
        """Counts a send that failed before its first byte."""
        self.unreached += 1

    def record_misdirected(self) -> None:
        """Counts a send that reached a server of another service; it does not use up an attempt."""
        self.sent += 1
        self.unreached += 1
        self.record_not_run()

    def record_reached(self) -> None:
        """Counts a send that reached a server of the route."""
        self.sent += 1
        self.reached += 1

    def record_not_run(self) -> None:
        """Records that a server reported that it did not run the request."""
        if self.progress is Progress.NOT_SENT:
            self.progress = Progress.NOT_RUN

    def record_may_have_run(self) -> None:
        """Records that a server may have run the request, at least in part."""
        self.progress = Progress.MAY_HAVE_RUN

    def allows_retry(self) -> bool:
        """Returns whether the request may be sent to one more server.

        Pattern: an answer is lost after the server ran the request. A request that is not
        repeatable is sent again only as long as no server can have run it.
        """
        if self.reached >= self.servers_max or self.unreached > UNREACHED_SENDS_MAX:
            return False
        return self.is_repeatable or self.progress is not Progress.MAY_HAVE_RUN

    @property
    def allows_copy(self) -> bool:
        """Whether a copy of the answered request may be sent to one more server."""
        return self.is_repeatable and self.reached + 1 < self.servers_max

    @property
    def is_known_not_run(self) -> bool:
        """Whether it is certain that no server ran the request or will run it."""
        return self.progress is not Progress.MAY_HAVE_RUN
