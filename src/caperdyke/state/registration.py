"""Registrations of backend servers in the platform's store."""

import dataclasses
import enum

from caperdyke.state import backend


class RegistrationState(enum.Enum):
    """Whether a backend server accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """One registration.

    :param started_ms: start of the process, milliseconds since 1970; 0 where it is not given. A
        server that restarts under its name has another start and no state of the previous one.
    :param sequence: counts the registrations of one start.
    :param cold_ms: remaining time for which the server is cold when it registers, in milliseconds.
    """

    server: backend.BackendServer
    state: RegistrationState
    started_ms: int
    sequence: int
    cold_ms: float
