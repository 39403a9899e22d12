"""Limits how long a VM accepts API keys without confirming that its configuration is current."""

from typing import Optional

#: Seconds by which the lease is shortened, to allow for clock drift and for the time until a
#: request arrives at the backend server.
LEASE_MARGIN = 0.4


class ConfigurationLease:
    """Tracks whether the configuration was confirmed recently enough to accept keys.

    A response of the store proves what it contained when the read was sent, so the lease starts at
    that time. All times are seconds of a clock that also runs while the VM is suspended.

    Args:
        duration: Seconds for which a configuration may be used after it was confirmed.
        margin: Seconds by which the lease is shortened.

    """

    def __init__(self, duration: float, margin: float = LEASE_MARGIN) -> None:
        self._duration = duration - margin
        self._confirmed_at: Optional[float] = None

    def confirm(self, read_started: float) -> None:
        """Records that everything written before ``read_started`` has been read."""
        if self._confirmed_at is None or read_started > self._confirmed_at:
            self._confirmed_at = read_started

    def age(self, now: float) -> float:
        """Returns the seconds since the start of the last confirmed read; infinite before it."""
        return float("inf") if self._confirmed_at is None else now - self._confirmed_at

    def is_valid(self, now: float) -> bool:
        """Returns whether keys of the configuration may still be accepted."""
        return self.age(now) < self._duration
