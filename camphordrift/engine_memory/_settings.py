"""Times of memory holds."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HoldSettings:
    """How holds are renewed and how soon lost ones are released."""

    #: A hold that was not renewed for this long is no live owner's any more, in seconds.
    lease_seconds: float = 30.0

    #: How often an owner renews its holds, in seconds.
    renew_every_seconds: float = 8.0

    #: A request to an engine takes effect within this time or never, in seconds.
    request_timeout_seconds: float = 5.0

    #: The most that an engine's clock and a VM's clock may drift apart in one lease, in seconds.
    max_clock_drift_seconds: float = 1.0

    #: How long a VM must have been missing from the list of VMs before it counts as gone, in
    #: seconds.
    gone_after_seconds: float = 10.0

    #: How often an engine's holds are compared with what owners claim, in seconds.
    interval_seconds: float = 5.0

    def __post_init__(self) -> None:
        if self.usable_seconds <= self.renew_every_seconds + self.request_timeout_seconds:
            raise ValueError("a hold must be renewable at least once before it is given up")

    @property
    def usable_seconds(self) -> float:
        """How long an owner may use a hold after it asked for it or renewed it.

        Shorter than the lease by the time in which a renewal can take effect and by the drift, so
        that a hold whose age has reached the lease cannot be renewed any more.
        """
        return self.lease_seconds - self.request_timeout_seconds - self.max_clock_drift_seconds

    @property
    def unclaimed_bound_seconds(self) -> float:
        """Time in which a hold that its live owner does not claim is released.

        One interval and the three requests of a round: list, ask, release.
        """
        return self.interval_seconds + 3 * self.request_timeout_seconds

    def dead_owner_bound_seconds(self, list_lag_seconds: float) -> float:
        """Returns the time in which a dead owner's hold is released.

        ``list_lag_seconds`` is how late the platform takes a VM off its list.
        """
        known_gone = list_lag_seconds + self.gone_after_seconds
        return max(known_gone, self.lease_seconds) + self.unclaimed_bound_seconds
