"""Backend servers and announced drains."""

import dataclasses
import enum

from caperdyke.state import ids


class BackendState(enum.Enum):
    """Whether a backend server gets new work."""

    WARMING = "warming"
    SERVING = "serving"
    EJECTED = "ejected"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server of a failure domain.

    :param slots: requests that it processes concurrently.
    """

    backend: ids.BackendId
    domain: ids.DomainName
    service: ids.ServiceName
    address: ids.Address
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainMark:
    """An announced drain of a backend server or of a whole failure domain.

    :param subject: name of the backend server or failure domain.
    :param version: time of the announcement in milliseconds; the highest version wins.
    :param active: False where the drain was cancelled.
    """

    subject: str
    version: int
    active: bool
