"""Executes a graceful shutdown, whose steps :class:`DrainController` decides."""

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

#: Maximum number of seconds for the failures of aborted requests to be written to their callers.
FAILURE_RESPONSES_SECONDS = 2.0


@dataclass(frozen=True)
class ShutdownActions:
    """Functions of other components that a graceful shutdown calls."""

    #: Tells other VMs that this VM is draining.
    announce_draining: Callable[[], None]

    #: Hands over the engine pools whose home VM (coordinator) this is to other VMs.
    hand_over: Callable[[], Awaitable[None]]

    #: Writes pending records to the log and releases leases.
    flush: Callable[[], Awaitable[None]]


class GracefulShutdown:
    """Passes events to the drain controller and executes the steps that it returns.

    Run :meth:`run` in a nursery; it returns once the process may exit. :meth:`start` starts the
    shutdown; a second call skips its waits.
    """

    def __init__(
        self, settings: DrainSettings, active: ActiveRequests, actions: ShutdownActions
    ) -> None:
        self._controller = DrainController(settings)
        self._active = active
        self._actions = actions
        self._events: list[DrainEvent] = []
        self._event_added = trio.Event()
        self._reason: Optional[str] = None
        self._clean: Optional[bool] = None
        self._last_running_count = 0

    @property
    def controller(self) -> DrainController:
        """The state machine that decides the steps."""
        return self._controller

    def start(self, reason: str) -> None:
        """Starts the graceful shutdown; a second call skips the waits for balancer and requests."""
        log_event("stop_requested", reason=reason, phase=self._controller.phase)
        self._reason = self._reason or reason
        self._add_event(StopRequested())

    def progress(self) -> object:
        """Returns the reason, phase and time limits of the shutdown, for operators."""
        return {"reason": self._reason, **self._controller.dump_state()}

    async def run(self) -> bool:
        """Waits for the end of a shutdown; returns whether it completed all its steps."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_active)
            while self._clean is None:
                await self._wait()
                for event in self._take_events():
                    self._perform(self._controller.on_event(event, trio.current_time()), nursery)
            nursery.cancel_scope.cancel()
        return bool(self._clean)

    def _add_event(self, event: DrainEvent) -> None:
        self._events.append(event)
        self._event_added.set()

    def _take_events(self) -> list[DrainEvent]:
        events, self._events = self._events, []
        return events or [TimePassed()]

    async def _wait(self) -> None:
        if self._events:
            return
        self._event_added = trio.Event()
        next_check_at = self._controller.next_check_at
        with trio.move_on_at(float("inf") if next_check_at is None else next_check_at):
            await self._event_added.wait()

    async def _watch_active(self) -> None:
        while True:
            if self._active.count != self._last_running_count:
                self._last_running_count = self._active.count
                self._add_event(RunningChanged(self._last_running_count))
            await self._active.wait_for_change()

    def _perform(self, steps: tuple[DrainStep, ...], nursery: trio.Nursery) -> None:
        for step in steps:
            log_event("stop_step", step=type(step).__name__, running=self._active.count)
            match step:
                case AnnounceLeaving():
                    self._actions.announce_draining()
                case RefuseNewRequests():
                    # Nothing to do: the gateway asks the controller for each request.
                    pass
                case CutRemaining(running):
                    log_event("stop_cuts_requests", level=LogLevel.ERROR, running=running)
                    self._active.cut_all()
                case HandOver(seconds):
                    nursery.start_soon(
                        self._run_action, self._actions.hand_over, seconds, HandoverDone()
                    )
                case Flush(seconds):
                    nursery.start_soon(self._run_action, self._flush, seconds, FlushDone())
                case Exit(clean):
                    self._clean = clean

    async def _flush(self) -> None:
        """Flushes once aborted requests have ended, as their ends add records."""
        with trio.move_on_after(FAILURE_RESPONSES_SECONDS):
            await self._active.wait_until_empty()
        await self._actions.flush()

    async def _run_action(
        self, action: Callable[[], Awaitable[None]], seconds: float, completed: DrainEvent
    ) -> None:
        """Runs one action; cancels it after ``seconds``, when the controller ends the phase."""
        with trio.move_on_after(seconds):
            await action()
            self._add_event(completed)


def drain_settings(settings: DrainingSettings) -> DrainSettings:
    """Returns the drain controller's settings from those of the settings file."""
    return DrainSettings(
        balancer_lag_seconds=settings.balancer_lag_seconds,
        finish_seconds=settings.drain_bound_seconds,
    )
