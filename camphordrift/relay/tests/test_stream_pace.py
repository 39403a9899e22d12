"""Tests of the pace of streams."""

import testtools

from camphordrift.relay.scheduling import StreamPace


class StreamPaceTest(testtools.TestCase):
    def test_a_stream_on_an_engine_that_turned_slow_misses_its_deadline(self) -> None:
        pace = StreamPace(33)
        for _ in range(5):
            pace.record_gap(0.06, 1)
        self.assertFalse(pace.misses_deadline(9.5))
        for _ in range(4):
            pace.record_gap(0.6, 1)
        self.assertTrue(pace.misses_deadline(9.0))

    def test_a_slow_stream_that_is_complete_in_time_is_left_alone(self) -> None:
        pace = StreamPace(33)
        for _ in range(20):
            pace.record_gap(0.3, 1)
        self.assertFalse(pace.misses_deadline(4.0))

    def test_prefill_beside_the_stream_is_not_its_pace(self) -> None:
        pace = StreamPace(33)
        for gap in (0.06, 1.0, 1.0, 1.0):
            pace.record_gap(gap, 1)
        self.assertFalse(pace.misses_deadline(5.0))

    def test_events_that_arrive_together_share_their_gap(self) -> None:
        # Guards against streams that are resumed elsewhere because the VM itself is busy.
        pace = StreamPace(33)
        for _ in range(4):
            pace.record_gap(0.6, 4)
        self.assertFalse(pace.misses_deadline(5.0))

    def test_nothing_is_known_of_a_stream_that_has_just_begun(self) -> None:
        pace = StreamPace(33)
        for _ in range(3):
            pace.record_gap(2.0, 1)
        self.assertFalse(pace.misses_deadline(1.0))

    def test_a_stream_that_is_longer_than_expected_is_left_alone(self) -> None:
        pace = StreamPace(2)
        for _ in range(8):
            pace.record_gap(1.0, 1)
        self.assertFalse(pace.misses_deadline(1.0))
