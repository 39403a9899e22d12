"""What retries do to a service that stalls and comes back.

Run ``python -m camphordrift.experiments._retry_storm [SEED]`` for the table of
docs/design/retries.md.
"""

import heapq
import itertools
import random
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Optional

from returns.result import Failure

from camphordrift.backend_servers import BackendSilentError
from camphordrift.retries import (
    AttemptResult,
    Backoff,
    BackoffSettings,
    CircuitBreaker,
    CircuitBreakerSettings,
    Permit,
    Retry,
    RetryBudget,
    RetryBudgetSettings,
    RetryPolicy,
    RetryPolicySettings,
)

OFFERED_PER_SECOND = 80.0
SERVICE_SECONDS = 0.01
QUEUE_LENGTH = 4000
ATTEMPT_TIMEOUT_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 5.0
OUTAGE_STARTS_SECONDS = 20.0
OUTAGE_ENDS_SECONDS = 40.0
END_SECONDS = 120.0


class StormPolicy(Enum):
    """The ways that are compared."""

    NO_RETRIES = "no retries"
    IMMEDIATE = "immediate, 4 attempts"
    BACKOFF = "backoff, 4 attempts"
    BUDGET = "backoff and budget"
    BREAKER = "backoff, budget and breaker"


@dataclass
class StormReport:
    """What one run showed."""

    #: Attempts for each request that arrived during the outage.
    outage_multiplication: float = 0.0

    #: Attempts for each request in the 20 seconds after it.
    aftermath_multiplication: float = 0.0

    #: Time from the end of the outage until requests succeed as before, in seconds; ``None`` if
    #: they never did.
    recovery_seconds: Optional[float] = None

    #: Share of the requests after the outage that succeeded.
    succeeded_after: float = 0.0


@dataclass
class _Request:
    arrived: float
    attempts: int = 0
    succeeded: bool = False


@dataclass
class _Attempt:
    request: _Request
    started: float
    permit: Optional[Permit]
    timed_out: bool = False
    done: bool = False


@dataclass
class _Run:
    """One service with one queue, and its callers."""

    policy: StormPolicy
    rng: random.Random
    drops_abandoned: bool
    now: float = 0.0
    requests: list[_Request] = field(default_factory=list)
    queue: deque[_Attempt] = field(default_factory=deque)
    busy: bool = False
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    attempt_times: list[float] = field(default_factory=list)
    order: "itertools.count[int]" = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        unlimited = RetryBudgetSettings(1.0, 1e6, 1e9)
        bounded = self.policy in (StormPolicy.BUDGET, StormPolicy.BREAKER)
        budget = RetryBudget(RetryBudgetSettings() if bounded else unlimited, 0.0)
        tiny = BackoffSettings(1e-6, 1e-6)
        backoff = tiny if self.policy is StormPolicy.IMMEDIATE else BackoffSettings()
        attempts = 1 if self.policy is StormPolicy.NO_RETRIES else 4
        settings = RetryPolicySettings(maximum_attempts=attempts)
        self.retries = RetryPolicy(settings, Backoff(backoff, self.rng), budget)
        self.breaker = CircuitBreaker(CircuitBreakerSettings(), self.rng)

    def at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), action))

    def run(self) -> None:
        self.at(0.0, self.arrive)
        self.at(OUTAGE_ENDS_SECONDS, self.serve_next)
        while self.events and self.events[0][0] <= END_SECONDS:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def arrive(self) -> None:
        self.at(self.now + self.rng.expovariate(OFFERED_PER_SECOND), self.arrive)
        request = _Request(self.now)
        self.requests.append(request)
        self.retries.on_first_attempt(self.now)
        self.attempt(request)

    def attempt(self, request: _Request) -> None:
        permit: Optional[Permit] = None
        if self.policy is StormPolicy.BREAKER:
            acquired = self.breaker.try_acquire(self.now)
            if isinstance(acquired, Failure):
                return
            permit = acquired.unwrap()
        request.attempts += 1
        self.attempt_times.append(self.now)
        attempt = _Attempt(request, self.now, permit)
        self.at(self.now + ATTEMPT_TIMEOUT_SECONDS, lambda: self.time_out(attempt))
        if len(self.queue) < QUEUE_LENGTH:
            self.queue.append(attempt)
            self.serve_next()

    def serve_next(self) -> None:
        stalled = OUTAGE_STARTS_SECONDS <= self.now < OUTAGE_ENDS_SECONDS
        if self.busy or stalled or not self.queue:
            return
        if self.drops_abandoned:
            self.drop_abandoned()
        if not self.queue:
            return
        self.busy = True
        attempt = self.queue.popleft()
        self.at(self.now + SERVICE_SECONDS, lambda: self.complete(attempt))

    def drop_abandoned(self) -> None:
        while self.queue and self.queue[0].timed_out:
            self.queue.popleft()

    def complete(self, attempt: _Attempt) -> None:
        self.busy = False
        attempt.done = True
        if not attempt.timed_out:
            attempt.request.succeeded = True
            self.report(attempt, AttemptResult.SUCCEEDED)
        self.serve_next()

    def time_out(self, attempt: _Attempt) -> None:
        if attempt.done:
            return
        attempt.timed_out = True
        self.report(attempt, AttemptResult.FAILED)
        request = attempt.request
        remaining = request.arrived + REQUEST_TIMEOUT_SECONDS - self.now
        error = BackendSilentError("no answer in time")
        decision = self.retries.decide(request.attempts, error, True, remaining, self.now)
        if isinstance(decision, Retry):
            self.at(self.now + decision.delay_seconds, lambda: self.attempt(request))

    def report(self, attempt: _Attempt, result: AttemptResult) -> None:
        if attempt.permit is not None:
            self.breaker.on_result(attempt.permit, result, self.now)


def run_storm(policy: StormPolicy, seed: int, drops_abandoned: bool) -> StormReport:
    """Returns what the policy did in an outage of 20 seconds, which the service spends stalled.

    ``drops_abandoned`` tells whether the service notices that a caller has gone away.
    """
    run = _Run(policy, random.Random(seed), drops_abandoned)
    run.run()
    after = [r for r in run.requests if r.arrived >= OUTAGE_ENDS_SECONDS]
    return StormReport(
        outage_multiplication=_multiplication(run, OUTAGE_STARTS_SECONDS, OUTAGE_ENDS_SECONDS),
        aftermath_multiplication=_multiplication(
            run, OUTAGE_ENDS_SECONDS, OUTAGE_ENDS_SECONDS + 20.0
        ),
        recovery_seconds=_recovery(after),
        succeeded_after=sum(r.succeeded for r in after) / len(after),
    )


def _multiplication(run: _Run, start: float, end: float) -> float:
    attempts = sum(start <= when < end for when in run.attempt_times)
    arrivals = sum(start <= request.arrived < end for request in run.requests)
    return attempts / arrivals


def _recovery(after: list[_Request]) -> Optional[float]:
    """Returns when the last whole second ended in which under 95 in 100 requests succeeded."""
    last_bad = 0.0
    for second in range(int(END_SECONDS - OUTAGE_ENDS_SECONDS - REQUEST_TIMEOUT_SECONDS)):
        start = OUTAGE_ENDS_SECONDS + second
        arrived = [r for r in after if start <= r.arrived < start + 1]
        if sum(r.succeeded for r in arrived) < 0.95 * len(arrived):
            last_bad = second + 1.0
    horizon = END_SECONDS - OUTAGE_ENDS_SECONDS - REQUEST_TIMEOUT_SECONDS
    return None if last_bad >= horizon - 1 else last_bad


def main(seed: int) -> None:
    """Prints the table."""
    for drops_abandoned in (True, False):
        print(f"service drops abandoned requests: {drops_abandoned}")
        print(f"{'policy':30} {'outage x':>9} {'after x':>8} {'recovery s':>10} {'ok after':>8}")
        for policy in StormPolicy:
            _print_row(policy, run_storm(policy, seed, drops_abandoned))


def _print_row(policy: StormPolicy, report: StormReport) -> None:
    recovery = "never" if report.recovery_seconds is None else f"{report.recovery_seconds:.0f}"
    print(
        f"{policy.value:30} {report.outage_multiplication:9.2f}"
        f" {report.aftermath_multiplication:8.2f} {recovery:>10} {report.succeeded_after:8.3f}"
    )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
