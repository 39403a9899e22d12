"""Decides whether a failed attempt is retried."""

from dataclasses import dataclass
from typing import Optional, Union

from camphordrift import results
from camphordrift.results import ResultCode, RunState
from camphordrift.retries._backoff import Backoff
from camphordrift.retries._budget import RetryBudget
from camphordrift.retries._classification import AttemptError, Classification, classify


@dataclass(frozen=True)
class RetryPolicySettings:
    """Limits for the retries of one request; raises ``ValueError`` if it allows no attempt."""

    #: Maximum number of attempts of one request, including the first.
    maximum_attempts: int = 4

    #: Minimum number of seconds that must remain until the deadline for a further attempt.
    minimum_attempt_seconds: float = 0.05

    #: Run state to report for a failed request that may have run. ``FAILED`` suits generation
    #: requests, which have no effect besides their output.
    state_if_may_have_run: RunState = RunState.OUTCOME_UNKNOWN

    def __post_init__(self) -> None:
        if self.maximum_attempts < 1:
            raise ValueError("maximum_attempts must be at least 1")


@dataclass(frozen=True)
class Retry:
    """The decision to make another attempt, on a new connection."""

    #: Seconds to wait before the attempt.
    delay_seconds: float

    #: Whether any attempt so far may have run; the caller passes it to the next decision.
    may_have_run: bool


@dataclass(frozen=True)
class GiveUp:
    """The decision to end the request with a failure."""

    #: The failure to return to the caller.
    failure: results.Failure


RetryDecision = Union[Retry, GiveUp]


class RetryPolicy:
    """Allows a retry if no attempt can have run, or if the request may run twice.

    The deadline, the maximum number of attempts and the retry budget limit the retries.

    Example::

        decision = policy.decide(1, error, repeatable=True, remaining_seconds=3.0, now=now)
        match decision:
            case Retry(delay_seconds, may_have_run):
                ...
            case GiveUp(failure):
                ...
    """

    def __init__(
        self, settings: RetryPolicySettings, backoff: Backoff, budget: RetryBudget
    ) -> None:
        self._settings = settings
        self._backoff = backoff
        self._budget = budget

    def on_first_attempt(self, now: float) -> None:
        """Records the first attempt of a request, which adds to the budget."""
        self._budget.on_first_attempt(now)

    def decide(
        self,
        attempt: int,
        error: AttemptError,
        repeatable: bool,
        remaining_seconds: float,
        now: float,
        earlier_may_have_run: bool = False,
    ) -> RetryDecision:
        """Returns whether to retry after the failure of attempt number ``attempt``, from 1.

        ``repeatable`` is true if the request may run twice. The failure in :class:`GiveUp` has the
        run state "not run" only if neither this attempt nor an earlier one can have run.
        """
        classification = classify(error)
        may_have_run = classification.may_have_run or earlier_may_have_run
        if may_have_run and not repeatable:
            return GiveUp(_not_repeatable_failure(classification))
        if not classification.retryable or attempt >= self._settings.maximum_attempts:
            return GiveUp(self._failure(classification.code, classification, may_have_run))
        delay = self._backoff.delay_after(attempt, classification.retry_after_seconds)
        if delay + self._settings.minimum_attempt_seconds > remaining_seconds:
            return GiveUp(self._failure(classification.code, classification, may_have_run))
        if not self._budget.try_withdraw(now):
            return GiveUp(
                self._failure(ResultCode.RETRY_BUDGET_SPENT, classification, may_have_run, 1.0)
            )
        return Retry(delay, may_have_run)

    def _failure(
        self,
        code: ResultCode,
        classification: Classification,
        may_have_run: bool,
        retry_after: Optional[float] = None,
    ) -> results.Failure:
        """Returns a failure whose run state covers all attempts of the request."""
        state = self._settings.state_if_may_have_run if may_have_run else RunState.NOT_RUN
        return results.Failure(
            code=code,
            detail=classification.detail,
            retry_after_seconds=retry_after or classification.retry_after_seconds,
            run_state_override=state,
        )


def _not_repeatable_failure(classification: Classification) -> results.Failure:
    """Returns the failure of a request that must not be retried, because it may have run."""
    if classification.code is ResultCode.BACKEND_REFUSED:
        return results.Failure(
            classification.code, classification.detail, run_state_override=RunState.OUTCOME_UNKNOWN
        )
    return results.Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, classification.detail)
