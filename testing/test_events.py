"""The catalogue lists every log event, and event numbers are unique."""

import pathlib

import testtools

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
