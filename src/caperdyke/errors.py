"""Exception hierarchy of the project."""


class CaperdykeError(Exception):
    """Base of every error that the project raises on purpose."""


class SettingsError(CaperdykeError):
    """An INI document contains an invalid entry.

    :param file: path of the document.
    :param section: section that contains the error, or an empty string.
    :param key: key that contains the error, or an empty string.
    :param actual: description of what the document contains.
    :param expected: description of what is accepted.
    """

    def __init__(self, file: str, section: str, key: str, actual: str, expected: str) -> None:
        section_location = f"{file}: [{section}]" if section else file
        location = f"{section_location} {key}" if key else section_location
        super().__init__(f"{location}: got {actual}, expected {expected}")
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
    """Base of the errors that calls to the platform raise."""


class PlatformUnavailableError(PlatformError):
    """The platform refused or could not be reached; the write did not happen."""


class OutcomeUnknownError(PlatformError):
    """The platform's answer was lost; the write may or may not have happened."""


class AnswerTooLargeError(PlatformUnavailableError):
    """The platform's answer to a read is larger than any that is read whole."""


class VersionConflictError(PlatformError):
    """A transaction expected another version of a row than the one in the table.

    :param key: key of the first row whose version differed.
    :param actual: version in the table.
    :param expected: version that the transaction expected.
    """

    def __init__(self, key: str, actual: int, expected: int) -> None:
        super().__init__(f"row {key!r}: got version {actual}, expected {expected}")
        self.key = key
        self.actual = actual
        self.expected = expected


class ProposalError(CaperdykeError):
    """A proposed configuration was rejected.

    :param problems: one sentence for each reason of the rejection.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class RefusalError(CaperdykeError):
    """A request is refused.

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


class ConnectTimeoutError(BackendFailedError):
    """A connection to a backend server did not open in time; it was not refused either.

    Nothing was sent.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, False)
