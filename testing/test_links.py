"""Links: invalid frames, concurrent requests, heartbeats and the handover of key records."""

import asyncio
import dataclasses
import socket

import parameterized
import testtools

from caperdyke.protocol import frames, messages
from caperdyke.state import backend, member
from testing import builders, test_sessions

INVALID_HELLOS = [
    ("garbage", b"GET / HTTP/1.1\r\n\r\n"),
    ("zero_length", b"\x00\x00\x00\x00"),
    ("huge_length", b"\xff\xff\xff\xff"),
    ("not_hello", frames.encode_frame(messages.Cancel(1))),
    ("other_version", frames.encode_frame(messages.Hello(2, builders.make_member("x")))),
    ("empty", b""),
]
INVALID_FRAMES = [
    ("garbage", b"\x00\x00\x00\x02\xc1\xc1"),
    ("unknown_type", b"\x00\x00\x00\x02\x91\x63"),
    ("cut_frame", b"\x00\x00\x00\x09\x91"),
]


async def connect(entry):
    """Opens a raw connection to an instance."""
    host, _, port = entry.node.own.peer_address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def can_listen(port: int) -> bool:
    """Returns whether a server can listen on a port."""
    with socket.socket() as server:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            server.bind(("127.0.0.1", port))
            server.listen()
        except OSError:
            return False
        return True


async def read_to_end(reader: asyncio.StreamReader) -> None:
    """Reads until the other side closes."""
    while await reader.read(65536):
        pass


class LinksTest(testtools.TestCase):
    """Three instances of one operator with real links between them."""

    def run_session(self, script):
        async def run():
            running = test_sessions.make_tala_session()
            await running.start()
            try:
                return await script(running)
            finally:
                await running.close()

        return asyncio.run(run())

    def test_ports_of_open_and_ended_links_remain_free_for_servers(self) -> None:
        # An instance could not restart while a link of another had one of its ports.
        async def script(running):
            ports = {}
            for name, entry in running.nodes.items():
                listening = entry.node.own.peer_address.rpartition(":")[2]
                for link in entry.links.list_open():
                    port = link._writer.get_extra_info("sockname")[1]
                    if str(port) != listening:
                        ports[name, link.peer.instance] = port
            while_open = [can_listen(port) for port in ports.values()]
            for name in tuple(running.nodes):
                await running.kill(name)
            return while_open, [can_listen(port) for port in ports.values()]

        while_open, ended = self.run_session(script)
        self.assertEqual(([True] * 3, [True] * 3), (while_open, ended))

    @parameterized.parameterized.expand(INVALID_HELLOS)
    def test_invalid_hello_closes_only_its_link(self, _name, data) -> None:
        async def script(running):
            entry = running.nodes["pasig-1"]
            before = len(entry.links.list_open())
            reader, writer = await connect(entry)
            writer.write(data)
            writer.write_eof()
            await read_to_end(reader)
            return before, len(entry.links.list_open())

        self.assertEqual((2, 2), self.run_session(script))

    @parameterized.parameterized.expand(INVALID_FRAMES)
    def test_invalid_frame_closes_only_its_link(self, _name, data) -> None:
        async def script(running):
            entry = running.nodes["pasig-1"]
            reader, writer = await connect(entry)
            hello = messages.Hello(messages.PROTOCOL_VERSION, builders.make_member("stranger"))
            writer.write(frames.encode_frame(hello) + data)
            writer.write_eof()
            await read_to_end(reader)
            await running.request("pasig-1", "gallery-reader", "after", method="GET")
            return len(entry.links.list_open()), running.lines[-1]

        count, line = self.run_session(script)
        self.assertEqual(2, count)
        self.assertIn("200 answered answer to after", line)

    def test_heartbeat_is_due_only_where_none_was_sent_and_answers_do_not_count(self) -> None:
        async def script(running):
            links = running.nodes["pasig-1"].links
            for link in links.list_open():
                link.heartbeat_sent_at = 0.0
            first, second = links.list_open()
            first.send(messages.Heartbeat(1, 0.0, 0.0))
            second.send(messages.AnswerEnd(99, 0))
            sent_at = first.heartbeat_sent_at
            links._send_due_heartbeats()
            return first.heartbeat_sent_at == sent_at, second.heartbeat_sent_at > 0.0

        self.assertEqual((True, True), self.run_session(script))

    def test_out_of_order_answers_match_their_requests(self) -> None:
        async def script(running):
            running.backends.faults["gallery-reader"] = ["hold"]
            running.nodes["pasig-1"].node.drains.merge(backend.DrainMark("pasig-hall", 1, True))
            first = asyncio.create_task(
                running.request("pasig-1", "gallery-reader", "first", method="POST")
            )
            await running.settle()
            second = asyncio.create_task(
                running.request("pasig-1", "gallery-reader", "second", method="POST")
            )
            await second
            running.backends.release.set()
            await first
            return running.lines

        self.assertEqual(
            [
                "gallery-reader second at pasig-1: 200 answered answer to second",
                "gallery-reader first at pasig-1: 200 answered answer to first",
            ],
            self.run_session(script),
        )

    def test_two_concurrent_shutdowns_keep_the_key_records(self) -> None:
        async def script(running):
            used = await running.look_up("pasig-1", "tala-gallery", "10.1.0.7")
            unused = await running.look_up("pasig-1", "tala-gallery", "10.1.0.7")
            await running.request("pasig-1", "checkout", "paid", used)
            leaving = [running.nodes["pasig-1"], running.nodes["pasig-2"]]
            for entry in leaving:
                entry._announce(
                    dataclasses.replace(entry.node.own, state=member.MemberState.LEAVING)
                )
            await running.settle()
            await asyncio.gather(*(running.stop(name) for name in ("pasig-1", "pasig-2")))
            running.lines.clear()
            await running.request("cebu-1", "checkout", "paid", used)
            await running.request("cebu-1", "checkout", "late", unused)
            running.count_runs()
            return running.lines

        lines = self.run_session(script)
        self.assertIn("200 answered answer to paid", lines[0])
        # The contract forbids the service in the region of the instance that is left.
        self.assertIn("not-run", lines[1])
        self.assertEqual("runs paid=1", lines[2])

    def test_kill_before_the_handover_makes_the_outcome_unknown(self) -> None:
        async def script(running):
            used = await running.look_up("pasig-1", "tala-gallery", "10.1.0.7")
            await running.request("pasig-1", "checkout", "paid", used)
            running.nodes["pasig-1"].node.key_table.seal()
            await running.kill("pasig-1")
            await running.request("pasig-2", "checkout", "paid", used)
            running.count_runs()
            return running.lines[-2:]

        lines = self.run_session(script)
        self.assertIn("502 unknown key-owner-gone", lines[0])
        self.assertEqual("runs paid=1", lines[1])
