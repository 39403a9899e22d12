"""Circuit breakers: stop requests to a failing backend server and probe it until it recovers."""

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any, Optional, Union

from returns.result import Failure, Result, Success

from camphordrift import results


class AttemptResult(Enum):
    """What the result of an attempt shows about the backend server."""

    #: The server works.
    SUCCEEDED = "succeeded"

    #: The server is at fault.
    FAILED = "failed"

    #: Nothing about the server, for instance if the caller disconnected or the request was invalid.
    NEUTRAL = "neutral"


@dataclass(frozen=True)
class CircuitBreakerSettings:
    """When a circuit opens, and for how long; raises ``ValueError`` on invalid values."""

    #: Number of consecutive failures that opens the circuit.
    consecutive_failures: int = 5

    #: Share of failed attempts in the window that opens the circuit, from 0 to 1.
    failure_share: float = 0.5

    #: Minimum number of attempts in the window for ``failure_share`` to apply.
    minimum_attempts: int = 20

    #: Length of the sliding window in seconds.
    window_seconds: float = 10.0

    #: Seconds that the circuit stays open at first; they double each time a probe fails.
    initial_open_seconds: float = 1.0

    #: Maximum number of seconds that the circuit stays open.
    maximum_open_seconds: float = 5.0

    #: Maximum number of concurrent probes while the circuit is half open.
    concurrent_probes: int = 1

    #: Number of successful probes that closes the circuit.
    successes_to_close: int = 2

    #: Seconds after which a probe without a result no longer counts as running.
    probe_timeout_seconds: float = 30.0

    def __post_init__(self) -> None:
        if min(self.consecutive_failures, self.concurrent_probes, self.successes_to_close) < 1:
            raise ValueError(
                "consecutive_failures, concurrent_probes and successes_to_close must be positive"
            )
        if not 0 < self.initial_open_seconds <= self.maximum_open_seconds:
            raise ValueError(
                "initial_open_seconds must be positive and at most maximum_open_seconds"
            )


@dataclass(frozen=True)
class Closed:
    """All attempts are allowed."""


@dataclass(frozen=True)
class Open:
    """No attempt is allowed."""

    #: Time from which probes are allowed, on the caller's monotonic clock in seconds.
    until: float


@dataclass(frozen=True)
class HalfOpen:
    """A limited number of attempts is allowed as probes."""

    #: Start times of the running probes, on the caller's monotonic clock in seconds.
    probes_started_at: tuple[float, ...] = ()

    #: Number of successful probes.
    successes: int = 0


BreakerState = Union[Closed, Open, HalfOpen]


@dataclass(frozen=True)
class Permit:
    """Permission for one attempt. The caller must report its result, at least as neutral."""

    #: Epoch in which the permit was issued; a result from an earlier epoch (before a state change)
    #: is ignored.
    epoch: int

    #: Time in seconds at which the permit was issued; identifies a probe.
    issued_at: float


class CircuitBreaker:
    """The circuit breaker of one backend server. Times are on a monotonic clock in seconds."""

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
        """The current state; an open state whose time has passed changes on ``try_acquire``."""
        return self._state

    def admits(self, now: float) -> bool:
        """Returns whether an attempt would be allowed; changes nothing, for choosing a server."""
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
        """Returns a permit for one attempt, or a failure with the delay before a retry."""
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
        """Records the result of a permitted attempt; ignores it after a state change."""
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
        """Returns the state and failure counts for the state dump."""
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
            self._open_circuit(now)

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
                self._open_circuit(now)
            case AttemptResult.NEUTRAL:
                self._state = HalfOpen(tuple(other_starts), successes)
            case AttemptResult.SUCCEEDED if successes + 1 >= self._settings.successes_to_close:
                self._close_circuit()
            case AttemptResult.SUCCEEDED:
                self._state = HalfOpen(tuple(other_starts), successes + 1)

    def _update_state(self, now: float) -> None:
        """Half-opens an open circuit whose time has passed, and removes probes that timed out."""
        match self._state:
            case Open(until) if now >= until:
                self._state = HalfOpen()
                self._epoch += 1
            case HalfOpen(probe_starts, successes):
                self._state = HalfOpen(self._active_probes(probe_starts, now), successes)

    def _active_probes(self, probe_starts: tuple[float, ...], now: float) -> tuple[float, ...]:
        timeout = self._settings.probe_timeout_seconds
        return tuple(started for started in probe_starts if now < started + timeout)

    def _open_circuit(self, now: float) -> None:
        doubled = self._settings.initial_open_seconds * 2 ** min(self._times_opened, 30)
        bound = min(doubled, self._settings.maximum_open_seconds)
        self._state = Open(now + bound * self._rng.uniform(0.5, 1.0))
        self._times_opened += 1
        self._epoch += 1

    def _close_circuit(self) -> None:
        self._state = Closed()
        self._epoch += 1
        self._times_opened = 0
        self._consecutive_failures = 0
        self._window.clear()


class CircuitBreakers:
    """The circuit breakers of all backend servers that this VM uses."""

    def __init__(self, settings: CircuitBreakerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._breakers: dict[str, CircuitBreaker] = {}

    def breaker_of(self, server_id: str) -> CircuitBreaker:
        """Returns the circuit breaker of a backend server; creates a closed one on first use."""
        breaker = self._breakers.get(server_id)
        if breaker is None:
            breaker = CircuitBreaker(self._settings, self._rng)
            self._breakers[server_id] = breaker
        return breaker

    def retain(self, server_ids: frozenset[str]) -> None:
        """Removes the breakers of all servers but the given ones."""
        self._breakers = {name: b for name, b in self._breakers.items() if name in server_ids}

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of each breaker that is not closed, for the state dump."""
        return {
            name: breaker.dump_state()
            for name, breaker in sorted(self._breakers.items())
            if not isinstance(breaker.state, Closed)
        }


def _circuit_open_failure(retry_after: Optional[float]) -> Result[Permit, results.Failure]:
    detail = "the circuit breaker of the backend server is open after too many failures"
    return Failure(results.Failure(results.ResultCode.CIRCUIT_OPEN, detail, retry_after))
