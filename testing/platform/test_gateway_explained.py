"""What the log of a gateway tells of a refused request."""

from caperdyke.transport import events
from testing.platform import stage


class ExplainedRefusalTest(stage.StageCase):
    """From the id of a refused request to what its gateway knew."""

    def test_refusal_names_the_configuration_that_it_went_by(self) -> None:
        lines = []
        real = events.log

        def note(event: events.Event, **fields) -> None:
            lines.append((event, fields))
            real(event, **fields)

        async def scene() -> None:
            async with stage.open_stage() as played:
                self.patch(events, "log", note)
                self.assertEqual(404, (await played.ask("/none/", request_id="refused"))[0])
                self.assertEqual(200, (await played.ask(request_id="answered"))[0])

        self.play(scene)
        ended = {
            fields["request"]: fields
            for event, fields in lines
            if event is events.Event.REQUEST_ENDED
        }
        known = ended["refused"]["knowledge"]
        self.assertEqual("store", known["source"])
        self.assertEqual(1, len(known["calls_ms"]))
        self.assertTrue(known["adopted_ms"] >= 0, known)
        self.assertTrue(known["store_word_ms"] >= 0, known)
        self.assertNotIn("knowledge", ended["answered"])
