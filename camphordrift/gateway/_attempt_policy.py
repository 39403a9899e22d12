"""Decides what follows a failed attempt at a generation request."""

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

#: Attempts at one request, the first included.
MAX_ATTEMPTS = 6

#: An engine that dies breaks all answers that it was giving, so continuing them needs more saved
#: retries than a service whose calls fail one by one. The scheduler bounds what they add in load:
#: a continued answer waits for its grant like any other.
GENERATION_BUDGET = RetryBudgetSettings(
    retries_per_request=0.5, minimum_retries_per_second=10.0, maximum_saved_retries=300.0
)


@dataclass(frozen=True)
class FailedAttempt:
    """An attempt that did not lead to a whole answer."""

    #: The request.
    request_id: RequestId

    #: The model that was asked for.
    model: ModelName

    #: The engine.
    engine_id: BackendServerId

    #: Number of the attempt, from 1.
    attempt: int

    #: Why it failed.
    error: AttemptError

    #: Time left for the whole request, in seconds.
    remaining_seconds: float

    #: Whether an earlier attempt may have run.
    earlier_may_have_run: bool


class AttemptPolicy(Protocol):
    """Decides about further attempts."""

    def on_first_attempt(self, model: ModelName) -> None:
        """Notes a new request."""
        ...

    def on_failed(self, failed: FailedAttempt) -> RetryDecision:
        """Returns what follows ``failed``."""
        ...


class BudgetedAttemptPolicy:
    """Retries within a budget for each model, after a delay that grows.

    A generation request may always be repeated: all that it does is its answer, and tokens that
    were delivered are not generated again.
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
        """Notes a new request, which adds to its model's budget."""
        self._policy_of(model).on_first_attempt(trio.current_time())

    def on_failed(self, failed: FailedAttempt) -> RetryDecision:
        """Returns what follows ``failed``."""
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
        """Returns the retries saved for each model."""
        return self._budgets.dump_state()

    def _policy_of(self, model: ModelName) -> RetryPolicy:
        budget = self._budgets.budget_of(model, trio.current_time())
        return RetryPolicy(self._settings, self._backoff, budget)
