"""What the fault soak needs that speaks the platform's protocol: callers, servers, documents."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import h11

from testing.platform import fake_server, fake_store, harness

# Versions for which the route that a version brings is kept.
ROUTES_KEPT = 8
READ_PATH = "/read/1"
BUY_PATH = "/buy/1"
CHUNK_BYTES = 65536
# Slots of a server: callers fill most of them, so that a fault leaves too few.
SLOTS = 2

make_store = fake_store.FakeStore


def make_probe_path(version: int) -> str:
    """Returns a path on the route that a version brings."""
    return f"/version-{version}/1"


async def write_configuration(
    store: fake_store.FakeStore, version: int, service: str, known: collections.abc.Iterable[int]
) -> None:
    """Writes a version with the routes of recent versions.

    :param service: where reads go.
    :param known: versions whose routes it holds.
    """
    document = harness.make_configuration(version)
    routes, read = document["routes"], document["routes"]["r-read"]
    terms = document["services"]["reader"]
    document["services"]["writer"] = terms
    routes["r-buy"]["service"] = "writer"
    routes["r-read"] = {**read, "service": service}
    for number in known:
        routes[f"r-version-{number}"] = {**read, "prefix": f"/version-{number}/"}
    await store.put("op", "config", document)


async def write_evacuation(store: fake_store.FakeStore, domain: str, is_ordered: bool) -> None:
    """Orders the evacuation of a failure domain, or ends it."""
    key = f"evacuate/{domain}"
    await (store.put("op", key, {}) if is_ordered else store.drop("op", key))


class SoakServer(fake_server.FakeServer):
    """A backend server that works for a while and answers with the request's own body.

    :ivar on_run: called with the id of each request that it begins to work on.
    :ivar on_arrival: called with the id of each request, the rest that its answer names, and
        whether it says that the server leaves.
    :ivar work_seconds: time that a request takes.
    :ivar limit: requests a second that it names in its answers; None where it names none.
    """

    def __init__(
        self, name: str, on_run: collections.abc.Callable[[str], None], work_seconds: float
    ) -> None:
        super().__init__(name)
        self.on_run = on_run
        self.work_seconds = work_seconds
        self.is_lying = False
        self.is_down = False
        self.limit: float | None = None
        self.rest_seconds: float | None = None
        self.says_leaving = False
        self.on_arrival: collections.abc.Callable[[str, float | None, bool], None] | None = None
        self._count = 0

    async def _answer_with_fault(self, fault, seen, writer) -> bool:
        if self.is_down:
            writer.transport.abort()
            return False
        request = seen.headers.get("caperdyke-request-id", "")
        self._count += 1
        if self.on_arrival is not None:
            self.on_arrival(request, self.rest_seconds, self.says_leaving)
        if self.rest_seconds is not None:
            fault = "shed"
        elif self.is_lying and self._count % 3 == 0:
            fault = ("shed", "error", "truncated", "earlier")[self._count // 3 % 4]
        if fault != "shed":
            self.on_run(request)
            await asyncio.sleep(self.work_seconds)
        self.body = make_body(request)
        self.headers = []
        if self.limit is not None:
            self.headers.append(("Caperdyke-Server-Limit", str(self.limit)))
        if self.rest_seconds is not None:
            self.headers.append(("Retry-After", str(self.rest_seconds)))
        if self.says_leaving:
            self.headers.append(("Server-Leaving", "1"))
        return await super()._answer_with_fault(fault, seen, writer)

    async def write_entry(
        self, store: fake_store.FakeStore, domain: str, service: str, state: str, sequence: int
    ) -> None:
        """Registers the server, or says that it leaves."""
        entry = self.register(service, domain, state, sequence=sequence, slots=SLOTS)
        await store.put("servers", self.name, entry)

    async def drop_entry(self, store: fake_store.FakeStore) -> None:
        """Removes its registration."""
        await store.drop("servers", self.name)


def make_body(request: str) -> bytes:
    """Returns the body that belongs to a request."""
    return f"answer to {request}".encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got.

    :param status: 0 where the connection ended without a whole answer, -1 where nothing was sent.
    """

    status: int
    body: bytes = b""


class CallerConnection:
    """One connection of a caller, used again and again until its end."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._http = h11.Connection(h11.CLIENT)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.is_usable = True

    async def ask(self, method: str, path: str, request: str, wait_seconds: float) -> Answer:
        """Sends a request and returns its answer."""
        is_sent = False
        try:
            async with asyncio.timeout(wait_seconds + 1.0):
                if self._writer is None:
                    host, _, port = self._address.partition(":")
                    self._reader, self._writer = await asyncio.open_connection(host, int(port))
                head = h11.Request(
                    method=method,
                    target=path,
                    headers=[
                        ("Host", harness.HOST),
                        ("Caperdyke-Request-Id", request),
                        ("Caperdyke-Request-Deadline", str(int(wait_seconds * 1000))),
                        ("Cookie", f"Caperdyke-Affinity-Key={len(request)}"),
                    ],
                )
                self._writer.write(self._http.send(head) + self._http.send(h11.EndOfMessage()))
                is_sent = True
                return await self._read()
        except (OSError, h11.ProtocolError):
            # TimeoutError is an OSError; the caller leaves.
            self.close()
            return Answer(0 if is_sent else -1)

    async def _read(self) -> Answer:
        status, parts = 0, []
        while True:
            event = self._http.next_event()
            match event:
                case h11.NEED_DATA:
                    self._http.receive_data(await self._reader.read(CHUNK_BYTES))
                case h11.Response():
                    status = event.status_code
                case h11.Data():
                    parts.append(bytes(event.data))
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    self.close()
                    return Answer(0)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.close()
        return Answer(status, b"".join(parts))

    def close(self) -> None:
        """Ends the connection."""
        self.is_usable = False
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.transport.abort()


async def ask_ready(address: str) -> bool:
    """Tells whether a gateway says that it is ready."""
    connection = CallerConnection(address)
    answer = await connection.ask("GET", "/caperdyke/readiness", "ready", 0.5)
    connection.close()
    return answer.status == 200
