"""What the log of a gateway tells of a refused request."""

from caperdyke.state import ids
from caperdyke.transport import events
from caperdyke.transport.gateway import header_log
from testing.platform import harness


class ExplainedRefusalTest(harness.AsyncTestCase):
    """From the id of a refused request to what its gateway knew."""

    def test_refusal_names_the_configuration_that_it_went_by(self) -> None:
        lines = []
        real = events.log

        def log_new_names(event: events.Event, **fields) -> None:
            lines.append((event, fields))
            real(event, **fields)

        async def scene() -> None:
            async with harness.open_stage() as played:
                self.patch(events, "log", log_new_names)
                self.assertEqual(404, (await played.ask("/none/", request_id="refused"))[0])
                self.assertEqual(200, (await played.ask(request_id="answered"))[0])

        self.run_async(scene)
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


class HeaderLogTest(harness.AsyncTestCase):
    """Headers of backend servers in the log."""

    def test_each_header_of_an_answer_is_named_once(self) -> None:
        seen = []

        def log_new_names(event: events.Event, **fields) -> None:
            if event is events.Event.HEADER_SEEN:
                seen.append((fields["header"], fields["value"]))

        async def scene() -> None:
            async with harness.open_stage(["s1"]) as played:
                self.patch(events, "log", log_new_names)
                played.servers[0].headers = [("X-New", "4.7" * 30)]
                for _ in range(3):
                    await played.ask()
                names = [name for name, _ in seen]
                self.assertEqual(len(set(names)), len(names), names)
                self.assertIn(("x-new", ("4.7" * 30)[:40]), seen)

        self.run_async(scene)

    def test_names_that_a_server_makes_up_do_not_fill_the_log(self) -> None:
        seen = []
        self.patch(events, "log", lambda event, **fields: seen.append(fields))
        log = header_log.HeaderLog()
        for number in range(header_log.LOGGED_NAMES_MAX * 2):
            log.log_new_names(ids.BackendId("s1"), [(b"x-%d" % number, b"1")])
        self.assertEqual(header_log.LOGGED_NAMES_MAX, len(seen))
