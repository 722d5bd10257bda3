"""Keepalive options of TCP, as Linux applies them together."""

import socket

import testtools
from parameterized import parameterized

from caperdyke.transport.http import tcp_keepalive

OPTIONS = [
    ("requests", tcp_keepalive.REQUEST_KEEPALIVE),
    ("store", tcp_keepalive.STORE_KEEPALIVE),
]


class KeepaliveTest(testtools.TestCase):
    """Times until an unresponsive peer is detected."""

    @parameterized.expand(OPTIONS)
    def test_user_timeout_and_count_of_probes_agree(self, _name, options) -> None:
        """Guards against a probe count that a user timeout overrides.

        Linux gives up at the first probe that is due once the timeout has passed, whatever the
        count.
        """
        due_at = tcp_keepalive.PROBE_INTERVAL_S
        while due_at * 1000 < options.user_timeout_ms:
            due_at += tcp_keepalive.PROBE_INTERVAL_S
        self.assertEqual(options.idle_detection_s, due_at)

    @parameterized.expand([*OPTIONS, ("callers", tcp_keepalive.CALLER_KEEPALIVE)])
    def test_options_are_set(self, _name, options) -> None:
        with socket.socket() as sock:
            tcp_keepalive.enable_keepalive(sock, options)
            for name, expected in (
                (socket.TCP_KEEPCNT, options.probes_max),
                (socket.TCP_KEEPIDLE, tcp_keepalive.PROBE_INTERVAL_S),
                (socket.TCP_KEEPINTVL, tcp_keepalive.PROBE_INTERVAL_S),
                (socket.TCP_USER_TIMEOUT, options.user_timeout_ms),
            ):
                self.assertEqual(expected, sock.getsockopt(socket.IPPROTO_TCP, name))
