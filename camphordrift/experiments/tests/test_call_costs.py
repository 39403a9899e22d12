"""Tests of the measurement of what the fold of claims costs."""

import testtools

from camphordrift.experiments._call_costs import measure_fold


class FoldCostsTest(testtools.TestCase):
    def test_memory_grows_with_the_keys(self) -> None:
        few, many = measure_fold(20), measure_fold(200)
        self.assertEqual((20, 40), (few.keys, few.records))
        self.assertTrue(many.ledger_bytes > few.ledger_bytes)
