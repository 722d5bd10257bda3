"""Clients that send look-ups ahead, while their gateway is stopped as planned."""

import asyncio
import collections
import pathlib
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common import case, deployment, http  # noqa: E402

CLIENTS = 12
# Of the route `rate-lookup`, whose clients send ahead: its answers are up to 30,000 bytes long.
ANSWER_BYTES = 30_000
DEADLINE_MS = 3900
WORK_S = 0.1
# Look-ups of a connection that may be unanswered, and the pause between two of them.
AHEAD_MAX = 8
SEND_INTERVAL_S = 0.02
# A client reads so many bytes a second, without a pause, through a small window.
READ_PER_S = 200_000
RECEIVE_BUFFER_BYTES = 16 * 1024
CALM_S = 3.0
GRACE_S = 6.0


class Client:
    """One connection, on which look-ups are sent ahead until an answer announces its close."""

    def __init__(self, name: str, record: deployment.Record) -> None:
        self._name = name
        self._record = record
        self.sent_at: dict[str, float] = {}
        self.unanswered: collections.deque[str] = collections.deque()
        self.answered = 0
        self.error = ""
        self.ended_at = 0.0
        self._is_closing = False
        self._is_ending = False

    async def run(self, gateway: deployment.Gateway) -> None:
        """Sends and reads until the gateway closes the connection, or until ``end``."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, gateway.front)
        reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BUFFER_BYTES)
        sending = asyncio.create_task(self._send(writer))
        try:
            while not self._is_closing and (self.unanswered or not self._is_ending):
                await self._read(reader)
        except (OSError, EOFError) as error:
            self.error = repr(error)
            self._record.write(
                f"{self._name}: {error!r} after {self.answered} answers;"
                f" sent and not answered: {', '.join(self.unanswered)}"
            )
        self.ended_at = time.monotonic()
        sending.cancel()
        writer.close()

    def end(self) -> None:
        """Sends nothing more, and reads the answers that are due."""
        self._is_ending = True

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        number = 0
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            if self._is_closing or self._is_ending or len(self.unanswered) >= AHEAD_MAX:
                continue
            number += 1
            request_id = f"{self._name}-{number}"
            headers = deployment.make_headers(request_id, DEADLINE_MS)
            self.sent_at[request_id] = time.monotonic()
            self.unanswered.append(request_id)
            writer.write(http.make_request("GET", f"/rates/{number}", headers))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        _, headers = http.parse_head(await reader.readuntil(b"\r\n\r\n"))
        self._is_closing = headers.get("connection") == "close"
        left = int(headers["content-length"])
        while left:
            part = await reader.read(min(4096, left))
            if not part:
                raise EOFError(f"{left} bytes of an answer are missing")
            left -= len(part)
            await asyncio.sleep(len(part) / READ_PER_S)
        assert headers["caperdyke-request-id"] == self.unanswered[0]
        self.unanswered.popleft()
        self.answered += 1


async def play(record: deployment.Record, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    async with deployment.Deployment() as small:
        for number in range(3):
            target = await small.add_target(f"target-{number}", "ratedesk", "zone-a")
            target.slots = 60

            async def answer(request, writer, target=target) -> bool:
                await asyncio.sleep(WORK_S)
                writer.write(http.make_answer(200, target.sign(request), b"x" * ANSWER_BYTES))
                return True

            target.answer = answer
        route = deployment.make_route("/rates/", "safe", "ratedesk")
        await small.configure({"rates": route}, ["ratedesk"])
        gateway = small.add_gateway("gateway-1", "zone-a")
        gateway.start()
        await gateway.wait_until_ready()
        # Longer than `stableWindowMs` before the first request.
        await asyncio.sleep(4.5)

        clients = [Client(f"client-{number}", record) for number in range(CLIENTS)]
        running = [asyncio.create_task(client.run(gateway)) for client in clients]
        await asyncio.sleep(CALM_S)
        stopped_at = time.monotonic()
        if has_trouble:
            record.write("platform sends SIGTERM")
            gateway.send_signal(signal.SIGTERM)
        else:
            for client in clients:
                client.end()
        await asyncio.wait(running, timeout=GRACE_S)
        ended_s = time.monotonic() - stopped_at

        ran = {run.request.id: run for target in small.targets for run in target.runs}
        lost = []
        for client in clients:
            for request_id in client.unanswered:
                run = ran.get(request_id)
                if run is None or not client.error:
                    continue
                lost.append(request_id)
                record.write(
                    f"{request_id} was read and passed on to a target, which answered"
                    f" {run.ended_at - client.sent_at[request_id]:.2f} s after it was sent; its"
                    f" connection ended {client.ended_at - client.sent_at[request_id]:.2f} s after"
                    " it was sent, without the complete answer"
                )
        answered = sum(client.answered for client in clients)
        record.write(f"all connections had ended {ended_s:.2f} s after the stop began")
        record.write(
            f"answers: {answered}; requests passed on whose connection ended without a complete"
            f" answer: {len(lost)}, on {sum(bool(client.error) for client in clients)} of"
            f" {CLIENTS} connections"
        )
        return not lost


case.run(play, FOLDER)
