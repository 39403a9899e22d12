"""How long a VM may rely on the configuration that it has."""

from typing import Optional

#: Seconds taken off the lease for clocks that run apart and for the way to the backend server.
LEASE_MARGIN = 0.4


class ConfigurationLease:
    """Says whether the configuration was confirmed recently enough to accept keys.

    An answer of the store proves what stood there when the question was asked, so the lease counts
    from that moment. All times are seconds of a clock that goes on while the VM is suspended.
    """

    def __init__(self, duration: float, margin: float = LEASE_MARGIN) -> None:
        self._length = duration - margin
        self._confirmed: Optional[float] = None

    def confirm(self, asked: float) -> None:
        """Notes that everything written before ``asked`` has been read."""
        if self._confirmed is None or asked > self._confirmed:
            self._confirmed = asked

    def age(self, now: float) -> float:
        """Returns the seconds since the last confirmed question; infinite before the first."""
        return float("inf") if self._confirmed is None else now - self._confirmed

    def is_valid(self, now: float) -> bool:
        """Tells whether keys of the configuration may still be accepted."""
        return self.age(now) < self._length
