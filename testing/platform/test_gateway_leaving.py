"""Backend servers that say in their answers that they leave."""

from parameterized import parameterized

from caperdyke.state import ids, registration, store_rows
from caperdyke.transport.gateway import local_reply
from testing.platform import fleet_harness, harness

LEAVING = [("Server-Leaving", "1")]
# Time within which a server that said so may still get requests, in seconds.
DRAIN_SECONDS = 4.0


class LeavingServerTest(harness.AsyncTestCase):
    """A server tells that it leaves before its registration does."""

    @parameterized.expand(
        [
            ("success", ""),
            ("refused", "shed"),
            ("broken off", "truncated"),
            ("failed", "error"),
            ("late", "earlier"),
            ("late copy", "late copy"),
            ("unsigned", "unsigned"),
            ("closing", "closing"),
        ]
    )
    def test_word_in_any_answer_ends_new_work(self, _name, fault) -> None:
        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 2) as played:
                leaver = played.servers[0]
                leaver.headers, leaver.faults = LEAVING, [fault] if fault else []
                await played.press(2.0, 50.0)
                self.assertEqual(1, len(leaver.seen))
                await played.press(DRAIN_SECONDS + 2.0, 50.0)
                self.assertEqual(1, len(leaver.seen))

        self.run_async(scene)

    def test_word_in_a_421_concerns_the_server_that_has_the_address(self) -> None:
        """Pattern: a server leaves, another service has its address by then, and leaves too."""

        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 3) as played:
                node, (gone, heir, _) = played.nodes[0], played.servers
                heir.address = gone.address
                known = node.servers.find(heir.name)
                moved = registration.Registration(
                    type(known.registration.server)(
                        ids.BackendId(heir.name),
                        known.registration.server.domain,
                        ids.ServiceName("other"),
                        gone.address,
                        4,
                    ),
                    registration.RegistrationState.READY,
                    1,
                    2,
                    0.0,
                )
                node.servers.merge(played.now, moved, store_rows.Position(0, 2))
                node.refresh_servers()
                gone.headers, gone.faults = LEAVING, ["misdirected"] * 9
                await played.press(2.0, 50.0)
                self.assertTrue(node.header_handler.is_leaving(node.servers.find(heir.name)))
                self.assertFalse(node.header_handler.is_leaving(node.servers.find(gone.name)))

        self.run_async(scene)

    @parameterized.expand(
        [
            ("reading of the same start", 7, 1, 0, True),
            ("older copy of the store", 1, 1, 1, True),
            ("new start under the same name", 8, 2, 0, False),
        ]
    )
    def test_registration_that_says_ready(self, _name, change, started, era, is_leaving) -> None:
        """Pattern: the store is away or comes back from a copy, and registrations are older."""

        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 2) as played:
                leaver = played.servers[0]
                leaver.headers = LEAVING
                await played.press(2.0, 50.0)
                leaver.headers = []
                played.register(leaver, change, started_ms=started, era=era)
                count = len(leaver.times)
                await played.press(DRAIN_SECONDS + 2.0, 50.0)
                self.assertEqual(is_leaving, len(leaver.times) == count)

        self.run_async(scene)

    def test_word_that_is_taken_back_still_holds(self) -> None:
        """Pattern: answers of before and after the word come in any order."""

        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 2) as played:
                leaver = played.servers[0]
                leaver.headers = LEAVING
                await played.press(1.0, 50.0)
                leaver.headers = [("Server-Leaving", "0")]
                await played.press(8.0, 50.0)
                self.assertEqual(1, len(leaver.seen))

        self.run_async(scene)

    def test_others_hear_of_it(self) -> None:
        async def scene() -> None:
            async with fleet_harness.open_fleet(10, 4) as played:
                leaver = played.servers[0]
                leaver.headers = LEAVING
                await played.press(1.0, 50.0)
                teller = next(
                    number
                    for number, node in enumerate(played.nodes)
                    if not node.bounds.leaving.is_empty
                )
                played.announce_server_state(teller)
                count = len(leaver.times)
                await played.press(4.0, 100.0)
                self.assertEqual(count, len(leaver.times))

        self.run_async(scene)

    def test_request_that_waits_for_a_connection_goes_elsewhere(self) -> None:
        """Pattern: requests were placed, and a connection opens while the word comes."""

        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 2) as played:
                node, leaver = played.nodes[0], played.servers[0]
                known = node.servers.find(leaver.name)
                real_open = node.pool.open

                async def open_slowly(address, timeout):
                    opened = await real_open(address, timeout)
                    if address == leaver.address:
                        node.header_handler.record_leaving(played.now, [known])
                    return opened

                node.pool.open = open_slowly
                for number in range(20):
                    result = await played.ask(0, f"k{number}")
                    self.assertEqual(200, result.status)
                self.assertEqual([], leaver.times)

        self.run_async(scene)

    def test_kept_connections_are_closed(self) -> None:
        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 1) as played:
                node, leaver = played.nodes[0], played.servers[0]
                await played.ask(0)
                leaver.headers = LEAVING
                await played.ask(0)
                self.assertIsNone(node.pool.acquire(ids.BackendId(leaver.name)))

        self.run_async(scene)

    def test_no_server_is_left(self) -> None:
        """Pattern: all servers of a service leave at once; certain refusals come at once."""

        async def scene() -> None:
            async with fleet_harness.open_fleet(1, 2) as played:
                for server in played.servers:
                    server.headers = LEAVING
                await played.press(2.0, 50.0)
                result = await played.ask(0)
                self.assertIsInstance(result, local_reply.LocalReply)
                self.assertEqual(local_reply.LocalReplyReason.NO_SERVER, result.reason)

        self.run_async(scene)
