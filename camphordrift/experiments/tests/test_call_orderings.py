"""Tests of the comparison of orderings, among them that it detects unsafe orderings."""

import testtools

from camphordrift.experiments._call_orderings import (
    Ordering,
    OrderingFigures,
    OrderingLoad,
    compare_orderings,
)


def _figures_by_ordering(seed: int) -> dict[Ordering, OrderingFigures]:
    load = OrderingLoad(call_count=80, calls_per_second=80.0)
    return {figures.ordering: figures for figures in compare_orderings(seed, load)}


class CallOrderingsTest(testtools.TestCase):
    def test_only_claim_first_never_runs_a_call_twice(self) -> None:
        for seed in range(2):
            figures = _figures_by_ordering(seed)
            self.assertEqual(0, figures[Ordering.CLAIM_FIRST].calls_run_twice)
            self.assertEqual(0, figures[Ordering.CLAIM_FIRST].calls_not_run)
            self.assertTrue(figures[Ordering.CHECK_THEN_WRITE].calls_run_twice > 0)
            self.assertTrue(figures[Ordering.COMPENSATE].calls_twice_in_force > 0)

    def test_the_same_seed_gives_the_same_figures(self) -> None:
        load = OrderingLoad(call_count=40, calls_per_second=80.0)
        self.assertEqual(compare_orderings(1, load), compare_orderings(1, load))
