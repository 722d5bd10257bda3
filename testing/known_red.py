"""The tests that fail because of a known fault, from KNOWN-RED.txt."""

import dataclasses
import pathlib

PATH = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
_SEPARATOR = " | "


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry.

    :param test: node id of the test, or the name of a check that CI does not run.
    :param command: what plays it, with its seed.
    :param seen: what was seen.
    :param issue: number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: int


def read_entries(text: str) -> list[KnownRed]:
    """Returns the entries of a list, one a line.

    :raises ValueError: where a line is no entry.
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
        test, command, seen, issue = (field.strip() for field in fields)
        entries.append(KnownRed(test, command, seen, int(issue.removeprefix("issue "))))
    return entries


def read_list() -> list[KnownRed]:
    """Returns the entries of the project's list; none where there is no list."""
    return read_entries(PATH.read_text()) if PATH.exists() else []
