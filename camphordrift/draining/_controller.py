"""The state machine that decides the steps of a graceful shutdown."""

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
    """Decides the steps of a shutdown, which takes at most ``DrainSettings.exit_bound_seconds``.

    The caller passes events to :meth:`on_event`, among them ``TimePassed`` at ``next_check_at``,
    and performs the returned steps. A second stop request skips the waits for the load balancer and
    for running requests; these requests are then aborted, each with an explicit failure.

    Example::

        for step in controller.on_event(StopRequested(), now):
            perform(step)
    """

    def __init__(self, settings: DrainSettings) -> None:
        self._settings = settings
        self._phase = DrainPhase.SERVING
        self._phase_ends_at: Optional[float] = None
        self._running_requests = 0
        self._clean = True
        self._started_at: Optional[float] = None
        self._expedited = False

    @property
    def phase(self) -> DrainPhase:
        """The current phase of the shutdown."""
        return self._phase

    @property
    def is_ready(self) -> bool:
        """Whether the VM reports to the load balancer that it is ready."""
        return self._phase is DrainPhase.SERVING

    @property
    def admits_requests(self) -> bool:
        """Whether new requests are admitted; also true until the load balancer has reacted."""
        return self._phase in (DrainPhase.SERVING, DrainPhase.UNREADY)

    @property
    def is_draining(self) -> bool:
        """Whether the shutdown has started, so that peers and callers should use other VMs."""
        return self._phase is not DrainPhase.SERVING

    @property
    def next_check_at(self) -> Optional[float]:
        """When to pass ``TimePassed``, by the caller's clock; ``None`` without a time limit."""
        return self._phase_ends_at

    def on_event(self, event: DrainEvent, now: float) -> tuple[DrainStep, ...]:
        """Returns the steps to perform now, in order. ``now`` is a monotonic time in seconds."""
        steps = self._apply_event(event, now)
        while (next_steps := self._advance_phase(now)) is not None:
            steps += next_steps
        self._check_invariants()
        return steps

    def dump_state(self) -> dict[str, Any]:
        """Returns the phase, its time limit and the number of running requests."""
        return {
            "phase": self._phase.value,
            "running_requests": self._running_requests,
            "hurried": self._expedited,
            "clean": self._clean,
            "phase_ends_at": self._phase_ends_at,
        }

    def _apply_event(self, event: DrainEvent, now: float) -> tuple[DrainStep, ...]:
        match event:
            case StopRequested() if self._phase is DrainPhase.SERVING:
                self._started_at = now
                self._enter_phase(DrainPhase.UNREADY, now)
                return (AnnounceLeaving(),)
            case StopRequested():
                self._expedited = True
            case RunningChanged(running):
                if running < 0:
                    raise ValueError("the number of running requests must not be negative")
                self._running_requests = running
            case HandoverDone() if self._phase is DrainPhase.HANDING_OVER:
                return self._start_flush(now)
            case FlushDone() if self._phase is DrainPhase.FLUSHING:
                return self._finish_shutdown()
            case HandoverDone() | FlushDone() | TimePassed():
                pass
        return ()

    def _advance_phase(self, now: float) -> Optional[tuple[DrainStep, ...]]:
        """Enters the next phase and returns its steps; ``None`` if the current phase goes on."""
        timed_out = self._phase_ends_at is not None and now >= self._phase_ends_at
        match self._phase:
            case DrainPhase.UNREADY if timed_out or self._expedited:
                self._enter_phase(DrainPhase.FINISHING, now)
                return (RefuseNewRequests(),)
            case DrainPhase.FINISHING if (
                self._running_requests == 0 or timed_out or self._expedited
            ):
                return self._start_handover(now)
            case DrainPhase.HANDING_OVER if timed_out:
                self._clean = False
                return self._start_flush(now)
            case DrainPhase.FLUSHING if timed_out:
                self._clean = False
                return self._finish_shutdown()
        return None

    def _start_handover(self, now: float) -> tuple[DrainStep, ...]:
        seconds = self._enter_phase(DrainPhase.HANDING_OVER, now)
        if self._running_requests == 0:
            return (HandOver(seconds),)
        self._clean = False
        return (CutRemaining(self._running_requests), HandOver(seconds))

    def _start_flush(self, now: float) -> tuple[DrainStep, ...]:
        return (Flush(self._enter_phase(DrainPhase.FLUSHING, now)),)

    def _finish_shutdown(self) -> tuple[DrainStep, ...]:
        self._phase = DrainPhase.EXITED
        self._phase_ends_at = None
        return (Exit(self._clean),)

    def _enter_phase(self, phase: DrainPhase, now: float) -> float:
        """Enters a phase with a time limit; returns its maximum duration in seconds."""
        started_at = now if self._started_at is None else self._started_at
        latest = started_at + self._settings.latest_end_seconds(phase)
        self._phase = phase
        self._phase_ends_at = min(now + self._settings.duration(phase), latest)
        return max(0.0, self._phase_ends_at - now)

    def _check_invariants(self) -> None:
        has_time_limit = self._phase not in (DrainPhase.SERVING, DrainPhase.EXITED)
        assert has_time_limit == (
            self._phase_ends_at is not None
        ), "a phase of the shutdown has no time limit"
        if self._phase_ends_at is not None and self._started_at is not None:
            bound = self._started_at + self._settings.exit_bound_seconds
            assert (
                self._phase_ends_at <= bound + 1e-6
            ), "a phase ends after the time limit of the shutdown"
