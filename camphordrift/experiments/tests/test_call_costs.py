"""Tests of the measurement of what the replay of claim records costs."""

import testtools

from camphordrift.experiments._call_costs import measure_replay


class ReplayCostsTest(testtools.TestCase):
    def test_memory_grows_with_the_number_of_keys(self) -> None:
        few, many = measure_replay(20), measure_replay(200)
        self.assertEqual((20, 40), (few.keys, few.records))
        self.assertTrue(many.ledger_bytes > few.ledger_bytes)
