"""A holder's share of the weight store's rate."""

from returns import result

from camphordrift.results import Failure, ResultCode


class WeightStoreBudget:
    """Counts loads against the weight store's rate, so that it is never exceeded over the fleet.

    Each lease for giving orders has ``share`` of the rate. A new holder starts with nothing saved
    up, so that the holder before it and the new one together stay within the rate.
    """

    def __init__(self, loads_per_second: float, burst_loads: float, share: float, now: float):
        if loads_per_second <= 0 or burst_loads < 1 or not 0 < share <= 1:
            raise ValueError("the rate must be positive, the burst at least 1, the share up to 1")
        self._loads_per_second = loads_per_second * share
        self._burst_loads = max(1.0, burst_loads * share)
        self._saved = 0.0
        self._saved_at = now

    @property
    def saved_loads(self) -> float:
        """Loads that were saved up when the budget was last asked."""
        return self._saved

    def try_spend(self, now: float) -> result.Result[None, Failure]:
        """Takes one load, or says when to ask again."""
        elapsed = max(0.0, now - self._saved_at)
        self._saved = min(self._burst_loads, self._saved + elapsed * self._loads_per_second)
        self._saved_at = max(now, self._saved_at)
        if self._saved < 1.0:
            wait_seconds = (1.0 - self._saved) / self._loads_per_second
            detail = "the weight store's rate limit is used up"
            return result.Failure(
                Failure(ResultCode.WEIGHT_STORE_BUSY, detail, retry_after_seconds=wait_seconds)
            )
        self._saved -= 1.0
        return result.Success(None)

    def empty(self, now: float) -> None:
        """Gives up what was saved, when a lease is taken over."""
        self._saved = 0.0
        self._saved_at = now
