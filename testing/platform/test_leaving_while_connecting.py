"""Servers that leave service while a request waits for a connection to them."""

import collections.abc

from parameterized import parameterized

from caperdyke.state import ids, registration, store_rows
from testing.platform import fake_server, fleet_harness, harness

LATER = store_rows.Position(0, 2)


def drain(fleet: fleet_harness.FleetHarness, server: fake_server.FakeServer) -> None:
    """Registers a server as draining."""
    fleet.register(server, 2, registration.RegistrationState.DRAINING)


def remove(fleet: fleet_harness.FleetHarness, server: fake_server.FakeServer) -> None:
    """Removes the registration of a server."""
    for node in fleet.nodes:
        node.servers.remove(fleet.now, ids.BackendId(server.name), LATER)
        node.refresh_servers()


def evacuate(fleet: fleet_harness.FleetHarness, server: fake_server.FakeServer) -> None:
    """Evacuates the failure domain of a server."""
    for node in fleet.nodes:
        domain = node.servers.find(ids.BackendId(server.name)).registration.server.domain
        node.evacuate(frozenset({domain}))


class LeavingWhileConnectingTest(harness.AsyncTestCase):
    """A server leaves service after it was selected for a request."""

    @parameterized.expand([("draining", drain), ("removed", remove), ("evacuated", evacuate)])
    def test_request_waiting_for_a_connection_avoids_a_server_out_of_service(
        self,
        _name,
        leave: collections.abc.Callable[[fleet_harness.FleetHarness, fake_server.FakeServer], None],
    ) -> None:
        """Guards against requests that reach a server later than its drain allows."""

        async def scenario() -> None:
            async with fleet_harness.open_fleet(1, 2) as fleet:
                node, leaving_server = fleet.nodes[0], fleet.servers[0]
                original_open = node.pool.open

                async def open_while_leaving(address, timeout):
                    opened = await original_open(address, timeout)
                    if address == leaving_server.address:
                        leave(fleet, leaving_server)
                    return opened

                node.pool.open = open_while_leaving
                for number in range(20):
                    result = await fleet.send_request(0, f"k{number}")
                    self.assertEqual(200, result.status)
                self.assertEqual([], leaving_server.times)

        self.run_async(scenario)
