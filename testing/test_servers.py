"""Ports of the test servers."""

import socket

import testtools

from testing import servers

STARTS = range(19_700, 19_960, 20)


class PortBlockTest(testtools.TestCase):
    """Blocks of concurrent runs."""

    def test_concurrent_runs_never_pick_the_same_port(self) -> None:
        """Guards against two runs side by side in which a gateway finds its port in use."""
        blocks = [servers.PortBlock(STARTS, 20) for _ in range(2)]
        picked = [{block.pick_address() for _ in range(60)} for block in blocks]
        self.assertEqual([19, 19], [len(item) for item in picked])
        self.assertFalse(picked[0] & picked[1], picked)

    def test_port_in_use_is_passed_over(self) -> None:
        block = servers.PortBlock(STARTS, 4)
        taken = block.pick_address()
        with socket.socket() as listening:
            listening.bind((servers.HOST, int(taken.rpartition(":")[2])))
            self.assertNotIn(taken, [block.pick_address() for _ in range(8)])

    def test_no_free_block_is_an_error(self) -> None:
        """Guards against a run that shares its ports with another one."""
        block = servers.PortBlock(STARTS[:1], 4)
        error = self.assertRaises(AssertionError, servers.PortBlock, STARTS[:1], 4)
        self.assertIn("no free block", str(error))
        self.assertTrue(block.pick_address())
