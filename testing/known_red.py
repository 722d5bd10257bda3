"""Reads KNOWN-RED.txt, the list of tests that fail because of a known bug."""

import dataclasses
import pathlib

PATH = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
_SEPARATOR = " | "


@dataclasses.dataclass(frozen=True, slots=True)
class KnownFailure:
    """One entry of the list.

    :param test: pytest node id, or the name of a check that CI does not run.
    :param command: command that reproduces the failure, with its seed.
    :param symptom: observed failure.
    :param issue: number of the open issue.
    """

    test: str
    command: str
    symptom: str
    issue: int


def read_entries(text: str) -> list[KnownFailure]:
    """Parses a list with one entry per line.

    :raises ValueError: if a line that is not blank is not an entry.
    """
    entries = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        fields = line.split(_SEPARATOR)
        if len(fields) != 4 or not fields[3].startswith("issue "):
            raise ValueError(
                f"line {number}: got {line!r}, expected 'test | command | seen | issue N'"
            )
        test, command, symptom, issue = (field.strip() for field in fields)
        entries.append(KnownFailure(test, command, symptom, int(issue.removeprefix("issue "))))
    return entries


def read_list() -> list[KnownFailure]:
    """Returns the entries of KNOWN-RED.txt; empty if the file does not exist."""
    return read_entries(PATH.read_text()) if PATH.exists() else []
