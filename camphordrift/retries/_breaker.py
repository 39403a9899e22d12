"""Leaves a backend server alone that fails too often, and probes it until it works again."""

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any, Optional, Union

from returns.result import Failure, Result, Success

from camphordrift import results


class AttemptResult(Enum):
    """What an attempt says of the backend server."""

    #: It works.
    SUCCEEDED = "succeeded"

    #: It is at fault.
    FAILED = "failed"

    #: Nothing, for instance because the caller went away or the request was at fault.
    NEUTRAL = "neutral"


@dataclass(frozen=True)
class CircuitBreakerSettings:
    """When to stop, and for how long."""

    #: So many failures in a row open the circuit.
    consecutive_failures: int = 5

    #: Share of failed attempts in the window that opens it.
    failure_share: float = 0.5

    #: The share counts only from this many attempts on.
    minimum_attempts: int = 20

    #: Length of the window in seconds.
    window_seconds: float = 10.0

    #: How long it stays open at first, in seconds; doubles while probes fail.
    initial_open_seconds: float = 1.0

    #: Longest time that it stays open, in seconds.
    maximum_open_seconds: float = 5.0

    #: Probes at once while it is half open.
    concurrent_probes: int = 1

    #: Probes that must succeed to close it.
    successes_to_close: int = 2

    #: A probe without a result counts as failed after this long, in seconds.
    probe_timeout_seconds: float = 30.0

    def __post_init__(self) -> None:
        if min(self.consecutive_failures, self.concurrent_probes, self.successes_to_close) < 1:
            raise ValueError("the counts of a circuit breaker must be positive")
        if not 0 < self.initial_open_seconds <= self.maximum_open_seconds:
            raise ValueError("first_open_seconds must be positive and at most the longest")


@dataclass(frozen=True)
class Closed:
    """All attempts pass."""


@dataclass(frozen=True)
class Open:
    """No attempt passes."""

    #: When probes begin, on the caller's clock.
    until: float


@dataclass(frozen=True)
class HalfOpen:
    """A few attempts pass as probes."""

    #: When each probe that runs was let pass.
    probes_started_at: tuple[float, ...] = ()

    #: Probes that succeeded.
    successes: int = 0


BreakerState = Union[Closed, Open, HalfOpen]


@dataclass(frozen=True)
class Permit:
    """Leave to make one attempt. Its result has to be reported, if only as neutral."""

    #: The period that it was given in; a result that comes after a change of state is passed over.
    epoch: int

    #: When it was given; identifies a probe.
    issued_at: float


class CircuitBreaker:
    """Closed, open and half-open states for one backend server."""

    def __init__(self, settings: CircuitBreakerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._state: BreakerState = Closed()
        self._epoch = 0
        self._times_opened = 0
        self._consecutive_failures = 0
        self._window: deque[tuple[float, bool]] = deque()

    @property
    def state(self) -> BreakerState:
        """The present state."""
        return self._state

    def admits(self, now: float) -> bool:
        """Tells whether an attempt would pass; changes nothing, for use in choosing a server."""
        match self._state:
            case Closed():
                return True
            case Open(until):
                return now >= until
            case HalfOpen(probe_starts, _):
                return (
                    len(self._active_probes(probe_starts, now)) < self._settings.concurrent_probes
                )

    def try_acquire(self, now: float) -> Result[Permit, results.Failure]:
        """Returns leave for one attempt, or a failure that says when to ask again."""
        self._update_state(now)
        match self._state:
            case Closed():
                return Success(Permit(self._epoch, now))
            case HalfOpen(probe_starts, successes):
                if len(probe_starts) < self._settings.concurrent_probes:
                    self._state = HalfOpen((*probe_starts, now), successes)
                    return Success(Permit(self._epoch, now))
                return _circuit_open_failure(self._settings.initial_open_seconds)
            case Open(until):
                return _circuit_open_failure(until - now)

    def on_result(self, permit: Permit, result: AttemptResult, now: float) -> None:
        """Takes the result of a permitted attempt."""
        if permit.epoch != self._epoch:
            return
        match self._state:
            case Closed():
                self._on_closed_result(result, now)
            case HalfOpen(probe_starts, successes):
                self._on_probe_result(permit, probe_starts, successes, result, now)
            case Open():
                pass

    def dump_state(self) -> dict[str, Any]:
        """Returns what an operator wants to see."""
        return {
            "state": type(self._state).__name__,
            "times_opened": self._times_opened,
            "failures_in_a_row": self._consecutive_failures,
        }

    def _on_closed_result(self, result: AttemptResult, now: float) -> None:
        if result is AttemptResult.NEUTRAL:
            return
        failed = result is AttemptResult.FAILED
        self._consecutive_failures = self._consecutive_failures + 1 if failed else 0
        self._window.append((now, failed))
        while self._window[0][0] <= now - self._settings.window_seconds:
            self._window.popleft()
        if failed and self._is_failing():
            self._open(now)

    def _is_failing(self) -> bool:
        if self._consecutive_failures >= self._settings.consecutive_failures:
            return True
        if len(self._window) < self._settings.minimum_attempts:
            return False
        failures = sum(failed for _, failed in self._window)
        return failures >= self._settings.failure_share * len(self._window)

    def _on_probe_result(
        self,
        permit: Permit,
        probe_starts: tuple[float, ...],
        successes: int,
        result: AttemptResult,
        now: float,
    ) -> None:
        other_starts = list(probe_starts)
        if permit.issued_at in other_starts:
            other_starts.remove(permit.issued_at)
        match result:
            case AttemptResult.FAILED:
                self._open(now)
            case AttemptResult.NEUTRAL:
                self._state = HalfOpen(tuple(other_starts), successes)
            case AttemptResult.SUCCEEDED if successes + 1 >= self._settings.successes_to_close:
                self._close()
            case AttemptResult.SUCCEEDED:
                self._state = HalfOpen(tuple(other_starts), successes + 1)

    def _update_state(self, now: float) -> None:
        """Lets an open circuit become half open, and forgets probes that were lost."""
        match self._state:
            case Open(until) if now >= until:
                self._state = HalfOpen()
                self._epoch += 1
            case HalfOpen(probe_starts, successes):
                self._state = HalfOpen(self._active_probes(probe_starts, now), successes)

    def _active_probes(self, probe_starts: tuple[float, ...], now: float) -> tuple[float, ...]:
        timeout = self._settings.probe_timeout_seconds
        return tuple(started for started in probe_starts if now < started + timeout)

    def _open(self, now: float) -> None:
        doubled = self._settings.initial_open_seconds * 2 ** min(self._times_opened, 30)
        bound = min(doubled, self._settings.maximum_open_seconds)
        self._state = Open(now + bound * self._rng.uniform(0.5, 1.0))
        self._times_opened += 1
        self._epoch += 1

    def _close(self) -> None:
        self._state = Closed()
        self._epoch += 1
        self._times_opened = 0
        self._consecutive_failures = 0
        self._window.clear()


class CircuitBreakers:
    """The breakers of all backend servers that this VM uses."""

    def __init__(self, settings: CircuitBreakerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._breakers: dict[str, CircuitBreaker] = {}

    def breaker_of(self, server_id: str) -> CircuitBreaker:
        """Returns the breaker of one backend server."""
        breaker = self._breakers.get(server_id)
        if breaker is None:
            breaker = CircuitBreaker(self._settings, self._rng)
            self._breakers[server_id] = breaker
        return breaker

    def retain(self, server_ids: frozenset[str]) -> None:
        """Forgets servers that no longer exist."""
        self._breakers = {name: b for name, b in self._breakers.items() if name in server_ids}

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of each breaker that is not closed."""
        return {
            name: breaker.dump_state()
            for name, breaker in sorted(self._breakers.items())
            if not isinstance(breaker.state, Closed)
        }


def _circuit_open_failure(retry_after: Optional[float]) -> Result[Permit, results.Failure]:
    detail = "the backend server failed too often and is left alone for a while"
    return Failure(results.Failure(results.ResultCode.CIRCUIT_OPEN, detail, retry_after))
