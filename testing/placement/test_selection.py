"""The backend server that is selected for a request under various loads."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import prewarming, processing_times, selection
from testing.placement import builders


def select(candidates, **requirements) -> str:
    """Returns the name of the selected server, or an empty string if none has capacity."""
    selected = selection.select_server(
        0.0, builders.make_requirements(**requirements), candidates, builders.TIMES
    )
    return selected.view.server.backend if isinstance(selected, selection.Placement) else ""


class SelectionTest(testtools.TestCase):
    """The selection for one request, depending on the state of the servers."""

    @parameterized.expand(
        [
            # Outstanding requests of the first home, the second home and another server; expected
            # server.
            ("idle: the first home", 0, 0, 0, "home-1"),
            ("first home full: the second", 6, 0, 0, "home-2"),
            ("both homes full, the service is not: a cold run", 10, 10, 0, "other"),
        ]
    )
    def test_home_is_selected_by_load(self, _name, first, second, third, expected) -> None:
        candidates = [
            builders.make_candidate("home-1", first, warm="k"),
            builders.make_candidate("home-2", second, warm="k"),
            builders.make_candidate("other", third),
            # Other servers with capacity keep the utilization of the service low.
            *(builders.make_candidate(f"idle-{number}", 4) for number in range(12)),
            builders.make_candidate("spare", 3, slots=64),
        ]
        self.assertEqual(expected, select(candidates))

    def test_overload_causes_no_cold_runs(self) -> None:
        """Pattern: all homes are full, and a cold run takes as long as three warm ones."""
        candidates = [
            builders.make_candidate("home-1", 9, warm="k"),
            builders.make_candidate("home-2", 9, warm="k"),
            *(builders.make_candidate(f"other-{number}", 3) for number in range(4)),
        ]
        self.assertEqual("", select(candidates))

    @parameterized.expand(
        [
            ("in time behind two others", 5, 0.5, "home-1"),
            ("late behind many others", 9, 0.5, ""),
            ("late, yet the objective is far", 8, 2.0, "home-1"),
        ]
    )
    def test_full_service_queues_only_requests_that_meet_the_objective(
        self, _name, outstanding, at, expected
    ) -> None:
        candidates = [builders.make_candidate("home-1", outstanding, warm="k")]
        self.assertEqual(expected, select(candidates, objective_at=at))

    def test_slow_processing_alone_refuses_no_request(self) -> None:
        """Pattern: a route was just added, with a short deadline and no measured times."""
        candidates = [builders.make_candidate("home-1")]
        self.assertEqual("home-1", select(candidates, key="", deadline=0.1, objective_at=0.05))

    def test_rounding_error_does_not_move_an_object(self) -> None:
        """Pattern: after one answer the warm and cold times are equal, so all costs are equal."""
        for elapsed_s in range(1, 400):
            times = processing_times.ProcessingTime(warm=0.3, cold=0.72, mean=0.3)
            times.update(False, elapsed_s / 30_011)
            candidates = [
                builders.make_candidate("home", warm="k"),
                builders.make_candidate("other"),
            ]
            selected = selection.select_server(0.0, builders.make_requirements(), candidates, times)
            self.assertEqual("home", selected.view.server.backend, f"{elapsed_s / 30_011} s")

    def test_joined_server_becomes_first_home(self) -> None:
        """Pattern: servers are added while the old ones are warm and have capacity."""
        candidates = [
            builders.make_candidate("joined"),
            builders.make_candidate("second"),
            builders.make_candidate("old", warm="k"),
        ]
        self.assertEqual("joined", select(candidates))

    @parameterized.expand([("idle", 0, "joined"), ("with half of its slots busy", 2, "joined")])
    def test_joined_server_ranks_before_the_former_first_home(
        self, _name, outstanding, expected
    ) -> None:
        """Pattern: a server joins in the only failure domain, so that both homes are in it."""
        candidates = [
            builders.make_candidate("joined"),
            builders.make_candidate("old", outstanding, warm="k"),
            builders.make_candidate("other", outstanding),
        ]
        self.assertEqual(expected, select(candidates))

    def test_large_answer_stays_in_the_failure_domain(self) -> None:
        candidates = [
            builders.make_candidate("far", is_near=False, warm="k"),
            builders.make_candidate("near", warm="k"),
        ]
        far_seconds = selection.compute_cross_domain_penalty(5_000_000, 20.0)
        self.assertEqual("near", select(candidates, far_seconds=far_seconds))

    def test_cold_run_is_not_preferred_to_a_cross_domain_answer(self) -> None:
        """Pattern: the near home is cold; the caller would wait for it to avoid the transfer."""
        candidates = [
            builders.make_candidate("far", is_near=False, warm="k"),
            builders.make_candidate("near"),
        ]
        far_seconds = selection.compute_cross_domain_penalty(5_000_000, 20.0)
        self.assertEqual("far", select(candidates, far_seconds=far_seconds))

    @parameterized.expand(
        [
            ("large answers, room", 5000, 0, False, "near"),
            ("small answers", 400, 0, False, ""),
            ("no room near", 5000, 2, False, ""),
            ("near home is warm", 5000, 0, True, ""),
        ]
    )
    def test_near_home_is_prewarmed(self, _name, size, outstanding, is_warm, expected) -> None:
        """Pattern: answers of 5 kB come from the sibling failure domain all day."""
        candidates = [
            builders.make_candidate("far", is_near=False, warm="k"),
            builders.make_candidate("near", outstanding, warm="k" if is_warm else ""),
            builders.make_candidate("third"),
        ]
        requirements = builders.make_requirements(
            far_seconds=selection.compute_cross_domain_penalty(size, 20.0)
        )
        selected = prewarming.select_near_home(0.0, requirements, candidates, builders.TIMES)
        self.assertEqual(expected, selected.view.server.backend if selected else "")

    def test_full_service_is_not_prewarmed(self) -> None:
        candidates = [
            builders.make_candidate("far", 4, is_near=False, warm="k"),
            builders.make_candidate("near"),
        ]
        requirements = builders.make_requirements(far_seconds=selection.CROSS_DOMAIN_PENALTY_MAX_S)
        self.assertIsNone(
            prewarming.select_near_home(0.0, requirements, candidates, builders.TIMES)
        )

    def test_tried_and_avoided_servers_are_not_selected(self) -> None:
        candidates = [builders.make_candidate(name, warm="k") for name in ("a", "b", "c")]
        candidates[1].view.avoided_until = 1.0
        self.assertEqual("c", select(candidates, tried=["a"]))

    def test_unresponsive_server_is_not_selected_and_adds_no_utilization(self) -> None:
        """Pattern: a server lost power, and requests pile up there; another one has capacity."""
        silent = builders.make_candidate("silent", 20, warm="k")
        silent.view.record_send(-2.0, due_at=-1.0)
        self.assertEqual("idle", select([silent, builders.make_candidate("idle")]))

    def test_no_servers_give_the_longest_retry_after(self) -> None:
        selected = selection.select_server(0.0, builders.make_requirements(), [], builders.TIMES)
        self.assertEqual(selection.NoCapacity(selection.RETRY_AFTER_MAX_S, True), selected)
