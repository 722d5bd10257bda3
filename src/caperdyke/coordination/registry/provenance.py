"""Where the configuration in force came from, for the log line of a request."""

import dataclasses
import math

from caperdyke.state import store_rows

STORE = "store"


@dataclasses.dataclass(slots=True)
class Provenance:
    """What an instance can say of its configuration.

    :param source: ``store``, or the address of the instance that told it.
    :param adopted_at: time at which the version in force was adopted.
    :param store_answered_at: time of the latest answer of the store about the configuration.
    :param announcement_received_at: time of the latest announcement of another instance.
    :param calls: start of each call of the store that is under way.
    """

    source: str = ""
    position: store_rows.Position = store_rows.FIRST_POSITION
    adopted_at: float = -math.inf
    store_answered_at: float = -math.inf
    announcement_received_at: float = -math.inf
    calls: list[float] = dataclasses.field(default_factory=list)

    def record_adoption(self, now: float, source: str, position: store_rows.Position) -> None:
        """Records that a version came into force."""
        self.adopted_at, self.source, self.position = now, source, position

    def describe(self, now: float) -> dict[str, object]:
        """Returns the fields of a log line; ages are in milliseconds, -1 where there is none."""
        return {
            "source": self.source,
            "position": str(self.position),
            "adopted_ms": _find_age_ms(now, self.adopted_at),
            "store_word_ms": _find_age_ms(now, self.store_answered_at),
            "others_word_ms": _find_age_ms(now, self.announcement_received_at),
            "calls_ms": [_find_age_ms(now, at) for at in self.calls],
        }


def _find_age_ms(now: float, at: float) -> int:
    return -1 if at == -math.inf else round((now - at) * 1000)
