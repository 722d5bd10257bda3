"""Observations of the path to all backend servers."""

import testtools

from caperdyke.coordination.placement import server_path
from caperdyke.state import backend, ids

NOW = 100.0


def make_server(name: str, domain: str = "hall-1") -> backend.BackendServer:
    """Returns a server of one service."""
    return backend.BackendServer(
        ids.BackendId(name),
        ids.DomainName(domain),
        ids.ServiceName("reader"),
        ids.Address(f"{name}:1"),
        4,
    )


class DescribeTest(testtools.TestCase):
    """The description for log lines."""

    def test_nothing_observed(self) -> None:
        expected = {"failed_servers": 0, "failed_domains": 0, "opened_ms": -1, "received_ms": -1}
        self.assertEqual(expected, server_path.ServerPath().describe(NOW))

    def test_failures_count_since_a_connection_was_opened(self) -> None:
        path = server_path.ServerPath()
        path.record_open_failed(make_server("s1"))
        path.record_opened(NOW)
        path.record_received(NOW + 0.1)
        path.record_open_failed(make_server("s2"))
        path.record_open_failed(make_server("s2"))
        path.record_open_failed(make_server("s3", "hall-2"))
        expected = {"failed_servers": 2, "failed_domains": 2, "opened_ms": 500, "received_ms": 400}
        self.assertEqual(expected, path.describe(NOW + 0.5))
