"""Source and age of the active configuration, for the log line of a request."""

import dataclasses
import math

from caperdyke.state import store_rows

STORE = "store"


@dataclasses.dataclass(slots=True)
class Provenance:
    """Source and age of the configuration of one instance; times are in seconds.

    :param source: ``store``, or the address of the instance that sent the active version.
    :param position: store position of the active version.
    :param adopted_at: time at which the active version was adopted.
    :param store_answered_at: time of the store's latest answer about the configuration.
    :param confirmed_at: start of the latest call by which the store confirmed the active version:
        the store's answer, however late it arrives, shows a state that is no older.
    :param announcement_received_at: time of the latest announcement of another instance.
    :param calls: start time of each pending call to the store.
    """

    source: str = ""
    position: store_rows.Position = store_rows.FIRST_POSITION
    adopted_at: float = -math.inf
    store_answered_at: float = -math.inf
    confirmed_at: float = -math.inf
    announcement_received_at: float = -math.inf
    calls: list[float] = dataclasses.field(default_factory=list)

    def record_adoption(self, now: float, source: str, position: store_rows.Position) -> None:
        """Records that a version became the active one."""
        self.adopted_at, self.source, self.position = now, source, position

    def record_confirmation(self, started_at: float) -> None:
        """Records that a call which started at this time found the configuration as it is here."""
        self.confirmed_at = max(self.confirmed_at, started_at)

    def is_confirmed(self, now: float, seconds_max: float) -> bool:
        """Returns whether the configuration was confirmed within a time.

        Pattern: an instance is cut off from the store, or was paused, while keys are removed.
        """
        return now <= self.confirmed_at + seconds_max

    def describe(self, now: float) -> dict[str, object]:
        """Returns the fields of a log line; ages are in milliseconds, -1 if there was none."""
        return {
            "source": self.source,
            "position": str(self.position),
            "adopted_ms": _compute_age_ms(now, self.adopted_at),
            "store_word_ms": _compute_age_ms(now, self.store_answered_at),
            "others_word_ms": _compute_age_ms(now, self.announcement_received_at),
            "calls_ms": [_compute_age_ms(now, started_at) for started_at in self.calls],
        }


def _compute_age_ms(now: float, event_at: float) -> int:
    return -1 if event_at == -math.inf else round((now - event_at) * 1000)
