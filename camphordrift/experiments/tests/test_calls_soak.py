"""Runs two seeds of the soak test of calls; ``camphordrift soak calls`` runs many."""

import testtools

from camphordrift.experiments._calls_soak import SoakPlan, run_calls_soak


class CallsSoakTest(testtools.TestCase):
    def test_invariants_hold_in_short_runs(self) -> None:
        for seed in range(2):
            report = run_calls_soak(seed, SoakPlan(duration_seconds=30.0, call_count=30))
            self.assertTrue(report.calls_run > 0, str(report))
            self.assertTrue(report.copies_repeated + report.copies_unknown > 0, str(report))
