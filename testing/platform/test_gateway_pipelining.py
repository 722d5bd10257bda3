"""Requests that callers send ahead on one connection of a gateway."""

import asyncio
import contextlib
import itertools
import re

from parameterized import parameterized

from caperdyke.transport.gateway import caller_policy
from testing.platform import fake_server, harness

_NUMBERS = itertools.count(1)


class PathServer(fake_server.FakeServer):
    """A server that answers with the path, and holds back some of the answers.

    :ivar held: events that must be set for requests to be answered, by path.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.held: dict[str, asyncio.Event] = {}

    async def _answer_with_fault(self, fault, seen, writer) -> bool:
        if seen.target in self.held:
            await self.held[seen.target].wait()
        answer = self.make_answer(
            seen.headers.get("caperdyke-request-id", ""), seen.target.encode()
        )
        writer.write(answer)
        await writer.drain()
        return True


class PipelinedCaller:
    """A caller that sends requests ahead."""

    def __init__(self, env: harness.GatewayHarness) -> None:
        self._address = env.gateway.node.settings.caller_address
        self._name = f"ahead-{next(_NUMBERS)}"
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self._count = 0

    async def connect(self) -> None:
        """Opens the connection."""
        host, _, port = self._address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def send(self, *requests: str, wait_ms: int = 3000) -> None:
        """Sends requests in one piece, each as ``METHOD PATH``."""
        data = ""
        for request in requests:
            self._count += 1
            method, path = request.split(" ")
            body = "abc" if method == "POST" else ""
            data += f"{method} {path} HTTP/1.1\r\nHost: {harness.HOST}\r\n"
            data += f"Caperdyke-Request-Id: {self._name}-{self._count}\r\n"
            data += f"Caperdyke-Request-Deadline: {wait_ms}\r\nContent-Length: {len(body)}\r\n"
            data += f"\r\n{body}"
        self.writer.write(data.encode())

    async def read_answer(self) -> tuple[int, str, bool]:
        """Returns status, body, and whether the answer announces a close."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(re.search(r"content-length: (\d+)", head)[1])
        body = (await self.reader.readexactly(length)).decode()
        return int(head.split(" ")[1]), body, "connection: close" in head


class LoadCaller:
    """Sends two reads and a purchase ahead at a time, and resends what is behind a close.

    :ivar aborted: paths without an answer that are not behind a close, and purchases behind one.
    :ivar wrong: paths that got the answer to another one.
    """

    def __init__(self, env: harness.GatewayHarness, name: str) -> None:
        self._env = env
        self._name = name
        self._batches = itertools.count(1)
        self.answered = 0
        self.aborted: set[str] = set()
        self.wrong: list[str] = []

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            caller = PipelinedCaller(self._env)
            with contextlib.suppress(ConnectionError):
                await caller.connect()
                while await self._send_batch(caller):
                    await asyncio.sleep(0.003)
                caller.writer.close()
            await asyncio.sleep(0.01)

    async def _send_batch(self, caller: PipelinedCaller) -> bool:
        """Sends three requests and returns whether the connection stays open."""
        name = f"{self._name}-{next(self._batches)}"
        paths = [f"/read/{name}-a", f"/read/{name}-b", f"/buy/{name}"]
        caller.send(f"GET {paths[0]}", f"GET {paths[1]}", f"POST {paths[2]}")
        for number, path in enumerate(paths):
            try:
                status, body, is_closing = await caller.read_answer()
            except (ConnectionError, asyncio.IncompleteReadError):
                self.aborted.update(paths[number:])
                return False
            self.answered += 1
            if status == 200 and body != path:
                self.wrong.append(path)
            if is_closing:
                self.aborted.update(path for path in paths[number + 1 :] if "/buy/" in path)
                return False
        return True


def list_targets(env: harness.GatewayHarness) -> list[str]:
    """Returns the paths of all requests that reached a server."""
    return sorted(request.target for server in env.servers for request in server.requests)


class PipeliningTestCase(harness.AsyncTestCase):
    """Runs a scenario on a gateway with servers that hold back answers by path."""

    def run_with_caller(self, scenario, held=(), server_names=("s1", "s2"), **options) -> None:
        """Runs a coroutine function with a harness, an event for the held answers and a caller."""
        self.patch(fake_server, "FakeServer", PathServer)

        async def run() -> None:
            async with harness.start_gateway(server_names, **options) as env:
                release = asyncio.Event()
                for server in env.servers:
                    server.held = dict.fromkeys(held, release)
                caller = PipelinedCaller(env)
                await caller.connect()
                await scenario(env, release, caller)
                caller.writer.close()

        self.run_async(run)


class StartTest(PipeliningTestCase):
    """What is forwarded while an earlier request is unanswered."""

    def test_look_ups_are_forwarded_at_once(self) -> None:
        """Pattern: a caller sends look-ups ahead, and the first one is slow."""

        async def scenario(env, release, caller) -> None:
            paths = [f"/read/{number}" for number in range(6)]
            caller.send(*(f"GET {path}" for path in paths))
            await env.wait_until(lambda: list_targets(env) == paths)
            release.set()
            answers = [await caller.read_answer() for _ in paths]
            self.assertEqual([(200, path, False) for path in paths], answers)

        self.run_with_caller(scenario, held=("/read/0",))

    @parameterized.expand(
        [
            ("purchase", ["GET /read/0", "POST /buy/1", "GET /read/2"]),
            ("get that may not be repeated", ["GET /read/0", "GET /buy/1", "GET /read/2"]),
        ]
    )
    def test_what_may_not_be_repeated_waits(self, _name, requests) -> None:
        """Guards against a purchase that runs behind a close, and that the caller sends again."""

        async def scenario(env, release, caller) -> None:
            caller.send(*requests)
            await env.wait_until(lambda: list_targets(env) == ["/read/0"])
            await asyncio.sleep(0.1)
            self.assertEqual(["/read/0"], list_targets(env))
            release.set()
            paths = [request.split(" ")[1] for request in requests]
            answers = [await caller.read_answer() for _ in paths]
            self.assertEqual([(200, path, False) for path in paths], answers)

        self.run_with_caller(scenario, held=("/read/0",))

    def test_read_behind_a_purchase_waits(self) -> None:
        """Guards against a read that does not see the purchase before it."""

        async def scenario(env, release, caller) -> None:
            caller.send("POST /buy/1", "GET /read/2")
            await env.wait_until(lambda: list_targets(env) == ["/buy/1"])
            await asyncio.sleep(0.1)
            self.assertEqual(["/buy/1"], list_targets(env))
            release.set()
            self.assertEqual("/buy/1", (await caller.read_answer())[1])
            self.assertEqual("/read/2", (await caller.read_answer())[1])

        self.run_with_caller(scenario, held=("/buy/1",))

    def test_switched_off(self) -> None:
        async def scenario(env, release, caller) -> None:
            env.gateway.node.settings = harness.replace_settings(
                env.gateway.node.settings, pipelined_max=1
            )
            caller.send("GET /read/0", "GET /read/1")
            await env.wait_until(lambda: list_targets(env) == ["/read/0"])
            await asyncio.sleep(0.1)
            self.assertEqual(["/read/0"], list_targets(env))
            release.set()
            self.assertEqual("/read/0", (await caller.read_answer())[1])
            self.assertEqual("/read/1", (await caller.read_answer())[1])

        self.run_with_caller(scenario, held=("/read/0",))

    def test_nothing_starts_ahead_without_a_configuration(self) -> None:
        """Guards against a purchase that is taken for a look-up while routes are unknown."""

        async def scenario(env, _release, _caller) -> None:
            policy = caller_policy.CallerPolicy(env.gateway.node)
            self.assertFalse(
                policy.is_repeatable({"headers": [(b"host", b"x")], "raw_path": b"/read/1"})
            )

        self.run_with_caller(scenario, configuration={}, waits_until_ready=False)

    def test_waiting_time_counts_against_the_deadline(self) -> None:
        """Guards against a purchase that runs although its caller has given up."""

        async def scenario(env, release, caller) -> None:
            caller.send("GET /read/0")
            caller.send("POST /buy/1", wait_ms=200)
            await env.wait_until(lambda: list_targets(env) == ["/read/0"])
            await asyncio.sleep(0.3)
            release.set()
            self.assertEqual(200, (await caller.read_answer())[0])
            status, _, _ = await caller.read_answer()
            self.assertTrue(status >= 500, status)
            self.assertEqual(["/read/0"], list_targets(env))

        self.run_with_caller(scenario, held=("/read/0",))


class EndTest(PipeliningTestCase):
    """The end of a connection with several requests in progress."""

    def test_disconnect_ends_all(self) -> None:
        """Guards against servers that work for a caller that is gone."""

        async def scenario(env, _release, caller) -> None:
            for server in env.servers:
                server.release.clear()
            caller.send(*(f"GET /read/{number}" for number in range(4)), "POST /buy/4")
            await env.wait_until(lambda: len(list_targets(env)) == 4)
            caller.writer.close()
            await env.wait_until(
                lambda: sum(server.closed_while_held for server in env.servers) == 4
            )
            await env.wait_until(lambda: env.gateway.node.active_requests == 0)
            self.assertEqual(4, len(list_targets(env)))

        self.run_with_caller(scenario)

    def test_graceful_stop(self) -> None:
        """Pattern: an instance stops while callers have several requests in progress."""

        async def scenario(env, release, caller) -> None:
            caller.send("GET /read/0", "GET /read/1", "GET /read/2", "POST /buy/3")
            await env.wait_until(lambda: len(list_targets(env)) == 3)
            env.stop.set()
            await env.wait_until(lambda: env.gateway.node.is_stopping)
            caller.send("GET /read/4")
            await asyncio.sleep(0.1)
            release.set()
            answers = [await caller.read_answer() for _ in range(3)]
            expected = [(200, f"/read/{number}", number == 2) for number in range(3)]
            self.assertEqual(expected, answers)
            self.assertEqual(b"", await caller.reader.read())
            await asyncio.wait_for(env.running, 10)
            self.assertEqual([f"/read/{number}" for number in range(3)], list_targets(env))

        self.run_with_caller(scenario, held=("/read/0", "/read/1", "/read/2"))

    def test_no_forwarded_request_is_aborted_under_load(self) -> None:
        """Pattern: callers send ahead until the process exits, and resend behind a close."""

        async def scenario(env, release, caller) -> None:
            callers = [LoadCaller(env, f"c{number}") for number in range(8)]
            tasks = [asyncio.create_task(item.run()) for item in callers]
            await asyncio.sleep(0.5)
            env.stop.set()
            await asyncio.wait_for(env.running, 10)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            targets = list_targets(env)
            self.assertTrue(sum(item.answered for item in callers) > 200)
            self.assertEqual([], [path for item in callers for path in item.wrong])
            aborted = set().union(*(item.aborted for item in callers))
            self.assertEqual(set(), aborted & set(targets))
            buys = [target for target in targets if target.startswith("/buy/")]
            self.assertEqual(sorted(set(buys)), buys)

        self.run_with_caller(scenario)
