"""Candidate servers of a gateway, without connections."""

import testtools

from caperdyke.platform import documents, headers
from caperdyke.state import backend, ids, registration, routes, store_rows
from caperdyke.transport.gateway import context
from testing.platform import harness

SERVICE = ids.ServiceName("reader")
ROUTE = routes.Route(
    ids.RouteName("r-read"),
    harness.HOST,
    "/read/",
    routes.RouteKind.SAFE,
    (routes.WeightedService(SERVICE, 1.0),),
    4000.0,
    600.0,
    1,
    3,
    True,
    frozenset(),
)
# Three regions of equal capacity. The gateway's own region has two failure domains.
DOMAINS = {"hall-1": "north", "hall-2": "north", "hall-3": "south", "hall-4": "east"}
SERVERS = {"hall-1": 3, "hall-2": 3, "hall-3": 6, "hall-4": 6}


class EvacuationTest(testtools.TestCase):
    """Evacuation of a failure domain by the operator."""

    def setUp(self) -> None:
        super().setUp()
        checked = harness.replace_settings(harness.make_settings("127.0.0.1:1"), domains=DOMAINS)
        self.node = context.GatewayContext(checked, headers, documents, None, lambda: 10.0)
        for domain, count in SERVERS.items():
            for number in range(count):
                name = ids.BackendId(f"{domain}-{number}")
                server = backend.BackendServer(name, domain, SERVICE, ids.Address("h:1"), 8)
                entry = registration.Registration(
                    server, registration.RegistrationState.READY, 1, 1, 0.0
                )
                self.node.servers.merge(10.0, entry, store_rows.Position(0, 1))
        self.node.servers.mark_all_preexisting()
        self.node.refresh_servers()

    def find_first_domains(self) -> list[str]:
        """Returns the failure domain of the first home of each of 60 objects."""
        keys = [ids.ObjectKey(f"k{number}") for number in range(60)]
        candidate_lists = [self.node.list_candidates(SERVICE, key, ROUTE) for key in keys]
        return [candidates[0].view.server.domain for candidates in candidate_lists]

    def test_evacuated_servers_are_no_candidates(self) -> None:
        self.node.evacuate(frozenset({"hall-2"}))
        candidates = self.node.list_candidates(SERVICE, ids.ObjectKey("k"), ROUTE)
        self.assertEqual(15, len(candidates))
        self.node.evacuate(frozenset())
        self.assertEqual(18, len(self.node.list_candidates(SERVICE, ids.ObjectKey("k"), ROUTE)))

    def test_objects_leave_a_region_that_lost_half_of_its_capacity(self) -> None:
        """Pattern: half of a region is evacuated while its callers stay.

        Three of fifteen servers remain for a third of the load, so they serve three fifths of it.
        """
        far = {"hall-3", "hall-4"}
        far_count = sum(domain in far for domain in self.find_first_domains())
        self.assertTrue(far_count <= 6, f"got {far_count} of 60 far away")
        self.node.evacuate(frozenset({"hall-2"}))
        near_ratio = self.find_first_domains().count("hall-1") / 60
        self.assertTrue(0.4 <= near_ratio <= 0.8, f"got {near_ratio:.2f}, expected about 0.6")
