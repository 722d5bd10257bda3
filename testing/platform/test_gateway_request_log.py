"""Log lines of a gateway about refused requests and unread headers."""

from caperdyke.state import ids
from caperdyke.transport import events
from caperdyke.transport.gateway import header_log
from testing.platform import harness


class RefusalLogTest(harness.AsyncTestCase):
    """The log line of a refused request shows the state of its gateway."""

    def test_log_line_of_refusal_has_configuration_provenance(self) -> None:
        log_lines = []
        original_log = events.log

        def record_line(event: events.Event, **fields) -> None:
            log_lines.append((event, fields))
            original_log(event, **fields)

        async def scenario() -> None:
            async with harness.start_gateway() as env:
                self.patch(events, "log", record_line)
                self.assertEqual(404, (await env.send_request("/none/", request_id="refused"))[0])
                self.assertEqual(200, (await env.send_request(request_id="answered"))[0])

        self.run_async(scenario)
        end_lines = {
            fields["request"]: fields
            for event, fields in log_lines
            if event is events.Event.REQUEST_ENDED
        }
        provenance = end_lines["refused"]["knowledge"]
        self.assertEqual("store", provenance["source"])
        self.assertEqual(1, len(provenance["calls_ms"]))
        self.assertTrue(provenance["adopted_ms"] >= 0, provenance)
        self.assertTrue(provenance["store_word_ms"] >= 0, provenance)
        self.assertNotIn("knowledge", end_lines["answered"])


class HeaderLogTest(harness.AsyncTestCase):
    """Logging of headers of backend servers."""

    def test_each_header_name_is_logged_once(self) -> None:
        logged_headers = []

        def record_line(event: events.Event, **fields) -> None:
            if event is events.Event.HEADER_SEEN:
                logged_headers.append((fields["header"], fields["value"]))

        async def scenario() -> None:
            async with harness.start_gateway(["s1"]) as env:
                self.patch(events, "log", record_line)
                env.servers[0].headers = [("X-New", "4.7" * 30)]
                for _ in range(3):
                    await env.send_request()
                names = [name for name, _ in logged_headers]
                self.assertEqual(len(set(names)), len(names), names)
                self.assertIn(("x-new", ("4.7" * 30)[:40]), logged_headers)

        self.run_async(scenario)

    def test_number_of_logged_header_names_is_bounded(self) -> None:
        logged_headers = []
        self.patch(events, "log", lambda event, **fields: logged_headers.append(fields))
        log = header_log.HeaderLog()
        for number in range(header_log.LOGGED_NAMES_MAX * 2):
            log.log_new_names(ids.BackendId("s1"), [(b"x-%d" % number, b"1")])
        self.assertEqual(header_log.LOGGED_NAMES_MAX, len(logged_headers))
