"""Carries out a planned stop of the process."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.draining import (
    AnnounceLeaving,
    CutRemaining,
    DrainController,
    DrainEvent,
    DrainSettings,
    DrainStep,
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
from camphordrift.gateway import ActiveRequests
from camphordrift.settings import DrainingSettings
from camphordrift.telemetry import LogLevel, log_event


@dataclass(frozen=True)
class StopActions:
    """What the steps of a stop do."""

    #: Tells peers that this VM is leaving.
    announce_leaving: Callable[[], None]

    #: Hands on what this VM is home to.
    hand_over: Callable[[], Awaitable[None]]

    #: Writes what still has to go to the log, and releases holds.
    flush: Callable[[], Awaitable[None]]


class PlannedStop:
    """Runs the drain controller's steps.

    Run :meth:`run` in a nursery; it returns once the process may exit. :meth:`start` asks for the
    stop; calling it again hurries it.
    """

    def __init__(
        self, settings: DrainSettings, active: ActiveRequests, actions: StopActions
    ) -> None:
        self._controller = DrainController(settings)
        self._active = active
        self._actions = actions
        self._events: list[DrainEvent] = []
        self._poked = trio.Event()
        self._reason: Optional[str] = None
        self._clean: Optional[bool] = None
        self._running_known = 0

    @property
    def controller(self) -> DrainController:
        """The state machine."""
        return self._controller

    def start(self, reason: str) -> None:
        """Starts the graceful shutdown; a second call hurries it."""
        log_event("stop_requested", reason=reason, phase=self._controller.phase)
        self._reason = self._reason or reason
        self._add(StopRequested())

    def progress(self) -> object:
        """Returns how far the stop is."""
        return {"reason": self._reason, **self._controller.dump_state()}

    async def run(self) -> bool:
        """Returns whether every step was completed within its time."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_active)
            while self._clean is None:
                await self._wait()
                for event in self._take_events():
                    self._perform(self._controller.on_event(event, trio.current_time()), nursery)
            nursery.cancel_scope.cancel()
        return bool(self._clean)

    def _add(self, event: DrainEvent) -> None:
        self._events.append(event)
        self._poked.set()

    def _take_events(self) -> list[DrainEvent]:
        events, self._events = self._events, []
        return events or [TimePassed()]

    async def _wait(self) -> None:
        if self._events:
            return
        self._poked = trio.Event()
        next_check_at = self._controller.next_check_at
        with trio.move_on_at(float("inf") if next_check_at is None else next_check_at):
            await self._poked.wait()

    async def _watch_active(self) -> None:
        while True:
            if self._active.count != self._running_known:
                self._running_known = self._active.count
                self._add(RunningChanged(self._running_known))
            await self._active.wait_for_change()

    def _perform(self, steps: tuple[DrainStep, ...], nursery: trio.Nursery) -> None:
        for step in steps:
            log_event("stop_step", step=type(step).__name__, running=self._active.count)
            match step:
                case AnnounceLeaving():
                    self._actions.announce_leaving()
                case RefuseNewRequests():
                    # The gateway asks the controller whether requests are admitted.
                    pass
                case CutRemaining(running):
                    log_event("stop_cuts_requests", level=LogLevel.ERROR, running=running)
                case HandOver(seconds):
                    nursery.start_soon(self._act, self._actions.hand_over, seconds, HandoverDone())
                case Flush(seconds):
                    nursery.start_soon(self._act, self._actions.flush, seconds, FlushDone())
                case Exit(clean):
                    self._clean = clean

    async def _act(
        self, action: Callable[[], Awaitable[None]], seconds: float, done: DrainEvent
    ) -> None:
        """Runs one action within its time; the controller goes on by itself if it takes longer."""
        with trio.move_on_after(seconds):
            await action()
            self._add(done)


def drain_settings(settings: DrainingSettings) -> DrainSettings:
    """Returns the bounds of a stop as the settings file gives them."""
    return DrainSettings(
        balancer_lag_seconds=settings.balancer_lag_seconds,
        finish_seconds=settings.drain_bound_seconds,
    )
