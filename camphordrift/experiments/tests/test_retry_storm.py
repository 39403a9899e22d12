"""Tests of the load of retries on a service during and after an outage."""

import testtools

from camphordrift.experiments._retry_storm import StormPolicy, run_storm


class RetryStormTest(testtools.TestCase):
    def test_budget_bounds_the_load_and_lets_the_service_recover(self) -> None:
        report = run_storm(StormPolicy.BUDGET, 1, drops_abandoned=True)
        self.assertTrue(report.outage_multiplication < 1.2, report)
        self.assertTrue(report.recovery_seconds is not None, report)
        self.assertTrue((report.recovery_seconds or 0) <= 10, report)

    def test_without_a_budget_the_load_multiplies(self) -> None:
        report = run_storm(StormPolicy.BACKOFF, 1, drops_abandoned=True)
        self.assertTrue(report.outage_multiplication > 3, report)

    def test_breaker_relieves_a_service_that_processes_abandoned_requests(self) -> None:
        report = run_storm(StormPolicy.BREAKER, 1, drops_abandoned=False)
        self.assertTrue(report.outage_multiplication < 0.2, report)
        self.assertTrue(report.recovery_seconds is not None, report)
