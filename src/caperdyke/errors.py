"""Exception tree of the project."""


class CaperdykeError(Exception):
    """Base of every error that the project raises on purpose."""


class SettingsError(CaperdykeError):
    """An INI document holds something that cannot be accepted.

    :param file: path of the document.
    :param section: section that holds the fault, or an empty string.
    :param key: key that holds the fault, or an empty string.
    :param actual: what was found.
    :param expected: what would have been accepted.
    """

    def __init__(self, file: str, section: str, key: str, actual: str, expected: str) -> None:
        place = f"{file}: [{section}]" if section else file
        where = f"{place} {key}" if key else place
        super().__init__(f"{where}: got {actual}, expected {expected}")
        self.file = file
        self.section = section
        self.key = key
        self.actual = actual
        self.expected = expected


class ProtocolError(CaperdykeError):
    """A peer sent bytes that do not form a valid message."""


class LinkClosedError(CaperdykeError):
    """The link to a peer ended before the exchange on it was complete."""


class PlatformError(CaperdykeError):
    """Base of the platform's failures."""


class PlatformUnavailableError(PlatformError):
    """The platform refused or could not be reached; the write did not happen."""


class OutcomeUnknownError(PlatformError):
    """The platform's answer was lost; the write may or may not have happened."""


class VersionConflictError(PlatformError):
    """A transaction expected a version that is not the one in the table.

    :param key: first row whose version differed.
    """

    def __init__(self, key: str, actual: int, expected: int) -> None:
        super().__init__(f"row {key!r}: got version {actual}, expected {expected}")
        self.key = key
        self.actual = actual
        self.expected = expected


class ProposalError(CaperdykeError):
    """A proposed configuration was refused.

    :param problems: one sentence for each reason.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class RefusalError(CaperdykeError):
    """A request that will not be served.

    :param refusal: the machine-readable reason, see ``caperdyke.state.outcome``.
    """

    def __init__(self, refusal) -> None:
        super().__init__(f"{refusal.outcome.value}: {refusal.reason.value}")
        self.refusal = refusal


class BackendFailedError(CaperdykeError):
    """The exchange with a backend server failed.

    :param sent: whether any byte of the request may have reached the backend server.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent
