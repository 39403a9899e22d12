"""Simulates the load of retry policies on a service that stalls for 20 seconds and recovers.

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
    """The compared retry policies; the values are labels of the table."""

    NO_RETRIES = "no retries"
    IMMEDIATE = "immediate, 4 attempts"
    BACKOFF = "backoff, 4 attempts"
    BUDGET = "backoff and budget"
    BREAKER = "backoff, budget and breaker"


@dataclass
class StormReport:
    """Results of one run."""

    #: Attempts per arriving request during the outage.
    outage_multiplication: float = 0.0

    #: Attempts per arriving request in the 20 seconds after the outage.
    aftermath_multiplication: float = 0.0

    #: Time from the end of the outage until at least 95% of the requests succeed, in seconds;
    #: ``None`` if that is not reached.
    recovery_seconds: Optional[float] = None

    #: Share of successful requests among those that arrived after the outage.
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
    """Simulation of one service with one queue, and of its callers."""

    policy: StormPolicy
    rng: random.Random
    drops_abandoned: bool
    now: float = 0.0
    requests: list[_Request] = field(default_factory=list)
    queue: deque[_Attempt] = field(default_factory=deque)
    busy: bool = False
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    attempt_times: list[float] = field(default_factory=list)
    event_numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        unlimited = RetryBudgetSettings(1.0, 1e6, 1e9)
        has_budget = self.policy in (StormPolicy.BUDGET, StormPolicy.BREAKER)
        budget = RetryBudget(RetryBudgetSettings() if has_budget else unlimited, 0.0)
        no_delay = BackoffSettings(1e-6, 1e-6)
        backoff = no_delay if self.policy is StormPolicy.IMMEDIATE else BackoffSettings()
        attempts = 1 if self.policy is StormPolicy.NO_RETRIES else 4
        settings = RetryPolicySettings(maximum_attempts=attempts)
        self.retries = RetryPolicy(settings, Backoff(backoff, self.rng), budget)
        self.breaker = CircuitBreaker(CircuitBreakerSettings(), self.rng)

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.event_numbers), action))

    def run(self) -> None:
        self.schedule(0.0, self.on_arrival)
        self.schedule(OUTAGE_ENDS_SECONDS, self.start_next)
        while self.events and self.events[0][0] <= END_SECONDS:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def on_arrival(self) -> None:
        self.schedule(self.now + self.rng.expovariate(OFFERED_PER_SECOND), self.on_arrival)
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
        self.schedule(self.now + ATTEMPT_TIMEOUT_SECONDS, lambda: self.on_timeout(attempt))
        if len(self.queue) < QUEUE_LENGTH:
            self.queue.append(attempt)
            self.start_next()

    def start_next(self) -> None:
        stalled = OUTAGE_STARTS_SECONDS <= self.now < OUTAGE_ENDS_SECONDS
        if self.busy or stalled or not self.queue:
            return
        if self.drops_abandoned:
            self.drop_abandoned()
        if not self.queue:
            return
        self.busy = True
        attempt = self.queue.popleft()
        self.schedule(self.now + SERVICE_SECONDS, lambda: self.on_completed(attempt))

    def drop_abandoned(self) -> None:
        while self.queue and self.queue[0].timed_out:
            self.queue.popleft()

    def on_completed(self, attempt: _Attempt) -> None:
        self.busy = False
        attempt.done = True
        if not attempt.timed_out:
            attempt.request.succeeded = True
            self.report_result(attempt, AttemptResult.SUCCEEDED)
        self.start_next()

    def on_timeout(self, attempt: _Attempt) -> None:
        if attempt.done:
            return
        attempt.timed_out = True
        self.report_result(attempt, AttemptResult.FAILED)
        request = attempt.request
        remaining = request.arrived + REQUEST_TIMEOUT_SECONDS - self.now
        error = BackendSilentError("no response within the timeout")
        decision = self.retries.decide(request.attempts, error, True, remaining, self.now)
        if isinstance(decision, Retry):
            self.schedule(self.now + decision.delay_seconds, lambda: self.attempt(request))

    def report_result(self, attempt: _Attempt, result: AttemptResult) -> None:
        if attempt.permit is not None:
            self.breaker.on_result(attempt.permit, result, self.now)


def run_storm(policy: StormPolicy, seed: int, drops_abandoned: bool) -> StormReport:
    """Simulates an outage of 20 seconds, during which the service stalls, and returns the results.

    With ``drops_abandoned``, the service skips queued attempts whose caller has timed out.
    """
    run = _Run(policy, random.Random(seed), drops_abandoned)
    run.run()
    after = [request for request in run.requests if request.arrived >= OUTAGE_ENDS_SECONDS]
    return StormReport(
        outage_multiplication=_attempts_per_request(
            run, OUTAGE_STARTS_SECONDS, OUTAGE_ENDS_SECONDS
        ),
        aftermath_multiplication=_attempts_per_request(
            run, OUTAGE_ENDS_SECONDS, OUTAGE_ENDS_SECONDS + 20.0
        ),
        recovery_seconds=_recovery_seconds(after),
        succeeded_after=sum(request.succeeded for request in after) / len(after),
    )


def _attempts_per_request(run: _Run, start: float, end: float) -> float:
    attempts = sum(start <= when < end for when in run.attempt_times)
    arrivals = sum(start <= request.arrived < end for request in run.requests)
    return attempts / arrivals


def _recovery_seconds(after: list[_Request]) -> Optional[float]:
    """Returns the end of the last second in which less than 95% of the requests succeeded.

    Seconds are counted from the end of the outage; the result is ``None`` if the load did not
    recover before the end of the simulation.
    """
    recovered_after = 0.0
    for second in range(int(END_SECONDS - OUTAGE_ENDS_SECONDS - REQUEST_TIMEOUT_SECONDS)):
        start = OUTAGE_ENDS_SECONDS + second
        arrived = [request for request in after if start <= request.arrived < start + 1]
        if sum(request.succeeded for request in arrived) < 0.95 * len(arrived):
            recovered_after = second + 1.0
    horizon = END_SECONDS - OUTAGE_ENDS_SECONDS - REQUEST_TIMEOUT_SECONDS
    return None if recovered_after >= horizon - 1 else recovered_after


def main(seed: int) -> None:
    """Prints the table of all policies."""
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
