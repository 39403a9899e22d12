"""Tests of the retry decision, of the reported failures and of the retry budget."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift import results
from camphordrift.backend_servers import (
    BackendRefusedError,
    BackendSilentError,
    BackendUnreachableError,
    StreamBrokenError,
)
from camphordrift.results import ResultCode, RunState
from camphordrift.retries import (
    AttemptError,
    Backoff,
    BackoffSettings,
    GiveUp,
    Retry,
    RetryBudget,
    RetryBudgetSettings,
    RetryDecision,
    RetryPolicy,
    RetryPolicySettings,
)

UNREACHABLE = BackendUnreachableError("no route")
BUSY = BackendRefusedError("busy", 503, not_run=True)
CRASHED = BackendRefusedError("crashed", 500, not_run=False)
BAD_REQUEST = BackendRefusedError("bad", 400, not_run=True)
SILENT = BackendSilentError("nothing")
BROKEN = StreamBrokenError("reset")


def policy(maximum_saved: float = 10.0) -> RetryPolicy:
    budget = RetryBudget(RetryBudgetSettings(maximum_saved_retries=maximum_saved), now=0.0)
    backoff = Backoff(BackoffSettings(), random.Random(1))
    return RetryPolicy(RetryPolicySettings(), backoff, budget)


def decide(
    error: AttemptError, repeatable: bool, earlier_may_have_run: bool = False
) -> RetryDecision:
    return policy().decide(1, error, repeatable, 10.0, 0.0, earlier_may_have_run)


def failure_of(decision: RetryDecision) -> results.Failure:
    assert isinstance(decision, GiveUp)
    return decision.failure


class RetryPolicyTest(testtools.TestCase):
    def test_retries_only_if_the_attempt_cannot_have_run_or_is_repeatable(self) -> None:
        cases: tuple[tuple[AttemptError, bool, bool], ...] = (
            (UNREACHABLE, False, True),
            (BUSY, False, True),
            (CRASHED, False, False),
            (SILENT, False, False),
            (BROKEN, False, False),
            (CRASHED, True, True),
            (SILENT, True, True),
            (BROKEN, True, True),
            (BAD_REQUEST, True, False),
        )
        for error, repeatable, retried in cases:
            decision = decide(error, repeatable)
            self.assertEqual(retried, isinstance(decision, Retry), f"{error!r} {repeatable}")

    def test_outcome_is_unknown_if_an_unrepeatable_call_may_have_run(self) -> None:
        for error in (SILENT, BROKEN, CRASHED):
            state = failure_of(decide(error, False)).run_state
            self.assertEqual(RunState.OUTCOME_UNKNOWN, state)

    def test_not_run_is_not_reported_if_an_earlier_attempt_may_have_run(self) -> None:
        for earlier_may_have_run, state in (
            (False, RunState.NOT_RUN),
            (True, RunState.OUTCOME_UNKNOWN),
        ):
            decision = policy().decide(4, UNREACHABLE, True, 10.0, 0.0, earlier_may_have_run)
            self.assertEqual(state, failure_of(decision).run_state)

    def test_unrepeatable_call_is_not_retried_if_an_earlier_attempt_may_have_run(self) -> None:
        code = failure_of(decide(UNREACHABLE, False, earlier_may_have_run=True)).code
        self.assertEqual(ResultCode.SERVICE_OUTCOME_UNKNOWN, code)

    def test_budget_limits_retries(self) -> None:
        tight_policy = policy(maximum_saved=2.0)
        decisions = [tight_policy.decide(1, BUSY, True, 10.0, 0.0) for _ in range(3)]
        self.assertEqual([Retry, Retry, GiveUp], [type(decision) for decision in decisions])
        self.assertEqual(ResultCode.RETRY_BUDGET_SPENT, failure_of(decisions[2]).code)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.sampled_from([UNREACHABLE, BUSY, CRASHED, SILENT, BROKEN]),
        st.integers(1, 6),
        st.floats(0.0, 5.0),
        st.integers(0, 1000),
    )
    def test_retry_fits_the_deadline(
        self, error: AttemptError, attempt: int, remaining: float, seed: int
    ) -> None:
        budget = RetryBudget(RetryBudgetSettings(), now=0.0)
        backoff = Backoff(BackoffSettings(), random.Random(seed))
        retry_policy = RetryPolicy(RetryPolicySettings(), backoff, budget)
        decision = retry_policy.decide(attempt, error, True, remaining, 0.0)
        if isinstance(decision, Retry):
            self.assertTrue(decision.delay_seconds < remaining)
            self.assertTrue(attempt < RetryPolicySettings().maximum_attempts)


class RetryBudgetTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.tuples(st.floats(0.0, 2.0), st.booleans()), max_size=200))
    def test_retries_stay_within_the_documented_bound(
        self, steps: list[tuple[float, bool]]
    ) -> None:
        budget_settings = RetryBudgetSettings()
        budget = RetryBudget(budget_settings, now=0.0)
        now, requests, retries = 0.0, 0, 0
        for elapsed, is_retry in steps:
            now += elapsed
            if is_retry:
                retries += budget.try_withdraw(now)
            else:
                budget.on_first_attempt(now)
                requests += 1
            bound = (
                budget_settings.maximum_saved_retries
                + now * budget_settings.minimum_retries_per_second
            )
            self.assertTrue(
                retries <= bound + requests * budget_settings.retries_per_request + 1e-6
            )
