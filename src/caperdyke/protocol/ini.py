"""Reads INI documents and reports errors with file, section and key."""

import configparser
import ipaddress
import pathlib
import typing

from caperdyke import errors

_MISSING = object()


class Document:
    """A parsed INI document that records which sections and keys were read.

    :param file: name for error messages.
    :param text: text of the document.
    :raises errors.SettingsError: if the text is not valid INI.
    """

    def __init__(self, file: str, text: str) -> None:
        self.file = file
        self._parser = configparser.ConfigParser(
            interpolation=None, inline_comment_prefixes=(";",), strict=True
        )
        self._read_keys: set[tuple[str, str]] = set()
        self._read_sections: set[str] = set()
        try:
            self._parser.read_string(text, source=file)
        except configparser.Error as error:
            summary = " ".join(str(error).split())
            raise errors.SettingsError(file, "", "", summary, "an INI document") from error

    def list_sections(self, prefix: str) -> list[str]:
        """Returns the names of the sections with a prefix: ``luzon`` for ``[region luzon]``."""
        names = []
        for section in self._parser.sections():
            first_word, _, name = section.partition(" ")
            if first_word == prefix and name:
                self._read_sections.add(section)
                names.append(name.strip())
        return names

    def has_section(self, section: str) -> bool:
        """Returns whether a section exists, and marks it as read."""
        self._read_sections.add(section)
        return self._parser.has_section(section)

    def read_text(self, section: str, key: str, default=_MISSING) -> str:
        """Returns a value as text.

        :raises errors.SettingsError: if the key is missing and there is no default.
        """
        self._read_sections.add(section)
        self._read_keys.add((section, key))
        if self._parser.has_option(section, key):
            return self._parser.get(section, key).strip()
        if default is _MISSING:
            raise errors.SettingsError(self.file, section, key, "nothing", "a value")
        return default

    def read_number(self, section: str, key: str, low: int, high: int, default=_MISSING) -> int:
        """Returns a whole number between two bounds, both included."""
        text = self.read_text(section, key, default)
        if isinstance(text, int):
            return text
        expected = f"a whole number from {low} to {high}"
        try:
            value = int(text)
        except ValueError as error:
            raise self.make_error(section, key, repr(text), expected) from error
        if not low <= value <= high:
            raise self.make_error(section, key, repr(text), expected)
        return value

    def read_decimal(
        self, section: str, key: str, low: float, high: float, default=_MISSING
    ) -> float:
        """Returns a decimal number between two bounds, both included."""
        text = self.read_text(section, key, default)
        if isinstance(text, float):
            return text
        expected = f"a number from {low:g} to {high:g}"
        try:
            value = float(text)
        except ValueError as error:
            raise self.make_error(section, key, repr(text), expected) from error
        # NaN fails both comparisons.
        if not low <= value <= high:
            raise self.make_error(section, key, repr(text), expected)
        return value

    def read_choice(self, section: str, key: str, choices: typing.Iterable[str], default=_MISSING):
        """Returns a value that must be one of a set of words."""
        allowed = list(choices)
        text = self.read_text(section, key, default)
        if text not in allowed:
            raise self.make_error(section, key, repr(text), f"one of {', '.join(allowed)}")
        return text

    def read_flag(self, section: str, key: str, default=_MISSING) -> bool:
        """Returns True for ``yes`` and False for ``no``."""
        return self.read_choice(section, key, ("yes", "no"), default) == "yes"

    def read_words(self, section: str, key: str, default=_MISSING) -> list[str]:
        """Returns a list of words that are separated by white space or commas."""
        return self.read_text(section, key, default).replace(",", " ").split()

    def read_address(self, section: str, key: str, default=_MISSING) -> str:
        """Returns an address ``IP:port``."""
        text = self.read_text(section, key, default)
        return self.check_address(section, key, text)

    def check_address(self, section: str, key: str, text: str) -> str:
        """Returns the address if it is a valid ``IP:port``."""
        host, _, port = text.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            is_valid = 0 <= int(port) <= 65535
        except ValueError:
            is_valid = False
        if not is_valid:
            raise self.make_error(section, key, repr(text), "an address such as 127.0.0.1:8000")
        return text

    def make_error(
        self, section: str, key: str, actual: str, expected: str
    ) -> errors.SettingsError:
        """Returns an error that names this document, the section and the key."""
        return errors.SettingsError(self.file, section, key, actual, expected)

    def check_all_read(self) -> None:
        """Rejects sections and keys that were not read.

        :raises errors.SettingsError: for the first of them.
        """
        for section in self._parser.sections():
            if section not in self._read_sections:
                known_names = ", ".join(sorted(self._read_sections))
                raise self.make_error(section, "", "an unknown section", f"one of {known_names}")
            for key in self._parser.options(section):
                if (section, key) not in self._read_keys:
                    known_names = ", ".join(sorted(k for s, k in self._read_keys if s == section))
                    raise self.make_error(section, key, "an unknown key", f"one of {known_names}")


def read_file(path: str) -> Document:
    """Returns the document in a file.

    :raises errors.SettingsError: if the file cannot be read or is not valid INI.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(path, "", "", str(error), "a readable file") from error
    return Document(path, text)
