"""Tests of strategies to share limits among VMs, under changing demand and under faults."""

import testtools

from camphordrift.experiments._limits_comparison import (
    LimitsRun,
    SharingStrategy,
    measure_faults,
    measure_strategy,
)


class LimitsComparisonTest(testtools.TestCase):
    def test_unused_share_moves_within_seconds(self) -> None:
        report = measure_strategy(SharingStrategy.HOME, 7, seed=1)
        self.assertTrue(report.utilization > 0.9, report)
        self.assertTrue(report.worst_second < 1.2, report)
        self.assertTrue(report.move_seconds is not None, report)
        self.assertTrue((report.move_seconds or 0) < 10.0, report)

    def test_overshoot_is_bounded_under_faults(self) -> None:
        for seed in (1, 2):
            report = measure_faults(7, seed)
            self.assertEqual(0.0, report.starved_seconds)

    def test_check_detects_limits_without_sharing(self) -> None:
        run = LimitsRun(SharingStrategy.UNSHARED, 7, seed=1)
        run.run(10.0, dict.fromkeys(run.vms, 100.0))
        self.assertRaises(AssertionError, run.check_bound, 1.0, 5.0, 0.0, 10.0)
