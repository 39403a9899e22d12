"""Lease times, intervals and timeouts of memory holds."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HoldSettings:
    """How often holds are renewed and how soon orphaned ones are released."""

    #: Seconds without renewal after which a hold is not in use by any live owner.
    lease_seconds: float = 30.0

    #: Seconds from sending the last confirmed placement or renewal until the owner renews the hold.
    renew_every_seconds: float = 8.0

    #: Timeout in seconds of a request to an engine or an owner. A request to an engine takes effect
    #: within this time or not at all.
    request_timeout_seconds: float = 5.0

    #: Maximum seconds by which an engine's clock and a VM's clock drift apart during one lease.
    max_clock_drift_seconds: float = 1.0

    #: Seconds for which a VM must be missing before it is treated as removed.
    missing_timeout_seconds: float = 10.0

    #: Seconds between two comparisons of an engine's holds with the owners' claims.
    interval_seconds: float = 5.0

    def __post_init__(self) -> None:
        if self.usable_seconds <= self.renew_every_seconds + self.request_timeout_seconds:
            raise ValueError(
                "usable_seconds must exceed renew_every_seconds + request_timeout_seconds, so that "
                "a hold can be renewed at least once before it expires"
            )

    @property
    def usable_seconds(self) -> float:
        """Seconds for which an owner may use a hold after it sent the placement or renewal.

        This is shorter than the lease by ``request_timeout_seconds`` and by
        ``max_clock_drift_seconds``, so that no renewal can take effect once the hold's age on the
        engine has reached the lease.
        """
        return self.lease_seconds - self.request_timeout_seconds - self.max_clock_drift_seconds

    @property
    def unclaimed_bound_seconds(self) -> float:
        """Maximum seconds until a hold that its live owner does not claim is released.

        This is one interval plus the three requests of a round: listing the holds, querying the
        owner and releasing the hold.
        """
        return self.interval_seconds + 3 * self.request_timeout_seconds

    def dead_owner_bound_seconds(self, list_lag_seconds: float) -> float:
        """Returns the maximum seconds until a dead owner's hold is released.

        ``list_lag_seconds`` is the platform's delay in seconds until a dead VM is off its list.
        """
        removal_bound = list_lag_seconds + self.missing_timeout_seconds
        return max(removal_bound, self.lease_seconds) + self.unclaimed_bound_seconds
