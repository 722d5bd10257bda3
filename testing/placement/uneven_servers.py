"""Servers whose pace changes and whose runs have a heavy tail, for the simulation of placement."""

import dataclasses
import random

# Steps of the pace of a server that are drawn; then they repeat.
STEPS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Paces:
    """How the pace of each server changes.

    :param step_s: how long a pace lasts, in seconds.
    :param slow_share: part of the time for which work takes ``slow_pace`` times as long.
    :param tail_share: part of the runs that take ``tail_factor`` times as long.
    :param report_delay_s: time from the end of a run until its report is used.
    :param is_reported: whether servers report the pace.
    """

    step_s: float = 0.6
    slow_share: float = 0.0
    slow_pace: float = 2.5
    tail_share: float = 0.0
    tail_factor: float = 7.0
    report_delay_s: float = 0.0
    is_reported: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Bookings:
    """Requests that must not run twice and take about half of their timeout if they are warm.

    :param share: part of all requests.
    :param warm: work in seconds if the object is warm; ``cold`` if it is not.
    :param start_s: time of the first one, when other requests have warmed the objects.
    """

    share: float = 0.05
    warm: float = 0.61
    cold: float = 1.83
    objective_s: float = 0.8
    timeout_s: float = 1.2
    start_s: float = 20.0


class PaceCourse:
    """The pace of one server over time.

    :param paces: None if it never changes and is not reported.
    """

    def __init__(self, paces: Paces | None, rng: random.Random) -> None:
        self._paces = paces
        self._random = rng
        self._steps: list[float] = []
        if paces is not None and paces.slow_share:
            self._offset = rng.uniform(0.0, paces.step_s)
            self._steps = [
                paces.slow_pace if rng.random() < paces.slow_share else 1.0 for _ in range(STEPS)
            ]

    def find(self, now: float) -> float | None:
        """Returns the pace that the server reports; None if it reports none."""
        if self._paces is None or not self._paces.is_reported:
            return None
        return self._find_actual(now)

    def find_end(self, now: float, work_s: float) -> float:
        """Returns the time at which a run ends that would take ``work_s`` at the usual pace."""
        if not self._steps:
            return now + work_s
        while True:
            pace = self._find_actual(now)
            position = (now + self._offset) / self._paces.step_s
            step_ends_at = (int(position) + 1) * self._paces.step_s - self._offset
            if step_ends_at <= now + 1e-9:
                step_ends_at += self._paces.step_s
            if work_s * pace <= step_ends_at - now:
                return now + work_s * pace
            work_s -= (step_ends_at - now) / pace
            now = step_ends_at

    def draw_tail(self) -> float:
        """Returns by how much the next run takes longer."""
        if self._paces is None or not self._paces.tail_share:
            return 1.0
        is_tail = self._random.random() < self._paces.tail_share
        return self._paces.tail_factor if is_tail else 1.0

    def _find_actual(self, now: float) -> float:
        if not self._steps:
            return 1.0
        # Half a nanosecond keeps the start of a step from counting to the step before it.
        return self._steps[int((now + self._offset + 5e-10) / self._paces.step_s) % STEPS]
