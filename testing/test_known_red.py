"""Parsing of the list of known failing tests."""

import testtools
from parameterized import parameterized

from testing import known_red

LINE = "testing/test_a.py::ATest::test_b | make test | waits for ever | issue 7"


class KnownRedTest(testtools.TestCase):
    """Entries, malformed lines and the list of the project."""

    def test_entry_is_read(self) -> None:
        entry = known_red.KnownFailure(
            "testing/test_a.py::ATest::test_b", "make test", "waits for ever", 7
        )
        self.assertEqual([entry], known_red.read_entries(f"\n{LINE}\n"))

    @parameterized.expand(
        [
            ("no_issue", LINE.removesuffix(" | issue 7")),
            ("issue_without_a_number", LINE.replace("issue 7", "issue seven")),
            ("other_text", "to be done later"),
        ]
    )
    def test_other_lines_are_errors(self, _name, line) -> None:
        self.assertRaises(ValueError, known_red.read_entries, line)

    def test_own_list_can_be_read(self) -> None:
        for entry in known_red.read_list():
            self.assertTrue(entry.test and entry.command and entry.symptom, entry)
