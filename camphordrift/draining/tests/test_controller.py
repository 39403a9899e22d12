"""Tests of the phases and time limits of a graceful shutdown."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.draining import (
    AnnounceLeaving,
    CutRemaining,
    DrainController,
    DrainEvent,
    DrainPhase,
    DrainSettings,
    Exit,
    Flush,
    FlushDone,
    HandOver,
    HandoverDone,
    RefuseNewRequests,
    RunningChanged,
    StopRequested,
    TimePassed,
)

SETTINGS = DrainSettings(10.0, 60.0, 5.0, 8.0)

EVENTS = st.one_of(
    st.builds(StopRequested),
    st.builds(RunningChanged, st.integers(0, 3)),
    st.builds(HandoverDone),
    st.builds(FlushDone),
    st.builds(TimePassed),
)


def draining_controller(running: int) -> DrainController:
    controller = DrainController(SETTINGS)
    controller.on_event(RunningChanged(running), 0.0)
    controller.on_event(StopRequested(), 0.0)
    return controller


class DrainControllerTest(testtools.TestCase):
    def test_returns_all_steps_in_order(self) -> None:
        controller = DrainController(SETTINGS)
        controller.on_event(RunningChanged(1), 0.0)
        table: tuple[tuple[DrainEvent, float, tuple[object, ...]], ...] = (
            (StopRequested(), 0.0, (AnnounceLeaving(),)),
            (TimePassed(), 9.9, ()),
            (TimePassed(), 10.0, (RefuseNewRequests(),)),
            (RunningChanged(0), 20.0, (HandOver(5.0),)),
            (HandoverDone(), 21.0, (Flush(8.0),)),
            (FlushDone(), 22.0, (Exit(clean=True),)),
        )
        for event, now, steps in table:
            self.assertEqual(steps, controller.on_event(event, now))

    def test_admits_requests_until_the_balancer_lag_has_passed(self) -> None:
        controller = draining_controller(0)
        self.assertFalse(controller.is_ready)
        self.assertTrue(controller.admits_requests)
        controller.on_event(TimePassed(), 10.0)
        self.assertFalse(controller.admits_requests)

    def test_aborts_requests_only_at_the_time_limit(self) -> None:
        controller = draining_controller(2)
        controller.on_event(TimePassed(), 10.0)
        self.assertEqual((), controller.on_event(TimePassed(), 69.9))
        steps = controller.on_event(TimePassed(), 70.0)
        self.assertEqual((CutRemaining(2), HandOver(5.0)), steps)

    def test_second_stop_request_skips_the_waits(self) -> None:
        controller = draining_controller(2)
        steps = controller.on_event(StopRequested(), 1.0)
        self.assertEqual((RefuseNewRequests(), CutRemaining(2), HandOver(5.0)), steps)
        self.assertEqual((Flush(8.0),), controller.on_event(HandoverDone(), 1.5))
        self.assertEqual((Exit(clean=False),), controller.on_event(FlushDone(), 2.0))

    def test_exits_immediately_when_called_after_the_time_limit(self) -> None:
        controller = draining_controller(0)
        steps = controller.on_event(TimePassed(), SETTINGS.exit_bound_seconds + 1)
        self.assertEqual(Exit(clean=False), steps[-1])

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(st.tuples(EVENTS, st.floats(0.0, 30.0)), max_size=30))
    def test_exits_once_and_within_the_time_limit(
        self, events: list[tuple[DrainEvent, float]]
    ) -> None:
        controller = draining_controller(1)
        now = 0.0
        steps: list[object] = []
        for event, elapsed in events:
            now += elapsed
            steps += controller.on_event(event, now)
        while controller.next_check_at is not None:
            now = max(now, controller.next_check_at)
            steps += controller.on_event(TimePassed(), now)
        exits = [step for step in steps if isinstance(step, Exit)]
        self.assertEqual(1, len(exits))
        self.assertEqual(DrainPhase.EXITED, controller.phase)
        waited = sum(elapsed for _, elapsed in events)
        self.assertTrue(now <= max(waited, SETTINGS.exit_bound_seconds) + 1e-6)
