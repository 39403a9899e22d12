"""Limits retries to a service, so that an outage is not amplified by retry traffic."""

from collections import deque

from camphordrift.relay.model import RetryBudgetSettings

#: Fraction of the total slack that is divided among the VMs. The rest is a reserve, because VMs
#: start and stop and their windows slide independently.
SLACK_SHARE = 0.6

#: Fraction of the ratio that is used, because requests that allowed a retry leave the sliding
#: window before the retry does.
RATIO_SHARE = 0.7


class RetryBudget:
    """One VM's share of a service's retry budget; needs no communication with other VMs."""

    def __init__(self, settings: RetryBudgetSettings, vm_count: int) -> None:
        self._settings = settings
        self.set_vm_count(vm_count)
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Records a request from a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def has_retry(self, now: float) -> bool:
        """Returns whether the budget permits another retry."""
        self._drop_expired(now)
        allowed = self._slack + self._settings.ratio * RATIO_SHARE * len(self._requests)
        return len(self._retries) + 1 <= allowed

    def try_retry(self, now: float) -> bool:
        """Spends one retry; returns ``False`` if the budget is exhausted."""
        if not self.has_retry(now):
            return False
        self._retries.append(now)
        return True

    def set_vm_count(self, vm_count: int) -> None:
        """Sets the number of VMs that share the slack."""
        self._slack = self._settings.slack * SLACK_SHARE / max(vm_count, 1)

    def _drop_expired(self, now: float) -> None:
        for timestamps in (self._requests, self._retries):
            while timestamps and timestamps[0] <= now - self._settings.window:
                timestamps.popleft()
