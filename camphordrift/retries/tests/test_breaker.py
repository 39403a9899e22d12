"""Tests of the circuit breaker."""

import random

import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Success

from camphordrift.results import ResultCode, RunState
from camphordrift.retries import (
    AttemptResult,
    CircuitBreaker,
    CircuitBreakerSettings,
    Closed,
    HalfOpen,
    Open,
    Permit,
)

SETTINGS = CircuitBreakerSettings()


def breaker() -> CircuitBreaker:
    return CircuitBreaker(SETTINGS, random.Random(1))


def fail(circuit: CircuitBreaker, times: int, now: float) -> None:
    for _ in range(times):
        circuit.on_result(circuit.try_acquire(now).unwrap(), AttemptResult.FAILED, now)


class CircuitBreakerTest(testtools.TestCase):
    def test_opens_after_consecutive_failures_and_reports_not_run(self) -> None:
        circuit = breaker()
        fail(circuit, SETTINGS.consecutive_failures, 0.0)
        refused = circuit.try_acquire(0.1).failure()
        self.assertEqual(ResultCode.CIRCUIT_OPEN, refused.code)
        self.assertEqual(RunState.NOT_RUN, refused.run_state)
        self.assertFalse(circuit.admits(0.1))

    def test_opens_on_a_share_of_failures(self) -> None:
        circuit = breaker()
        for number in range(SETTINGS.minimum_attempts):
            result = AttemptResult.FAILED if number % 2 else AttemptResult.SUCCEEDED
            circuit.on_result(circuit.try_acquire(0.0).unwrap(), result, 0.0)
        self.assertIsInstance(circuit.state, Open)

    def test_allows_one_probe_and_closes_after_successful_probes(self) -> None:
        circuit = breaker()
        fail(circuit, SETTINGS.consecutive_failures, 0.0)
        for number in range(SETTINGS.successes_to_close):
            now = 2.0 + number
            probe = circuit.try_acquire(now).unwrap()
            self.assertFalse(circuit.admits(now))
            circuit.on_result(probe, AttemptResult.SUCCEEDED, now)
        self.assertIsInstance(circuit.state, Closed)

    def test_probe_without_a_result_does_not_block_forever(self) -> None:
        circuit = breaker()
        fail(circuit, SETTINGS.consecutive_failures, 0.0)
        circuit.try_acquire(2.0).unwrap()
        later = 2.0 + SETTINGS.probe_timeout_seconds
        self.assertTrue(circuit.admits(later))
        self.assertIsInstance(circuit.try_acquire(later), Success)

    def test_late_result_of_an_earlier_epoch_is_ignored(self) -> None:
        circuit = breaker()
        old = circuit.try_acquire(0.0).unwrap()
        fail(circuit, SETTINGS.consecutive_failures, 0.0)
        circuit.try_acquire(2.0)
        circuit.on_result(old, AttemptResult.FAILED, 2.1)
        self.assertIsInstance(circuit.state, HalfOpen)


class CircuitBreakerMachine(RuleBasedStateMachine):
    """Checks that any sequence of attempts and results keeps the number of probes bounded."""

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.breaker = breaker()
        self.permits: list[Permit] = []

    @rule(elapsed=st.floats(0.0, 40.0))
    def wait(self, elapsed: float) -> None:
        self.now += elapsed

    @rule()
    def acquire(self) -> None:
        admitted = self.breaker.admits(self.now)
        acquired = self.breaker.try_acquire(self.now)
        assert admitted == isinstance(acquired, Success)
        if admitted:
            self.permits.append(acquired.unwrap())

    @rule(result=st.sampled_from(AttemptResult), index=st.integers(0, 50))
    def report(self, result: AttemptResult, index: int) -> None:
        if self.permits:
            permit = self.permits.pop(index % len(self.permits))
            self.breaker.on_result(permit, result, self.now)

    @invariant()
    def probes_are_bounded(self) -> None:
        if hasattr(self, "breaker") and isinstance(self.breaker.state, HalfOpen):
            assert len(self.breaker.state.probes_started_at) <= SETTINGS.concurrent_probes


CircuitBreakerMachineTest = CircuitBreakerMachine.TestCase
CircuitBreakerMachineTest.settings = settings(derandomize=True, deadline=None, max_examples=60)
