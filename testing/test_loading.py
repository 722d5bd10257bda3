"""The load generator: reproducible arrival times, percentiles and the table of results."""

import dataclasses

import parameterized
import testtools

from caperdyke.loading import arrivals, results, scenario

STREAM = scenario.Stream(
    "browse", "c", "s", 100, 100, "GET", "/", "10.1.0.1", 0, (), 0, 10_000, 1000
)


class ArrivalsTest(testtools.TestCase):
    """Arrival times of open-loop streams."""

    def test_same_seed_gives_the_same_arrivals(self) -> None:
        first = list(arrivals.generate_arrivals(STREAM, 7))
        self.assertEqual(first, list(arrivals.generate_arrivals(STREAM, 7)))
        self.assertNotEqual(first, list(arrivals.generate_arrivals(STREAM, 8)))

    def test_streams_do_not_share_arrivals(self) -> None:
        other = dataclasses.replace(STREAM, name="other")
        first = list(arrivals.generate_arrivals(STREAM, 7))
        self.assertNotEqual(first, list(arrivals.generate_arrivals(other, 7)))

    def test_rate_and_bounds(self) -> None:
        late = dataclasses.replace(STREAM, starts_at_ms=5000)
        arrival_times = list(arrivals.generate_arrivals(late, 7))
        self.assertTrue(all(5.0 <= moment < 10.0 for moment in arrival_times))
        self.assertTrue(
            400 <= len(arrival_times) <= 600, f"{len(arrival_times)} arrivals, expected about 500"
        )

    def test_growing_rate(self) -> None:
        growing = dataclasses.replace(STREAM, rate=10, rate_end=190)
        arrival_times = list(arrivals.generate_arrivals(growing, 7))
        early_arrivals = sum(1 for moment in arrival_times if moment < 5.0)
        self.assertGreater(len(arrival_times) - early_arrivals, 2 * early_arrivals)

    def test_silent_stream(self) -> None:
        silent = dataclasses.replace(STREAM, rate=0, rate_end=0)
        self.assertEqual([], list(arrivals.generate_arrivals(silent, 7)))


class ResultsTest(testtools.TestCase):
    """Nearest-rank percentiles, which are always observed values, and the table of results."""

    @parameterized.parameterized.expand(
        [
            ("empty", [], 50, None),
            ("one", [3.0], 99, 3.0),
            ("median", [4.0, 1.0, 3.0, 2.0], 50, 2.0),
            ("p99_of_100", [float(n) for n in range(1, 101)], 99, 99.0),
            ("p100", [1.0, 2.0], 100, 2.0),
        ]
    )
    def test_percentile(self, _name, values, percent, expected) -> None:
        self.assertEqual(expected, results.compute_percentile(values, percent))

    def test_table_has_a_row_for_each_stream(self) -> None:
        summary = results.StreamResult("browse", "gallery", "reader").summarize()
        self.assertIn("gallery/browse", results.format_table([summary]))
