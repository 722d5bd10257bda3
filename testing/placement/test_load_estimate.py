"""Estimated requests at a server between its reports."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import load_estimate, server_view
from caperdyke.state import header_fields, ids
from testing.placement import builders


def make_load(running: int, pace: float | None = 1.0) -> header_fields.ServerLoad:
    """Returns a report of a server with 4 slots."""
    return header_fields.ServerLoad(running, 0, 4, pace)


def make_views(
    usual: int, pace: float | None = 1.0, is_requested: bool = False
) -> list[server_view.ServerView]:
    """Returns views of two servers; the second one reports its usual load until time 10."""
    service = load_estimate.ServiceLoad(is_requested)
    service.announced_per_slot = usual / 4
    views = [
        server_view.ServerView(builders.make_server(name), service_load=service) for name in "ab"
    ]
    for number in range(100):
        views[1].record_load_report(number / 10, make_load(usual, pace))
    return views


class LoadEstimateTest(testtools.TestCase):
    """Pattern: one of many instances gets a report of a given server every few seconds.

    Guards against instances that all send to a server that was idle seconds ago.
    """

    @parameterized.expand([(0.0, 0.0), (0.25, 0.632), (0.5, 0.865), (5.0, 1.0)])
    def test_old_report_approaches_the_usual_load(self, age, expected) -> None:
        view = make_views(2)[0]
        view.record_load_report(10.0, make_load(0))
        usual = view.service_load.estimate_others(10.0 + age, view.server)
        self.assertTrue(0.8 < usual <= 2.0, usual)
        self.assertAlmostEqual(expected, view.estimate_outstanding(10.0 + age) / usual, 3)

    def test_busiest_server_does_not_dominate_the_usual_load(self) -> None:
        """Pattern: nine of ten reports come from the busiest server.

        Guards against instances that take a service for full because its busiest server is.
        """
        service = load_estimate.ServiceLoad()
        views = [
            server_view.ServerView(builders.make_server(name), service_load=service)
            for name in "abc"
        ]
        for number in range(100):
            busy = 0 if number % 10 else 1
            views[busy].record_load_report(number / 10, make_load(0 if busy else 6))
        self.assertTrue(views[2].estimate_outstanding(10.0) < 3.5)

    def test_service_that_seemed_full_is_used_again(self) -> None:
        """Pattern: the only reports of an instance came from full servers, just after a start.

        Guards against an instance that rejects every request and so gets no further report.
        """
        views = make_views(0)
        for view in views:
            view.record_load_report(10.0, make_load(12))
        self.assertTrue(views[0].estimate_outstanding(20.0) < 3.0)

    def test_own_requests_count_in_full(self) -> None:
        view = make_views(2)[0]
        view.record_load_report(10.0, make_load(1))
        before = view.estimate_outstanding(10.1)
        view.record_send(10.1)
        self.assertAlmostEqual(before + 1, view.estimate_outstanding(10.1))

    def test_announced_load_is_not_used(self) -> None:
        """Pattern: an announcement is seconds old and says that a server is idle, or full."""
        view = make_views(2)[0]
        view.record_load_report(10.0, make_load(1))
        before = view.estimate_outstanding(11.0)
        for announced in (0, 40):
            view.record_remote_load(11.0, announced)
            self.assertEqual(before, view.estimate_outstanding(11.0))

    def test_server_without_a_report_has_the_usual_load(self) -> None:
        self.assertAlmostEqual(3.0, make_views(3)[0].estimate_outstanding(10.0))

    def test_only_instance_estimates_no_others(self) -> None:
        """Guards against an idle server that counts as busy by this instance's own requests."""
        service = load_estimate.ServiceLoad()
        view = server_view.ServerView(builders.make_server("a"), service_load=service)
        for number in range(50):
            pending = view.record_send(float(number))
            view.record_load_report(number + 0.2, make_load(1))
            view.record_end(pending)
        self.assertEqual(0.0, view.estimate_outstanding(60.0))

    @parameterized.expand([("no pace", False, 7), ("no pace, but by the settings", True, 2)])
    def test_announced_load_is_used_as_before_without_a_pace(self, _name, asked, expected) -> None:
        """Guards against another estimate in deployments that do not ask for it."""
        view = make_views(2, None, asked)[0]
        view.record_remote_load(10.0, 7)
        self.assertAlmostEqual(expected, view.estimate_outstanding(10.0))

    def test_setting_applies_to_known_services(self) -> None:
        loads = load_estimate.ServiceLoads()
        service = loads.find(ids.ServiceName("reader"))
        loads.apply_setting(True)
        self.assertTrue(service.is_requested)

    def test_uncertainty_grows_with_the_age_of_the_report(self) -> None:
        view, other = make_views(2)
        for number in range(50):
            other.record_load_report(3.0 + number, make_load(4 * (number % 2)))
        view.record_load_report(60.0, make_load(0))
        self.assertEqual(0.0, view.estimate_load_uncertainty(60.0))
        self.assertTrue(1.0 < view.estimate_load_uncertainty(62.0) < 2.5)
