"""What a backend server says of itself in the platform's store."""

import dataclasses
import enum

from caperdyke.state import backend


class RegistrationState(enum.Enum):
    """Whether a backend server wants new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """One registration.

    :param started_ms: start of the process, milliseconds since 1970; 0 where it is not told. A
        server that restarts under its name has another one and knows nothing of before.
    :param sequence: counts the registrations of one start.
    :param cold_ms: how much longer the server is cold, in milliseconds, when it registered.
    """

    server: backend.BackendServer
    state: RegistrationState
    started_ms: int
    sequence: int
    cold_ms: float
