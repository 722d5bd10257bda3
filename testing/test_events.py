"""The catalogue lists every log event, and event numbers are unique."""

import json
import logging
import pathlib

import loguru
import testtools

from caperdyke.state import settings
from caperdyke.transport import events

CATALOGUE = pathlib.Path(__file__).resolve().parent.parent / "docs" / "EVENTS.md"


class EventsTest(testtools.TestCase):
    """Log events match their catalogue."""

    def test_every_event_is_in_the_catalogue(self) -> None:
        text = CATALOGUE.read_text()
        for event in events.Event:
            number, level, message = event.value
            self.assertIn(f"| {number} | {event.name} | {level} | {message} |", text)

    def test_numbers_are_unique(self) -> None:
        numbers = [event.number for event in events.Event]
        self.assertEqual(len(numbers), len(set(numbers)))


class FakeSink:
    """Records lines instead of writing them."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def set_nonblocking(self) -> None:
        """Does nothing."""

    def write(self, line: str, _is_important: bool) -> None:
        """Records a line."""
        self.lines.append(line)


class LibraryMessagesTest(testtools.TestCase):
    """Messages of libraries in logs of JSON lines."""

    def setUp(self) -> None:
        super().setUp()
        self.sink = FakeSink()
        self.patch(events, "_SINK", self.sink)
        root = logging.getLogger()
        self.addCleanup(setattr, root, "handlers", root.handlers[:])
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(loguru.logger.remove)
        events.configure(settings.LogSettings("INFO", settings.LogFormat.JSON))

    def test_traceback_between_json_lines(self) -> None:
        """Guards against messages of libraries that no collector can parse."""
        try:
            raise ValueError("broken {off}")
        except ValueError:
            logging.getLogger("uvicorn.error").exception("Exception in ASGI application\n")
        (line,) = map(json.loads, self.sink.lines)
        self.assertEqual(1007, line["event"])
        self.assertEqual("uvicorn.error: Exception in ASGI application", line["message"])
        self.assertEqual("ValueError('broken {off}')", line["fields"]["error"])
