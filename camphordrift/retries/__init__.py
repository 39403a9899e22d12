"""Retry policy, retry budgets and circuit breakers for requests to backend servers."""

from camphordrift.retries._backoff import Backoff, BackoffSettings
from camphordrift.retries._breaker import (
    AttemptResult,
    BreakerState,
    CircuitBreaker,
    CircuitBreakers,
    CircuitBreakerSettings,
    Closed,
    HalfOpen,
    Open,
    Permit,
)
from camphordrift.retries._budget import RetryBudget, RetryBudgets, RetryBudgetSettings
from camphordrift.retries._classification import AttemptError, Classification, classify
from camphordrift.retries._policy import (
    GiveUp,
    Retry,
    RetryDecision,
    RetryPolicy,
    RetryPolicySettings,
)

__all__ = [
    "AttemptError",
    "AttemptResult",
    "Backoff",
    "BackoffSettings",
    "BreakerState",
    "CircuitBreaker",
    "CircuitBreakerSettings",
    "CircuitBreakers",
    "Classification",
    "Closed",
    "GiveUp",
    "HalfOpen",
    "Open",
    "Permit",
    "Retry",
    "RetryBudget",
    "RetryBudgetSettings",
    "RetryBudgets",
    "RetryDecision",
    "RetryPolicy",
    "RetryPolicySettings",
    "classify",
]
