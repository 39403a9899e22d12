"""Tests of the measurement of the configuration against the time that is promised."""

import testtools

from camphordrift.experiments._configuration_measure import (
    append_figures,
    propagation_seconds,
    seconds_after_outage,
)
from camphordrift.experiments._configuration_soak import IN_FORCE_WITHIN_SECONDS


class ConfigurationMeasureTest(testtools.TestCase):
    def test_a_record_is_in_force_on_seven_vms_in_time(self) -> None:
        self.assertTrue(max(propagation_seconds(7, 1, trials=10)) <= IN_FORCE_WITHIN_SECONDS)

    def test_a_record_that_waited_for_the_log_is_in_force_in_time_after_an_outage(self) -> None:
        self.assertTrue(max(seconds_after_outage(7, 30.0, 1, trials=6)) <= IN_FORCE_WITHIN_SECONDS)

    def test_batches_carry_what_single_appends_cannot(self) -> None:
        single, _, _, single_lost = append_figures(100, 1, 1, 12.0)
        batched, _, _, batched_lost = append_figures(100, 500, 1, 12.0)
        self.assertTrue(batched <= 41.0 and single <= 41.0)
        self.assertEqual(0.0, batched_lost)
        self.assertTrue(single_lost > 0.4)
