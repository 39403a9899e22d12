"""Limits the load that retries add to a service, with a token bucket."""

from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True)
class RetryBudgetSettings:
    """Size and fill rates of a service's retry budget; raises ``ValueError`` on invalid values."""

    #: Retries that each first attempt adds to the budget.
    retries_per_request: float = 0.1

    #: Retries per second that are added without any request, so that a service with few requests
    #: can retry at all.
    minimum_retries_per_second: float = 0.5

    #: Maximum number of retries in the budget.
    maximum_saved_retries: float = 10.0

    def __post_init__(self) -> None:
        if not 0 <= self.retries_per_request <= 1:
            raise ValueError("retries_per_request must be between 0 and 1")
        if self.minimum_retries_per_second < 0 or self.maximum_saved_retries < 1:
            raise ValueError(
                "minimum_retries_per_second must be at least 0 and maximum_saved_retries at least 1"
            )


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    Over any period, retries are at most ``retries_per_request`` times the first attempts, plus
    ``minimum_retries_per_second`` times the period, plus ``maximum_saved_retries``. An outage
    therefore multiplies the load of a busy service by little more than 1.1.
    """

    def __init__(self, settings: RetryBudgetSettings, now: float) -> None:
        self._settings = settings
        self._available_retries = settings.maximum_saved_retries
        self._refilled_at = now

    @property
    def saved_retries(self) -> float:
        """Retries that the budget allowed at the last call; it may be a fraction."""
        return self._available_retries

    def on_first_attempt(self, now: float) -> None:
        """Records the first attempt of a request, which adds to the budget."""
        self._refill(now)
        self._add_retries(self._settings.retries_per_request)

    def try_withdraw(self, now: float) -> bool:
        """Takes one retry from the budget; returns whether one was available."""
        self._refill(now)
        if self._available_retries < 1:
            return False
        self._available_retries -= 1
        return True

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._add_retries(elapsed * self._settings.minimum_retries_per_second)

    def _add_retries(self, amount: float) -> None:
        self._available_retries = min(
            self._available_retries + amount, self._settings.maximum_saved_retries
        )


class RetryBudgets:
    """One budget for each service or model, created on first use."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._budgets: dict[Hashable, RetryBudget] = {}

    def budget_of(self, service: Hashable, now: float) -> RetryBudget:
        """Returns the budget of a configured service or model."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._settings, now)
        return self._budgets[service]

    def dump_state(self) -> dict[str, float]:
        """Returns the available retries of each service for the state dump."""
        return {str(name): round(b.saved_retries, 2) for name, b in self._budgets.items()}
