"""Rate limit for appends, and backoff for failed requests to the log service."""

from random import Random

# Rounding errors can make a wait for the missing fraction of a token end slightly too early.
_ROUNDING_TOLERANCE = 1e-9


class AppendBudget:
    """Token bucket for this VM's share of the log service's append rate.

    Up to ``burst_appends`` unused appends are saved up. ``now`` is in monotonic seconds.
    """

    def __init__(self, appends_per_second: float, burst_appends: float, now: float) -> None:
        if appends_per_second <= 0 or burst_appends < 1:
            raise ValueError("appends_per_second must be positive and burst_appends at least 1")
        self._appends_per_second = appends_per_second
        self._burst_appends = burst_appends
        self._tokens = burst_appends
        self._updated_at = now

    def try_spend(self, now: float) -> bool:
        """Spends one append if available, and returns whether it was."""
        self._refill(now)
        if self._tokens < 1 - _ROUNDING_TOLERANCE:
            return False
        self._tokens -= 1
        return True

    def seconds_until_available(self, now: float) -> float:
        """Returns the number of seconds until the next append is available."""
        self._refill(now)
        missing = max(0.0, 1.0 - self._tokens)
        return missing / self._appends_per_second

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._updated_at) * self._appends_per_second
        self._tokens = min(self._burst_appends, self._tokens + gained)
        self._updated_at = max(self._updated_at, now)


class Backoff:
    """Exponential backoff with jitter, so that the VMs do not retry all at the same time."""

    def __init__(self, first_seconds: float, maximum_seconds: float, random: Random) -> None:
        if not 0 < first_seconds <= maximum_seconds:
            raise ValueError("first_seconds must be positive and at most maximum_seconds")
        self._first_seconds = first_seconds
        self._maximum_seconds = maximum_seconds
        self._random = random
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of consecutive failures."""
        return self._failures

    def next_delay(self) -> float:
        """Counts a failure and returns the number of seconds to wait before the next attempt."""
        ceiling = min(self._maximum_seconds, self._first_seconds * 2.0 ** min(self._failures, 30))
        self._failures += 1
        return self._random.uniform(ceiling / 2, ceiling)

    def reset(self) -> None:
        """Resets the failure count after a success."""
        self._failures = 0
