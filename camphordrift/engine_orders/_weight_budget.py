"""Limits how often a lease holder orders loads, within its share of the weight store's rate."""

from returns import result

from camphordrift.results import Failure, ResultCode


class WeightStoreBudget:
    """A token bucket that keeps the loads of all VMs within the weight store's rate limit.

    Each lease for engine orders gets the fraction ``share`` of ``loads_per_second`` and of
    ``burst_loads``. A new lease holder starts with an empty bucket, so that it and the previous
    holder together stay within the rate.
    """

    def __init__(self, loads_per_second: float, burst_loads: float, share: float, now: float):
        if loads_per_second <= 0 or burst_loads < 1 or not 0 < share <= 1:
            raise ValueError(
                "loads_per_second must be positive, burst_loads at least 1, and share above 0 and "
                "at most 1"
            )
        self._loads_per_second = loads_per_second * share
        self._burst_loads = max(1.0, burst_loads * share)
        self._available_loads = 0.0
        self._updated_at = now

    @property
    def available_loads(self) -> float:
        """Number of loads left after the last call of :meth:`try_spend` or :meth:`clear`."""
        return self._available_loads

    def try_spend(self, now: float) -> result.Result[None, Failure]:
        """Spends one load; fails with ``WEIGHT_STORE_BUSY`` and a retry delay if none is left."""
        elapsed = max(0.0, now - self._updated_at)
        self._available_loads = min(
            self._burst_loads, self._available_loads + elapsed * self._loads_per_second
        )
        self._updated_at = max(now, self._updated_at)
        if self._available_loads < 1.0:
            wait_seconds = (1.0 - self._available_loads) / self._loads_per_second
            detail = "this lease holder's share of the weight store's rate limit is exhausted"
            return result.Failure(
                Failure(ResultCode.WEIGHT_STORE_BUSY, detail, retry_after_seconds=wait_seconds)
            )
        self._available_loads -= 1.0
        return result.Success(None)

    def clear(self, now: float) -> None:
        """Empties the bucket at the start of a lease term."""
        self._available_loads = 0.0
        self._updated_at = now
