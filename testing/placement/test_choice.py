"""Load patterns and the backend server that a request gets under them."""

import testtools
from parameterized import parameterized

from caperdyke.coordination.placement import processing_times, selection
from testing.placement import builders


def choose(candidates, **requirements) -> str:
    """Returns the chosen server's name, or an empty string where there is no room."""
    chosen = selection.select_server(
        0.0, builders.make_requirements(**requirements), candidates, builders.TIMES
    )
    return chosen.view.server.backend if isinstance(chosen, selection.Placement) else ""


class ChoiceTest(testtools.TestCase):
    """One request and the state of the servers."""

    @parameterized.expand(
        [
            # Busy requests of home 1, home 2 and a third server; expected choice.
            ("idle: the first home", 0, 0, 0, "home-1"),
            ("first home full: the second", 6, 0, 0, "home-2"),
            ("both homes full, the service is not: a cold run", 10, 10, 0, "other"),
        ]
    )
    def test_homes_by_load(self, _name, first, second, third, expected) -> None:
        candidates = [
            builders.make_candidate("home-1", first, warm="k"),
            builders.make_candidate("home-2", second, warm="k"),
            builders.make_candidate("other", third),
            # Servers with room elsewhere keep the pressure of the service low.
            *(builders.make_candidate(f"idle-{number}", 4) for number in range(12)),
            builders.make_candidate("spare", 3, slots=64),
        ]
        self.assertEqual(expected, choose(candidates))

    def test_overload_does_not_spread_objects(self) -> None:
        """Pattern: all homes full; a cold run would take the slots of three warm ones."""
        candidates = [
            builders.make_candidate("home-1", 9, warm="k"),
            builders.make_candidate("home-2", 9, warm="k"),
            *(builders.make_candidate(f"other-{number}", 3) for number in range(4)),
        ]
        self.assertEqual("", choose(candidates))

    @parameterized.expand(
        [
            ("in time behind two others", 5, 0.5, "home-1"),
            ("late behind many others", 9, 0.5, ""),
            ("late, yet the objective is far", 8, 2.0, "home-1"),
        ]
    )
    def test_full_service_serves_in_time_or_not_at_all(
        self, _name, outstanding, at, expected
    ) -> None:
        candidates = [builders.make_candidate("home-1", outstanding, warm="k")]
        self.assertEqual(expected, choose(candidates, objective_at=at))

    def test_slow_work_alone_turns_nothing_away(self) -> None:
        """Pattern: a route that was just added, with a short wait and no known time."""
        candidates = [builders.make_candidate("home-1")]
        self.assertEqual("home-1", choose(candidates, key="", deadline=0.1, objective_at=0.05))

    def test_rounding_does_not_move_an_object(self) -> None:
        """Pattern: after one answer the warm and cold times are equal, so servers cost the same."""
        for elapsed_s in range(1, 400):
            times = processing_times.ProcessingTime(warm=0.3, cold=0.72, mean=0.3)
            times.update(False, elapsed_s / 30_011)
            candidates = [
                builders.make_candidate("home", warm="k"),
                builders.make_candidate("other"),
            ]
            chosen = selection.select_server(0.0, builders.make_requirements(), candidates, times)
            self.assertEqual("home", chosen.view.server.backend, f"{elapsed_s / 30_011} s")

    def test_server_that_joined_gets_its_objects(self) -> None:
        """Pattern: servers are added while the old ones are warm and have room."""
        candidates = [
            builders.make_candidate("joined"),
            builders.make_candidate("second"),
            builders.make_candidate("old", warm="k"),
        ]
        self.assertEqual("joined", choose(candidates))

    @parameterized.expand([("idle", 0, "joined"), ("with half of its slots busy", 2, "joined")])
    def test_server_that_joined_goes_before_the_former_first_home(
        self, _name, outstanding, expected
    ) -> None:
        """Pattern: a server joins in the only failure domain, where both homes stand together."""
        candidates = [
            builders.make_candidate("joined"),
            builders.make_candidate("old", outstanding, warm="k"),
            builders.make_candidate("other", outstanding),
        ]
        self.assertEqual(expected, choose(candidates))

    def test_download_stays_near(self) -> None:
        candidates = [
            builders.make_candidate("far", is_near=False, warm="k"),
            builders.make_candidate("near", warm="k"),
        ]
        far_seconds = selection.compute_cross_domain_penalty(5_000_000, 20.0)
        self.assertEqual("near", choose(candidates, far_seconds=far_seconds))

    def test_bytes_are_not_spared_by_a_cold_run(self) -> None:
        """Pattern: the near home has not had the object; its caller would wait for the bytes."""
        candidates = [
            builders.make_candidate("far", is_near=False, warm="k"),
            builders.make_candidate("near"),
        ]
        far_seconds = selection.compute_cross_domain_penalty(5_000_000, 20.0)
        self.assertEqual("far", choose(candidates, far_seconds=far_seconds))

    @parameterized.expand(
        [
            ("large answers, room", 5000, 0, False, "near"),
            ("small answers", 400, 0, False, ""),
            ("no room near", 5000, 2, False, ""),
            ("near home is warm", 5000, 0, True, ""),
        ]
    )
    def test_copy_warms_the_near_home(self, _name, size, outstanding, is_warm, expected) -> None:
        """Pattern: answers of 5 kB come from the sibling failure domain all day."""
        candidates = [
            builders.make_candidate("far", is_near=False, warm="k"),
            builders.make_candidate("near", outstanding, warm="k" if is_warm else ""),
            builders.make_candidate("third"),
        ]
        requirements = builders.make_requirements(
            far_seconds=selection.compute_cross_domain_penalty(size, 20.0)
        )
        chosen = selection.select_near_home(0.0, requirements, candidates, builders.TIMES)
        self.assertEqual(expected, chosen.view.server.backend if chosen else "")

    def test_no_copies_in_a_full_service(self) -> None:
        candidates = [
            builders.make_candidate("far", 4, is_near=False, warm="k"),
            builders.make_candidate("near"),
        ]
        requirements = builders.make_requirements(far_seconds=selection.CROSS_DOMAIN_PENALTY_MAX_S)
        self.assertIsNone(selection.select_near_home(0.0, requirements, candidates, builders.TIMES))

    def test_tried_and_avoided_servers_are_left_out(self) -> None:
        candidates = [builders.make_candidate(name, warm="k") for name in ("a", "b", "c")]
        candidates[1].view.avoided_until = 1.0
        self.assertEqual("c", choose(candidates, tried=["a"]))

    def test_silent_server_is_left_out_and_takes_no_room(self) -> None:
        """Pattern: a server lost power, and requests pile up there; the other one has room."""
        silent = builders.make_candidate("silent", 20, warm="k")
        silent.view.record_send(-2.0, due_at=-1.0)
        self.assertEqual("idle", choose([silent, builders.make_candidate("idle")]))

    def test_without_servers_the_caller_is_told_when_to_return(self) -> None:
        chosen = selection.select_server(0.0, builders.make_requirements(), [], builders.TIMES)
        self.assertEqual(selection.NoCapacity(selection.RETRY_AFTER_MAX_S, True), chosen)
