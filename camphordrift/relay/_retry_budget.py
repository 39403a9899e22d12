"""Bounds repeated sends to a service so that an outage is not multiplied."""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True)
class RetryBudgetSettings:
    """The budget of all VMs together."""

    #: Repeats allowed for each request.
    ratio: float
    #: Repeats allowed besides, in each window.
    slack: float
    #: Length of the window in seconds.
    window: float


#: Part of the fleet's slack that is handed out, since VMs come and go and windows slide.
SLACK_SHARE = 0.6

#: Part of the ratio that is used, as requests near the window's start no longer count at its end.
RATIO_SHARE = 0.7


class RetryBudget:
    """One VM's share of the budget for one service, without talking to the others."""

    def __init__(self, terms: RetryBudgetSettings, vms: int) -> None:
        self._terms = terms
        self.set_vm_count(vms)
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Counts a caller's request."""
        self._requests.append(now)
        self._drop_expired(now)

    def try_retry(self, now: float) -> bool:
        """Takes a repeat from the budget; ``False`` if none is left."""
        self._drop_expired(now)
        allowed = self._slack + self._terms.ratio * RATIO_SHARE * len(self._requests)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def set_vm_count(self, vms: int) -> None:
        """Divides the slack by another number of VMs."""
        self._slack = self._terms.slack * SLACK_SHARE / max(vms, 1)

    def _drop_expired(self, now: float) -> None:
        for timestamps in (self._requests, self._retries):
            while timestamps and timestamps[0] <= now - self._terms.window:
                timestamps.popleft()
