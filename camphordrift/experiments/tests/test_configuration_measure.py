"""Tests that records are applied within the documented time, as measured in virtual time."""

import testtools

from camphordrift.experiments._configuration_measure import (
    append_figures,
    propagation_seconds,
    seconds_after_outage,
)
from camphordrift.experiments._configuration_soak import APPLIED_WITHIN_SECONDS


class ConfigurationMeasureTest(testtools.TestCase):
    def test_seven_vms_apply_a_record_in_time(self) -> None:
        self.assertTrue(max(propagation_seconds(7, 1, trials=10)) <= APPLIED_WITHIN_SECONDS)

    def test_record_published_during_an_outage_is_applied_in_time_after_it(self) -> None:
        self.assertTrue(max(seconds_after_outage(7, 30.0, 1, trials=6)) <= APPLIED_WITHIN_SECONDS)

    def test_batches_sustain_a_rate_that_single_appends_cannot(self) -> None:
        single, _, _, single_failed = append_figures(100, 1, 1, 12.0)
        batched, _, _, batched_failed = append_figures(100, 500, 1, 12.0)
        self.assertTrue(batched <= 41.0 and single <= 41.0)
        self.assertEqual(0.0, batched_failed)
        self.assertTrue(single_failed > 0.4)
