"""Observations of the path to all backend servers, and when it counts as lost."""

import testtools
from parameterized import parameterized

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


def make_path(servers: int = 12, domains: int = 3) -> server_path.ServerPath:
    """Returns the observations of an instance that opened a connection 1 s ago."""
    path = server_path.ServerPath()
    path.apply_servers(servers, domains)
    path.record_opened(NOW - 1.0)
    path.record_received(NOW)
    return path


def fail(
    path: server_path.ServerPath, *names: str, now: float = NOW, is_refused: bool = True
) -> None:
    """Records a failure to connect to each server; the domain follows a colon."""
    for name in names:
        server, _, domain = name.partition(":")
        path.record_open_failed(now, make_server(server, domain), now - 0.5, is_refused)


class LossTest(testtools.TestCase):
    """Failures to connect in a row."""

    @parameterized.expand(
        [
            ("three_servers_of_two_domains", (12, 3), ["a:1", "b:1", "c:2"], True),
            ("two_servers", (12, 3), ["a:1", "b:2"], False),
            ("one_server_three_times", (12, 3), ["a:1", "a:1", "a:1"], False),
            ("one_domain_is_down", (12, 3), ["a:1", "b:1", "c:1", "d:1"], False),
            ("only_one_domain_exists", (12, 1), ["a:1", "b:1", "c:1"], True),
            ("only_two_servers_exist", (2, 2), ["a:1", "b:2"], True),
            ("only_one_server_exists", (1, 1), ["a:1"], True),
        ]
    )
    def test_path_is_lost(self, _name, population, failed, is_lost) -> None:
        path = make_path(*population)
        fail(path, *failed)
        self.assertEqual(is_lost, path.is_lost)

    def test_connection_that_opens_resets_the_row(self) -> None:
        """Pattern: a sixth of the servers fall silent; connections to the others open."""
        path = make_path()
        fail(path, "a:1", "b:2")
        path.record_opened(NOW)
        fail(path, "c:3", "d:1", now=NOW + 0.6)
        self.assertFalse(path.is_lost)

    def test_attempt_that_began_before_another_opened_proves_nothing(self) -> None:
        path = make_path()
        path.record_opened(NOW - 0.1)
        fail(path, "a:1", "b:2", "c:3")
        self.assertFalse(path.is_lost)

    @parameterized.expand([("answers_arrive", 0.2, False), ("silence", -0.6, True)])
    def test_connections_that_open_too_late_count_in_silence_only(
        self, _name, received_after, is_lost
    ) -> None:
        """Guards against instances with a congested link that leave look-ups one after another."""
        path = make_path()
        path.record_received(NOW + received_after)
        fail(path, "a:1", "b:2", "c:3", now=NOW + 0.4, is_refused=False)
        self.assertEqual(is_lost, path.is_lost)

    def test_old_failures_do_not_count(self) -> None:
        path = make_path()
        fail(path, "a:1", "b:2")
        fail(path, "c:3", now=NOW + server_path.FAILURE_MEMORY_S + 0.1)
        self.assertFalse(path.is_lost)

    def test_first_connection_restores_the_path(self) -> None:
        path = make_path()
        fail(path, "a:1", "b:2", "c:3")
        path.record_opened(NOW + 5.0)
        self.assertFalse(path.is_lost)
        self.assertTrue(path.can_use_kept(NOW + 9.0))


class SuspicionTest(testtools.TestCase):
    """Signs that the path may be lost."""

    @parameterized.expand(
        [
            ("three_servers", ["a", "b", "c"], 0.41, True),
            ("three_servers_too_short", ["a", "b", "c"], 0.39, False),
            ("two_servers", ["a", "b"], 0.61, True),
            ("two_servers_too_short", ["a", "b"], 0.59, False),
            ("one_server", ["a", "a"], 1.21, True),
            ("one_server_too_short", ["a", "a"], 1.19, False),
        ]
    )
    def test_silence_of_all_servers_is_suspect(self, _name, sent, age, is_suspect) -> None:
        path = make_path()
        for name in sent:
            path.record_sent(NOW, ids.BackendId(name))
        self.assertEqual(is_suspect, path.is_suspect(NOW + age))

    @parameterized.expand(
        [
            ("one_while_others_send", ["a:1"], 0.1, False),
            ("one_and_silence", ["a:1"], 0.41, True),
            ("two_while_others_send", ["a:1", "b:1"], 0.1, True),
            ("old_ones", ["a:1", "b:1"], server_path.FAILURE_MEMORY_S + 0.1, False),
        ]
    )
    def test_failures_to_connect_are_suspect(self, _name, failed, age, is_suspect) -> None:
        """Guards against a loss that is not noticed because only two servers are ever tried."""
        path = make_path()
        fail(path, *failed)
        self.assertEqual(is_suspect, path.is_suspect(NOW + age))

    def test_any_sign_of_a_server_ends_the_suspicion(self) -> None:
        path = make_path()
        for name in ("a", "b", "c"):
            path.record_sent(NOW, ids.BackendId(name))
        path.record_received(NOW + 0.4)
        self.assertFalse(path.is_suspect(NOW + 2.0))

    def test_connection_that_opens_ends_the_suspicion(self) -> None:
        path = make_path()
        fail(path, "a:1", "b:1")
        path.record_opened(NOW + 0.1)
        self.assertFalse(path.is_suspect(NOW + 2.0))

    def test_two_servers_are_too_few_to_probe(self) -> None:
        path = make_path(servers=2)
        path.record_sent(NOW, ids.BackendId("a"))
        self.assertFalse(path.is_suspect(NOW + 2.0))


class KeptConnectionsTest(testtools.TestCase):
    """Kept connections while no new one opens."""

    def test_they_are_used_as_long_as_servers_send(self) -> None:
        path = make_path()
        fail(path, "a:1", "b:2", "c:3")
        path.record_sent(NOW, ids.BackendId("a"))
        path.record_received(NOW + 0.2)
        self.assertTrue(path.can_use_kept(NOW + 0.9))

    @parameterized.expand(
        [("request_without_a_sign", True, 0.6), ("nothing_received_for_long", False, 1.1)]
    )
    def test_they_are_not_used_in_silence(self, _name, is_sent, age) -> None:
        path = make_path()
        fail(path, "a:1", "b:2", "c:3")
        if is_sent:
            path.record_sent(NOW, ids.BackendId("a"))
        self.assertFalse(path.can_use_kept(NOW + age))


class DescribeTest(testtools.TestCase):
    """The description for log lines."""

    def test_nothing_observed(self) -> None:
        expected = {"failed_servers": 0, "failed_domains": 0, "opened_ms": -1, "received_ms": -1}
        self.assertEqual(expected, server_path.ServerPath().describe(NOW))

    def test_failures_count_since_a_connection_was_opened(self) -> None:
        path = server_path.ServerPath()
        fail(path, "s1:1", now=NOW - 1.0)
        path.record_opened(NOW)
        path.record_received(NOW + 0.1)
        fail(path, "s2:1", "s2:1", "s3:2", now=NOW + 0.5)
        expected = {"failed_servers": 2, "failed_domains": 2, "opened_ms": 500, "received_ms": 400}
        self.assertEqual(expected, path.describe(NOW + 0.5))
