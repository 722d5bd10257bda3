"""Invalid settings and documents raise one error that names file, section and key."""

import os
import pathlib
import tempfile

import parameterized
import testtools

from caperdyke import errors
from caperdyke.loading import scenario
from caperdyke.programs import backend, entry, operator, platform
from caperdyke.protocol import documents, settings_files
from testing import builders

ENTRY_TEXT = """
[instance]
name = pasig-hall-1
failure_domain = pasig-hall
caller_address = 127.0.0.1:7100
peer_address = 127.0.0.1:7200
[platform]
address = 127.0.0.1:7000
[peers]
seeds = 127.0.0.1:7201, 127.0.0.1:7202
[backend reader-1]
service = gallery-reader
address = 127.0.0.1:7300
slots = 3
"""
# Name of the case, text to replace, replacement, expected section and key.
BAD_ENTRIES = [
    ("missing_name", "name = pasig-hall-1\n", "", "instance", "name"),
    ("bad_name", "name = pasig-hall-1", "name = pasig hall", "instance", "name"),
    ("bad_address", "127.0.0.1:7100", "127.0.0.1", "instance", "caller_address"),
    ("host_name", "127.0.0.1:7100", "localhost:7100", "instance", "caller_address"),
    ("bad_port", "127.0.0.1:7000", "127.0.0.1:70000", "platform", "address"),
    ("bad_seed", "127.0.0.1:7202", "here", "peers", "seeds"),
    ("unknown_key", "slots = 3", "slots = 3\nslot = 3", "backend reader-1", "slot"),
    ("unknown_section", "[peers]", "[pears]", "pears", ""),
    ("text_number", "slots = 3", "slots = three", "backend reader-1", "slots"),
    ("number_too_low", "slots = 3", "slots = 0", "backend reader-1", "slots"),
    ("bad_policy", "[peers]", "[limits]\npolicy = best\n[peers]", "limits", "policy"),
    ("not_ini", "[instance]", "instance", "", ""),
    ("twice", "name = pasig-hall-1", "name = a\nname = b", "", ""),
]
BAD_CONTRACTS = [
    ("missing_customer", "customer = tala-gallery\n", "", "contract", "customer"),
    ("bad_weight", "weight = latency", "weight = speed", "contract", "weight"),
    ("bad_flag", "repeatable = yes", "repeatable = maybe", "service gallery-reader", "repeatable"),
    ("bad_kind", "kind = cheap", "kind = dear", "service gallery-reader", "kind"),
    ("negative_share", "share = 120", "share = -1", "region luzon", "share"),
    ("unknown_key", "shift = 20", "shift = 20\nshfit = 20", "region luzon", "shfit"),
    ("percent", "retry_percent = 10", "retry_percent = 101", "contract", "retry_percent"),
]


class SettingsTest(testtools.TestCase):
    """Validation of settings files and documents."""

    def write(self, text: str) -> str:
        """Writes a temporary file and returns its path."""
        folder = tempfile.mkdtemp(prefix="caperdyke-test-")
        self.addCleanup(os.rmdir, folder)
        path = pathlib.Path(folder) / "test.ini"
        path.write_text(text)
        self.addCleanup(path.unlink)
        return str(path)

    def test_reads_an_entry(self) -> None:
        settings = settings_files.read_entry(self.write(ENTRY_TEXT))
        self.assertEqual("pasig-hall", settings.domain)
        self.assertEqual(3, settings.backends[0].slots)
        self.assertEqual(settings.peer_address, settings.advertised_address)

    @parameterized.parameterized.expand(BAD_ENTRIES)
    def test_entry_error_names_the_place(self, _name, old, new, section, key) -> None:
        path = self.write(ENTRY_TEXT.replace(old, new, 1))
        error = self.assertRaises(errors.SettingsError, settings_files.read_entry, path)
        self.assertEqual((path, section, key), (error.file, error.section, error.key))
        self.assertIn("expected", str(error))

    @parameterized.parameterized.expand(BAD_CONTRACTS)
    def test_contract_error_names_the_place(self, _name, old, new, section, key) -> None:
        text = builders.CONTRACT_TEXT.replace(old, new, 1)
        error = self.assertRaises(errors.SettingsError, documents.parse_document, "c.ini", text)
        self.assertEqual(("c.ini", section, key), (error.file, error.section, error.key))

    def test_bad_block_is_rejected(self) -> None:
        text = builders.PLACES_TEXT.replace("10.2.0.0/16", "10.2.0.0/33")
        error = self.assertRaises(errors.SettingsError, documents.parse_document, "p.ini", text)
        self.assertEqual("blocks", error.key)

    def test_text_that_is_neither_document_is_rejected(self) -> None:
        self.assertRaises(errors.SettingsError, documents.parse_document, "x.ini", "[other]\na = 1")

    @parameterized.parameterized.expand(
        [(item.__name__.split(".")[-1], item) for item in (entry, platform, backend)]
    )
    def test_programs_exit_with_2_on_bad_settings(self, _name, program) -> None:
        path = self.write("[nothing]\n")
        self.assertEqual(2, program.main(["--settings", path, "--check"]))
        self.assertEqual(2, program.main(["--settings", "/does/not/exist"]))

    def test_check_starts_nothing(self) -> None:
        self.assertEqual(0, entry.main(["--settings", self.write(ENTRY_TEXT), "--check"]))

    def test_operator_checks_documents(self) -> None:
        good = self.write(builders.CONTRACT_TEXT)
        bad = self.write(builders.CONTRACT_TEXT.replace("luzon]", "luzon]\nx = 1"))
        self.assertEqual(0, operator.main(["check", good]))
        self.assertEqual(2, operator.main(["--json", "check", good, bad]))

    def test_scenario_needs_a_stream(self) -> None:
        path = self.write("[run]\nseconds = 1\nseed = 1\n")
        self.assertRaises(errors.SettingsError, scenario.read_scenario, path)
