"""What an instance says of where its configuration came from."""

import testtools

from caperdyke.coordination.registry import provenance
from caperdyke.state import store_rows


class ProvenanceTest(testtools.TestCase):
    """The fields of a log line."""

    def test_nothing_is_known_at_the_start(self) -> None:
        found = provenance.Provenance().describe(10.0)
        ages = {name: found[name] for name in ("adopted_ms", "store_word_ms", "others_word_ms")}
        self.assertEqual(dict.fromkeys(ages, -1), ages)
        self.assertEqual([], found["calls_ms"])

    def test_ages_count_from_what_was_noted(self) -> None:
        known = provenance.Provenance(
            store_answered_at=8.0, announcement_received_at=9.5, calls=[9.0]
        )
        known.record_adoption(7.0, "10.0.0.1:7620", store_rows.Position(2, 5))
        self.assertEqual(
            {
                "source": "10.0.0.1:7620",
                "position": "2.5",
                "adopted_ms": 3000,
                "store_word_ms": 2000,
                "others_word_ms": 500,
                "calls_ms": [1000],
            },
            known.describe(10.0),
        )
