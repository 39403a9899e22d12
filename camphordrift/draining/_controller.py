"""Decides the steps of a planned stop."""

from typing import Any, Optional

from camphordrift.draining._phases import (
    AnnounceLeaving,
    CutRemaining,
    DrainEvent,
    DrainPhase,
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
from camphordrift.draining._settings import DrainSettings


class DrainController:
    """A state machine that ends with the process, within ``DrainSettings.exit_bound_seconds``.

    The shell hands in events, does the steps that come back, and calls again with ``TimePassed``
    at ``next_check_at``. A second stop request skips the wait for the balancer and for requests
    that still run; those are then cut, each with an explicit failure.

    Example::

        for step in controller.on_event(StopRequested(), now):
            perform(step)
    """

    def __init__(self, settings: DrainSettings) -> None:
        self._settings = settings
        self._phase = DrainPhase.SERVING
        self._phase_ends_at: Optional[float] = None
        self._running = 0
        self._clean = True
        self._started_at: Optional[float] = None
        self._hurried = False

    @property
    def phase(self) -> DrainPhase:
        """Where the stop stands."""
        return self._phase

    @property
    def is_ready(self) -> bool:
        """What the readiness check answers."""
        return self._phase is DrainPhase.SERVING

    @property
    def admits_requests(self) -> bool:
        """Whether new requests are taken: also while the balancer may not have noticed yet."""
        return self._phase in (DrainPhase.SERVING, DrainPhase.UNREADY)

    @property
    def is_leaving(self) -> bool:
        """Whether peers should choose other VMs."""
        return self._phase is not DrainPhase.SERVING

    @property
    def next_check_at(self) -> Optional[float]:
        """When to call with ``TimePassed``; ``None`` if nothing is timed."""
        return self._phase_ends_at

    def on_event(self, event: DrainEvent, now: float) -> tuple[DrainStep, ...]:
        """Returns the steps to do now, in order."""
        steps = self._take(event, now)
        while (more := self._advance(now)) is not None:
            steps += more
        self._check_invariants()
        return steps

    def dump_state(self) -> dict[str, Any]:
        """Returns what an operator wants to see."""
        return {
            "phase": self._phase.value,
            "running_requests": self._running,
            "hurried": self._hurried,
            "clean": self._clean,
            "phase_ends_at": self._phase_ends_at,
        }

    def _take(self, event: DrainEvent, now: float) -> tuple[DrainStep, ...]:
        match event:
            case StopRequested() if self._phase is DrainPhase.SERVING:
                self._started_at = now
                self._enter(DrainPhase.UNREADY, now)
                return (AnnounceLeaving(),)
            case StopRequested():
                self._hurried = True
            case RunningChanged(running):
                if running < 0:
                    raise ValueError("the number of running requests cannot be negative")
                self._running = running
            case HandoverDone() if self._phase is DrainPhase.HANDING_OVER:
                return self._start_flush(now)
            case FlushDone() if self._phase is DrainPhase.FLUSHING:
                return self._exit()
            case HandoverDone() | FlushDone() | TimePassed():
                pass
        return ()

    def _advance(self, now: float) -> Optional[tuple[DrainStep, ...]]:
        """Goes one phase on if its condition or its time is reached."""
        timed_out = self._phase_ends_at is not None and now >= self._phase_ends_at
        match self._phase:
            case DrainPhase.UNREADY if timed_out or self._hurried:
                self._enter(DrainPhase.FINISHING, now)
                return (RefuseNewRequests(),)
            case DrainPhase.FINISHING if self._running == 0 or timed_out or self._hurried:
                return self._start_handover(now)
            case DrainPhase.HANDING_OVER if timed_out:
                self._clean = False
                return self._start_flush(now)
            case DrainPhase.FLUSHING if timed_out:
                self._clean = False
                return self._exit()
        return None

    def _start_handover(self, now: float) -> tuple[DrainStep, ...]:
        seconds = self._enter(DrainPhase.HANDING_OVER, now)
        if self._running == 0:
            return (HandOver(seconds),)
        self._clean = False
        return (CutRemaining(self._running), HandOver(seconds))

    def _start_flush(self, now: float) -> tuple[DrainStep, ...]:
        return (Flush(self._enter(DrainPhase.FLUSHING, now)),)

    def _exit(self) -> tuple[DrainStep, ...]:
        self._phase = DrainPhase.EXITED
        self._phase_ends_at = None
        return (Exit(self._clean),)

    def _enter(self, phase: DrainPhase, now: float) -> float:
        """Starts a timed phase; returns how long it may take, in seconds."""
        started_at = now if self._started_at is None else self._started_at
        latest = started_at + self._settings.latest_end_after_start(phase)
        self._phase = phase
        self._phase_ends_at = min(now + self._settings.duration(phase), latest)
        return max(0.0, self._phase_ends_at - now)

    def _check_invariants(self) -> None:
        timed = self._phase not in (DrainPhase.SERVING, DrainPhase.EXITED)
        assert timed == (self._phase_ends_at is not None), "a phase of a stop has no end"
        if self._phase_ends_at is not None and self._started_at is not None:
            bound = self._started_at + self._settings.exit_bound_seconds
            assert self._phase_ends_at <= bound + 1e-6, "a phase ends after the bound"
