"""Parts of the fault soak that use the platform's protocol: callers, servers, documents."""

import asyncio
import collections.abc
import contextlib
import dataclasses

import h11

from testing.platform import fake_server, fake_store, harness

# Number of recent versions whose routes a configuration keeps.
ROUTES_KEPT_VERSIONS = 8
READ_PATH = "/read/1"
BUY_PATH = "/buy/1"
CHUNK_BYTES = 65536
# Slots of a server: callers occupy most of them, so that a fault leaves too few.
SLOTS = 2
# Keys of the teams, and one that no team holds. Purchases need a key, other routes are public.
TEAM_KEYS = {"team-a": "soakkeyofteama", "team-b": "soakkeyofteamb"}
UNKNOWN_KEY = "soakkeyofnobody"

make_store = fake_store.FakeStore


def make_probe_path(version: int) -> str:
    """Returns a path on the route that a version adds."""
    return f"/version-{version}/1"


async def write_configuration(
    store: fake_store.FakeStore,
    version: int,
    service: str,
    recent_versions: collections.abc.Iterable[int],
) -> None:
    """Writes a version with the routes of recent versions.

    :param service: service that reads are routed to.
    :param recent_versions: versions whose routes it contains.
    """
    document = harness.make_configuration(version)
    document["tenants"] = {name: {"apiKeys": [key]} for name, key in TEAM_KEYS.items()}
    routes = document["routes"]
    read = {**routes["r-read"], "public": True}
    limits = document["services"]["reader"]
    document["services"]["writer"] = limits
    routes["r-buy"]["service"] = "writer"
    routes["r-read"] = {**read, "service": service}
    for number in recent_versions:
        routes[f"r-version-{number}"] = {**read, "prefix": f"/version-{number}/"}
    await store.put("op", "config", document)


def contains_key(text: str) -> bool:
    """Returns whether a text contains a key that callers send."""
    return any(key in text for key in (*TEAM_KEYS.values(), UNKNOWN_KEY))


async def write_evacuation(store: fake_store.FakeStore, domain: str, is_ordered: bool) -> None:
    """Starts the evacuation of a failure domain, or ends it."""
    key = f"evacuate/{domain}"
    await (store.put("op", key, {}) if is_ordered else store.drop("op", key))


class SoakServer(fake_server.FakeServer):
    """A backend server with a processing time, whose answer contains the request id.

    :ivar on_run: called with the id of each request that it starts to process.
    :ivar on_arrival: called with the id of each request, the backoff that its answer requests, in
        seconds, and whether the answer announces that the server leaves.
    :ivar on_team: called with the id of each request, the team that it names (empty if none), and
        whether it contains a key.
    :ivar processing_s: processing time of a request, in seconds.
    :ivar limit: requests per second that it advertises in its answers; None if it advertises none.
    """

    def __init__(
        self, name: str, on_run: collections.abc.Callable[[str], None], processing_s: float
    ) -> None:
        super().__init__(name)
        self.on_run = on_run
        self.processing_s = processing_s
        self.is_faulty = False
        self.is_down = False
        self.limit: float | None = None
        self.backoff_s: float | None = None
        self.announces_leaving = False
        self.on_team: collections.abc.Callable[[str, str, bool], None] | None = None
        self.on_arrival: collections.abc.Callable[[str, float | None, bool], None] | None = None
        self._count = 0

    async def _answer_with_fault(self, fault, seen, writer) -> bool:
        if self.is_down:
            writer.transport.abort()
            return False
        request = seen.headers.get("caperdyke-request-id", "")
        self._count += 1
        if self.on_team is not None:
            has_key = "authorization" in seen.headers or contains_key(str(seen.headers))
            self.on_team(request, seen.headers.get("caperdyke-tenant", ""), has_key)
        if self.on_arrival is not None:
            self.on_arrival(request, self.backoff_s, self.announces_leaving)
        if self.backoff_s is not None:
            fault = "shed"
        elif self.is_faulty and self._count % 3 == 0:
            fault = ("shed", "error", "truncated", "earlier")[self._count // 3 % 4]
        if fault != "shed":
            self.on_run(request)
            await asyncio.sleep(self.processing_s)
        self.body = make_body(request)
        self.headers = []
        if self.limit is not None:
            self.headers.append(("Caperdyke-Server-Limit", str(self.limit)))
        if self.backoff_s is not None:
            self.headers.append(("Retry-After", str(self.backoff_s)))
        if self.announces_leaving:
            self.headers.append(("Server-Leaving", "1"))
        return await super()._answer_with_fault(fault, seen, writer)

    async def write_entry(
        self, store: fake_store.FakeStore, domain: str, service: str, state: str, sequence: int
    ) -> None:
        """Writes the server's registration with a state."""
        entry = self.register(service, domain, state, sequence=sequence, slots=SLOTS)
        await store.put("servers", self.name, entry)

    async def drop_entry(self, store: fake_store.FakeStore) -> None:
        """Removes the server's registration."""
        await store.drop("servers", self.name)


def make_body(request: str) -> bytes:
    """Returns the body that belongs to a request."""
    return f"answer to {request}".encode()


# Statuses of requests without a complete answer: the connection ended, nothing was sent, or an
# earlier answer announced that the connection closes.
CUT_STATUS = 0
UNSENT_STATUS = -1
BEHIND_CLOSE_STATUS = -2


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer that a caller received.

    :param status: ``CUT_STATUS``, ``UNSENT_STATUS`` or ``BEHIND_CLOSE_STATUS`` if it has none.
    """

    status: int
    body: bytes = b""


class CallerConnection:
    """One persistent connection of a caller."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        # Bytes that were received behind the latest answer.
        self._surplus = b""
        self.is_usable = True

    async def send_request(
        self, method: str, path: str, request: str, deadline_s: float, key: str = ""
    ) -> Answer:
        """Sends a request and returns its answer.

        :param deadline_s: deadline that the request states; the caller gives up 1 s later.
        :param key: the caller's key; empty if it sends none.
        """
        return (await self.send_ahead(method, path, [request], deadline_s, key))[0]

    async def send_ahead(
        self, method: str, path: str, requests: list[str], deadline_s: float, key: str = ""
    ) -> list[Answer]:
        """Sends requests in one piece and returns their answers.

        :param deadline_s: deadline that each request states; the caller gives up 1 s later.
        :param key: the caller's key; empty if it sends none.
        """
        answers: list[Answer] = []
        missing_status = UNSENT_STATUS
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                if self._writer is None:
                    host, _, port = self._address.partition(":")
                    self._reader, self._writer = await asyncio.open_connection(host, int(port))
                exchanges = [h11.Connection(h11.CLIENT) for _ in requests]
                for exchange, request in zip(exchanges, requests, strict=True):
                    self._writer.write(_encode(exchange, method, path, request, deadline_s, key))
                missing_status = CUT_STATUS
                for exchange in exchanges:
                    answers.append(await self._read(exchange))
                    if not self.is_usable:
                        is_cut = answers[-1].status == CUT_STATUS
                        missing_status = CUT_STATUS if is_cut else BEHIND_CLOSE_STATUS
                        break
        except (OSError, h11.ProtocolError):
            # TimeoutError is an OSError, too: the caller closes the connection.
            self.close()
        return answers + [Answer(missing_status)] * (len(requests) - len(answers))

    async def _read(self, exchange: h11.Connection) -> Answer:
        status, parts = CUT_STATUS, []
        if self._surplus:
            exchange.receive_data(self._surplus)
        while True:
            event = exchange.next_event()
            match event:
                case h11.NEED_DATA:
                    exchange.receive_data(await self._reader.read(CHUNK_BYTES))
                case h11.Response():
                    status = event.status_code
                case h11.Data():
                    parts.append(bytes(event.data))
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    self.close()
                    return Answer(CUT_STATUS)
        self._surplus = exchange.trailing_data[0]
        if not (exchange.our_state is h11.DONE and exchange.their_state is h11.DONE):
            self.close()
        return Answer(status, b"".join(parts))

    def close(self) -> None:
        """Aborts the connection."""
        self.is_usable = False
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.transport.abort()


def _encode(
    exchange: h11.Connection, method: str, path: str, request: str, deadline_s: float, key: str
) -> bytes:
    headers = [
        ("Host", harness.HOST),
        ("Caperdyke-Request-Id", request),
        ("Caperdyke-Request-Deadline", str(int(deadline_s * 1000))),
        ("Cookie", f"Caperdyke-Affinity-Key={len(request)}"),
    ]
    if key:
        headers.append(("Authorization", f"Bearer {key}"))
    head = h11.Request(method=method, target=path, headers=headers)
    return exchange.send(head) + exchange.send(h11.EndOfMessage())


async def ask_ready(address: str) -> bool:
    """Returns whether a gateway reports that it is ready."""
    connection = CallerConnection(address)
    answer = await connection.send_request("GET", "/caperdyke/readiness", "ready", 0.5)
    connection.close()
    return answer.status == 200
