"""One backend server as seen by an instance: its state, slots and observed latency."""

import collections
import dataclasses

import transitions

from caperdyke.state import backend

# Answers after which a cold backend server counts as warm.
WARM_ANSWERS = 20
# Latency estimate before the first answer.
INITIAL_LATENCY_SECONDS = 0.02


@dataclasses.dataclass(slots=True)
class BackendStats:
    """Observations of one backend server.

    :param owned_slots: slots that this instance may fill.
    :param latency: estimated latency of one answer, in seconds.
    :param is_observed: whether the estimate is based on answers.
    :param started_at: time of the latest start, seconds since 1970.
    :param leaving_at: time of the first sign of leaving, seconds since 1970; 0 where there is none.
    """

    owned_slots: int
    in_flight: int = 0
    answers: int = 0
    failures: int = 0
    latency: float = INITIAL_LATENCY_SECONDS
    is_observed: bool = False
    # Start times of the requests whose answer head has not arrived, oldest first.
    running_since: collections.deque[float] = dataclasses.field(default_factory=collections.deque)
    ejected_until: float = 0.0
    leaving_at: float = 0.0
    starts: int = 0
    started_at: float = 0.0


class BackendRecord:
    """One backend server and its state machine; ``transitions`` adds the trigger methods."""

    def __init__(self, server: backend.BackendServer) -> None:
        self.server = server
        self.stats = BackendStats(server.slots)
        MACHINE.add_model(self, initial=backend.BackendState.WARMING)

    def count_free_slots(self, has_slow_start: bool) -> int:
        """Returns the slots that this instance may fill now.

        :param has_slow_start: whether a cold backend server gets fewer requests until it is warm.
        """
        allowed = self.stats.owned_slots
        if has_slow_start and self.state is backend.BackendState.WARMING:
            warm = self.server.slots * self.stats.answers // WARM_ANSWERS
            allowed = min(allowed, max(1, warm))
        return allowed - self.stats.in_flight

    def estimate_latency(self, now: float) -> float:
        """Returns the expected latency of one answer in seconds.

        The age of the oldest running request is a lower bound, so that a server that becomes slow
        is detected before its first slow answer arrives.
        """
        stats = self.stats
        if not stats.running_since:
            return stats.latency
        return max(stats.latency, now - stats.running_since[0])

    def is_open(self) -> bool:
        """Returns whether the state admits new work."""
        return self.state in (backend.BackendState.WARMING, backend.BackendState.SERVING)


_OPEN_STATES = [backend.BackendState.WARMING, backend.BackendState.SERVING]
MACHINE = transitions.Machine(
    model=None,
    states=backend.BackendState,
    initial=backend.BackendState.WARMING,
    auto_transitions=False,
    ignore_invalid_triggers=True,
    transitions=[
        ["warm", backend.BackendState.WARMING, backend.BackendState.SERVING],
        ["eject", _OPEN_STATES, backend.BackendState.EJECTED],
        ["restore", backend.BackendState.EJECTED, backend.BackendState.WARMING],
        ["leave", [*_OPEN_STATES, backend.BackendState.EJECTED], backend.BackendState.LEAVING],
        ["come_back", backend.BackendState.LEAVING, backend.BackendState.WARMING],
    ],
)
