"""Source and age of the active configuration in log lines."""

import testtools

from caperdyke.coordination.registry import provenance
from caperdyke.state import store_rows


class ProvenanceTest(testtools.TestCase):
    """The fields of a log line."""

    def test_ages_are_missing_at_the_start(self) -> None:
        fields = provenance.Provenance().describe(10.0)
        ages = {name: fields[name] for name in ("adopted_ms", "store_word_ms", "others_word_ms")}
        self.assertEqual(dict.fromkeys(ages, -1), ages)
        self.assertEqual([], fields["calls_ms"])

    def test_ages_count_from_recorded_times(self) -> None:
        recorded = provenance.Provenance(
            store_answered_at=8.0, announcement_received_at=9.5, calls=[9.0]
        )
        recorded.record_adoption(7.0, "10.0.0.1:7620", store_rows.Position(2, 5))
        self.assertEqual(
            {
                "source": "10.0.0.1:7620",
                "position": "2.5",
                "adopted_ms": 3000,
                "store_word_ms": 2000,
                "others_word_ms": 500,
                "calls_ms": [1000],
            },
            recorded.describe(10.0),
        )


class ConfirmationTest(testtools.TestCase):
    """How long the configuration counts as confirmed."""

    def test_never_confirmed(self) -> None:
        self.assertFalse(provenance.Provenance().is_confirmed(0.0, 5.0))

    def test_age_counts_from_the_start_of_the_call(self) -> None:
        """Guards against an answer that was on its way for long and counts as new."""
        recorded = provenance.Provenance()
        recorded.record_confirmation(10.0)
        self.assertEqual([True, False], [recorded.is_confirmed(now, 5.0) for now in (15.0, 15.01)])

    def test_call_that_started_earlier_does_not_take_a_confirmation_back(self) -> None:
        recorded = provenance.Provenance()
        for started_at in (10.0, 8.0):
            recorded.record_confirmation(started_at)
        self.assertTrue(recorded.is_confirmed(15.0, 5.0))
