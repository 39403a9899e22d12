"""Lease times, intervals and timeouts of memory holds."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HoldSettings:
    """How often holds are renewed and how soon orphaned ones are released."""

    #: A hold that was not renewed for this long is not in use by any live owner, in seconds.
    lease_seconds: float = 30.0

    #: Interval at which an owner renews its holds, in seconds.
    renew_every_seconds: float = 8.0

    #: A request to an engine takes effect within this time or not at all, in seconds.
    request_timeout_seconds: float = 5.0

    #: Maximum drift between an engine's clock and a VM's clock during one lease, in seconds.
    max_clock_drift_seconds: float = 1.0

    #: How long a VM must be missing before it is treated as removed, in seconds.
    missing_timeout_seconds: float = 10.0

    #: Interval at which an engine's holds are compared with the owners' claims, in seconds.
    interval_seconds: float = 5.0

    def __post_init__(self) -> None:
        if self.usable_seconds <= self.renew_every_seconds + self.request_timeout_seconds:
            raise ValueError(
                "usable_seconds must exceed renew_every_seconds + request_timeout_seconds, so that "
                "a hold can be renewed at least once before it expires"
            )

    @property
    def usable_seconds(self) -> float:
        """How long an owner may use a hold after it sent the placement or renewal, in seconds.

        Shorter than the lease by the time within which a renewal can take effect and by the clock
        drift, so that a hold can no longer be renewed once its age has reached the lease.
        """
        return self.lease_seconds - self.request_timeout_seconds - self.max_clock_drift_seconds

    @property
    def unclaimed_bound_seconds(self) -> float:
        """Upper bound of the time until a hold unclaimed by its live owner is released, in seconds.

        One interval plus the three requests of a round: list the holds, query the owner, release.
        """
        return self.interval_seconds + 3 * self.request_timeout_seconds

    def dead_owner_bound_seconds(self, list_lag_seconds: float) -> float:
        """Returns an upper bound of the time until a dead owner's hold is released, in seconds.

        ``list_lag_seconds`` is the platform's delay in removing a VM from its list.
        """
        removal_bound = list_lag_seconds + self.missing_timeout_seconds
        return max(removal_bound, self.lease_seconds) + self.unclaimed_bound_seconds
