"""Runs sessions of callers on entry instances in one process and records the responses.

Links between instances are real; the platform, the backend servers and the clock are fakes. The
background loops of the instances do not run, so a session does not depend on time.
"""

import asyncio
import dataclasses
import json
import urllib.parse

from caperdyke.coordination import acceptance
from caperdyke.protocol import documents, settings_files
from caperdyke.state import backend, ids, settings
from caperdyke.state import configuration as configurations
from caperdyke.transport import node
from caperdyke.transport.http import caller_protocol, server_resources
from testing import builders, fakes


class Session:
    """Entry instances in one or more failure domains and the lines recorded about them."""

    def __init__(self, texts: list[str], names: dict[str, str], services: list[str]) -> None:
        self.clock = fakes.FakeClock()
        self.backends = fakes.FakeBackends()
        self.platform = fakes.FakePlatform()
        self.lines: list[str] = []
        self.nodes: dict[str, node.EntryNode] = {}
        self._apps: dict[str, object] = {}
        self._configuration = self._accept(texts)
        self._services = services
        self._names = names
        self._listeners: list[asyncio.Server] = []

    async def start(self) -> None:
        """Starts the instances and links each to all others."""
        for number, (name, domain) in enumerate(self._names.items()):
            await self._start_node(name, domain, number)
        for entry in self.nodes.values():
            for other in self.nodes.values():
                if other is not entry:
                    entry.node.members.merge(other.node.own)
                    await entry.links.ensure_link(other.node.own)
        await self.settle()
        self._assign_leases()

    async def settle(self) -> None:
        """Runs the event loop until messages in transit have arrived."""
        for _ in range(200):
            await asyncio.sleep(0)

    async def call(
        self,
        name: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        label: str = "",
    ) -> tuple[int, dict[str, str], bytes]:
        """Calls an instance and records the outcome."""
        status, answer_headers, content = await call_app(
            self._apps[name], method, path, headers or {}, body
        )
        outcome = answer_headers.get("caperdyke-outcome", "-")
        text = describe(content)
        self.lines.append(f"{label or path} at {name}: {status} {outcome} {text}")
        return status, answer_headers, content

    async def look_up(self, name: str, customer: str, client: str) -> str:
        """Makes a look-up, records the entries and returns the key."""
        query = urllib.parse.urlencode({"customer": customer, "client": client})
        status, _, content = await call_app(self._apps[name], "GET", f"/lookup?{query}", {}, b"")
        answer = json.loads(content)
        entries = ",".join(answer.get("entries", [answer.get("reason", "")]))
        self.lines.append(f"lookup {client} at {name}: {status} {answer.get('home')} {entries}")
        return answer.get("key", "")

    async def request(
        self, name: str, service: str, body: str, key: str = "", method: str = "POST"
    ) -> None:
        """Sends a request and records the response."""
        customer = next(iter(self._configuration.contracts))
        headers = {"caperdyke-key": key} if key else {}
        path = f"/serve/{customer}/{service}/do"
        await self.call(name, method, path, headers, body.encode(), f"{service} {body}")

    def add_comment(self, text: str) -> None:
        """Records a comment on the events of the session."""
        self.lines.append(f"-- {text}")

    async def kill(self, name: str) -> None:
        """Closes the links of an instance without a handover."""
        self.add_comment(f"{name} is killed")
        entry = self.nodes.pop(name)
        entry.links.close()
        await self.settle()

    async def stop(self, name: str) -> None:
        """Stops an instance as planned: hands over its keys and closes its links."""
        self.add_comment(f"{name} stops")
        entry = self.nodes.pop(name)
        await entry.hand_over()
        await self.settle()
        entry.links.close()
        await self.settle()

    def count_runs(self) -> None:
        """Records how often each request body ran."""
        counts = sorted(self.backends.runs.items())
        self.lines.append("runs " + " ".join(f"{body.decode()}={count}" for body, count in counts))

    async def close(self) -> None:
        """Closes all links and listeners."""
        for entry in self.nodes.values():
            entry.links.close()
        for listener in self._listeners:
            listener.close()
        await self.settle()

    def _accept(self, texts: list[str]) -> configurations.Configuration:
        configuration = configurations.EMPTY
        for number, text in enumerate(texts):
            _, document = documents.parse_document("session.ini", text)
            proposal = builders.make_proposal(text, f"c{number}", document.operator)
            configuration = acceptance.accept(number, configuration, proposal)
        return configuration

    async def _start_node(self, name: str, domain: str, number: int) -> None:
        servers = tuple(
            backend.BackendServer(
                ids.BackendId(f"{domain}-{service}"),
                ids.DomainName(domain),
                ids.ServiceName(service),
                ids.Address("127.0.0.1:1"),
                50,
            )
            for service in self._services
        )
        entry = node.EntryNode(make_settings(name, domain, servers))
        entry.node.clock = self.clock
        entry.node.platform = self.platform
        entry.node.client = self.backends
        listener = await entry.links.listen("127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        self._listeners.append(listener)
        record = dataclasses.replace(
            builders.make_member(name, domain),
            peer_address=f"127.0.0.1:{port}",
            caller_address=f"{name}:80",
        )
        entry.node.set_own_record(record)
        entry.sync._adopt(self._configuration)
        entry.node.configuration_table.confirm(self._configuration.revision, self.clock.now)
        entry.node.is_ready = True
        for record in entry.node.backends.list_records():
            record.stats.answers = 1000
            if record.state is backend.BackendState.WARMING:
                record.warm()
        self.nodes[name] = entry
        self._apps[name] = entry.make_app()

    def _assign_leases(self) -> None:
        for domain in set(self._names.values()):
            entries = [item for item in self.nodes.values() if item.node.own.domain == domain]
            holders = [item.node.own.holder for item in entries]
            count = self._configuration.find_domain(domain).slices
            row = builders.make_row(self.clock.now - 10, holders, count, ids.DomainName(domain))
            for item in entries:
                item.node.shares.apply_row(
                    dataclasses.replace(row, rest_until=self.clock.now + 1000)
                )
                item.node.backends.assign_slots(
                    item.node.own.instance, [holder.instance for holder in holders]
                )


def make_settings(name: str, domain: str, servers) -> settings.EntrySettings:
    """Returns the settings of an instance."""
    unused_address = ids.Address("127.0.0.1:1")
    logs = settings.LogSettings("ERROR", settings.LogFormat.TEXT)
    return settings.EntrySettings(
        ids.InstanceId(name),
        ids.DomainName(domain),
        unused_address,
        unused_address,
        unused_address,
        unused_address,
        (),
        servers,
        settings_files.BODY_MAX_BYTES,
        5,
        "least-work",
        logs,
    )


def describe(content: bytes) -> str:
    """Returns a response body as one line without values that vary between runs."""
    if content.startswith(b'{"outcome"'):
        refusal = json.loads(content)
        retry_text = "come back" if refusal["retry_at"] else "final"
        return f"{refusal['reason']}, {retry_text}"
    return content.decode()


def _do_nothing(_cause: str) -> None:
    return


async def call_app(
    app, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, dict[str, str], bytes]:
    """Calls an ASGI application once; a response that breaks off ends with ``(cut)``."""
    route, _, query = path.partition("?")
    raw = [(name.encode(), value.encode()) for name, value in headers.items()]
    scope = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.4"},
        "http_version": "1.1",
        "method": method,
        "path": route,
        "raw_path": route.encode(),
        "query_string": query.encode(),
        "headers": [*raw, (b"content-length", str(len(body)).encode()), (b"host", b"x")],
        "client": ("10.9.9.9", 1),
        "server": ("x", 80),
        "scheme": "http",
        "root_path": "",
        caller_protocol.HOLDING_KEY: server_resources.make_resources().account.open(_do_nothing),
    }
    state = {"status": 0, "headers": {}, "body": b"", "is_read": False}
    ended = asyncio.Event()

    async def receive():
        if not state["is_read"]:
            state["is_read"] = True
            return {"type": "http.request", "body": body, "more_body": False}
        await ended.wait()
        return {"type": "http.disconnect"}

    async def send(message) -> None:
        if message["type"] == "http.response.start":
            state["status"] = message["status"]
            state["headers"] = {n.decode(): v.decode() for n, v in message["headers"]}
        else:
            state["body"] += message.get("body", b"")

    try:
        await app(scope, receive, send)
    except Exception:
        state["body"] += b" (cut)"
    return state["status"], state["headers"], state["body"]
