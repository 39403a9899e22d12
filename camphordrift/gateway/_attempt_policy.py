"""Decides whether and when a generation request is retried after a failed attempt."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from camphordrift.identifiers import BackendServerId, ModelName, RequestId
from camphordrift.results import RunState
from camphordrift.retries import (
    AttemptError,
    Backoff,
    BackoffSettings,
    RetryBudgets,
    RetryBudgetSettings,
    RetryDecision,
    RetryPolicy,
    RetryPolicySettings,
)

#: Maximum number of attempts for one request, including the first.
MAX_ATTEMPTS = 6

#: Retry budget of each model. An engine that fails truncates all responses that it was generating
#: at the same time. Resuming all of them needs more saved retries than the calls of a plain
#: service, which fail one at a time. The scheduler limits the additional load: a resumed request
#: waits for a grant like any other.
GENERATION_BUDGET = RetryBudgetSettings(
    retries_per_request=0.5, minimum_retries_per_second=10.0, maximum_saved_retries=300.0
)


@dataclass(frozen=True)
class FailedAttempt:
    """An attempt that ended before the output was complete."""

    #: Id of the request that the attempt ran.
    request_id: RequestId

    #: The requested model.
    model: ModelName

    #: The engine that ran the attempt.
    engine_id: BackendServerId

    #: Number of the attempt, counted from 1.
    attempt: int

    #: Why the attempt failed.
    error: AttemptError

    #: Seconds until the request's deadline.
    remaining_seconds: float

    #: Whether an earlier attempt may have run, or the prefill of a part of this attempt's prompt.
    earlier_may_have_run: bool


class AttemptPolicy(Protocol):
    """Decides whether a failed attempt is followed by another one."""

    def on_first_attempt(self, model: ModelName) -> None:
        """Records the first attempt of a new request."""
        ...

    def on_failed(self, failed: FailedAttempt) -> RetryDecision:
        """Returns whether and when to retry after ``failed``."""
        ...


class BudgetedAttemptPolicy:
    """Retries failed attempts with exponential backoff, within a retry budget for each model.

    A generation request may always be retried: it has no effect other than its output, and tokens
    that were delivered are not generated again.
    """

    def __init__(
        self, rng: random.Random, observe: Callable[[FailedAttempt], None] = lambda failed: None
    ) -> None:
        self._backoff = Backoff(BackoffSettings(), rng)
        self._budgets = RetryBudgets(GENERATION_BUDGET)
        self._settings = RetryPolicySettings(
            maximum_attempts=MAX_ATTEMPTS, state_if_may_have_run=RunState.FAILED
        )
        self._observe = observe

    def on_first_attempt(self, model: ModelName) -> None:
        """Records the first attempt of a new request, which adds to its model's retry budget."""
        self._policy_of(model).on_first_attempt(trio.current_time())

    def on_failed(self, failed: FailedAttempt) -> RetryDecision:
        """Returns whether and when to retry after ``failed``."""
        self._observe(failed)
        return self._policy_of(failed.model).decide(
            attempt=failed.attempt,
            error=failed.error,
            repeatable=True,
            remaining_seconds=failed.remaining_seconds,
            now=trio.current_time(),
            earlier_may_have_run=failed.earlier_may_have_run,
        )

    def dump_state(self) -> dict[str, float]:
        """Returns the number of retries left in each model's budget, for the state dump."""
        return self._budgets.dump_state()

    def _policy_of(self, model: ModelName) -> RetryPolicy:
        budget = self._budgets.budget_of(model, trio.current_time())
        return RetryPolicy(self._settings, self._backoff, budget)
