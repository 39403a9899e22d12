"""How fast requests to the log service may follow one another."""

from random import Random

# A wait computed from the missing part of a token can end a rounding error too early.
_ROUNDING = 1e-9


class AppendBudget:
    """A token bucket: this VM's share of the log service's appends per second."""

    def __init__(self, appends_per_second: float, burst_appends: float, now: float) -> None:
        if appends_per_second <= 0 or burst_appends < 1:
            raise ValueError("the rate of appends must be positive and the burst at least 1")
        self._appends_per_second = appends_per_second
        self._burst_appends = burst_appends
        self._tokens = burst_appends
        self._updated_at = now

    def try_spend(self, now: float) -> bool:
        """Spends one append if one is left."""
        self._refill(now)
        if self._tokens < 1 - _ROUNDING:
            return False
        self._tokens -= 1
        return True

    def seconds_until_free(self, now: float) -> float:
        """Returns how long until an append may be spent, in seconds."""
        self._refill(now)
        missing = max(0.0, 1.0 - self._tokens)
        return missing / self._appends_per_second

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._updated_at) * self._appends_per_second
        self._tokens = min(self._burst_appends, self._tokens + gained)
        self._updated_at = max(self._updated_at, now)


class Backoff:
    """Exponential delays with jitter, so that the VMs do not come back all at once."""

    def __init__(self, first_seconds: float, maximum_seconds: float, random: Random) -> None:
        if not 0 < first_seconds <= maximum_seconds:
            raise ValueError("delays must be positive and the first one the smallest")
        self._first_seconds = first_seconds
        self._maximum_seconds = maximum_seconds
        self._random = random
        self._failures = 0

    @property
    def failures(self) -> int:
        """Failures in a row."""
        return self._failures

    def next_delay(self) -> float:
        """Counts one more failure and returns how long to wait, in seconds."""
        ceiling = min(self._maximum_seconds, self._first_seconds * 2.0 ** min(self._failures, 30))
        self._failures += 1
        return self._random.uniform(ceiling / 2, ceiling)

    def reset(self) -> None:
        """Forgets the failures after a success."""
        self._failures = 0
