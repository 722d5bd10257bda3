"""In-memory table with transactions."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """One row; every write increments the version."""

    version: int
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The first row whose version did not match."""

    key: str
    actual: int
    expected: int


class Table:
    """Versioned rows with conditional transactions."""

    def __init__(self) -> None:
        self._rows: dict[str, StoredRow] = {}
        self.read_count = 0
        self.write_count = 0

    def read(self, keys: list[str]) -> dict[str, StoredRow]:
        """Returns rows; a missing one has version 0."""
        self.read_count += len(keys)
        missing = StoredRow(0, "")
        return {key: self._rows.get(key, missing) for key in keys}

    def transact(self, expected: dict[str, int], values: dict[str, str]) -> Conflict | None:
        """Writes all values if every version matches, otherwise none."""
        for key, version in expected.items():
            actual = self.find_version(key)
            if actual != version:
                return Conflict(key, actual, version)
        for key, value in values.items():
            self._rows[key] = StoredRow(self.find_version(key) + 1, value)
        self.write_count += len(values)
        return None

    def find_version(self, key: str) -> int:
        """Returns the version of a row, or 0 if there is none."""
        row = self._rows.get(key)
        return row.version if row else 0
