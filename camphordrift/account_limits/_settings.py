"""Settings for the enforcement of client accounts' limits."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LimiterSettings:
    """Settings of leases, token buckets and control traffic.

    Shorter times make shares follow a change of demand faster, but cause more control traffic.
    """

    #: Fraction of a limit that the VMs without a lease may use. Each of them has an equal part of
    #: it as its fallback share: the fraction divided by the number of known VMs.
    fallback_fraction: float = 0.1

    #: Minimum duration of a lease in seconds; it is longer while leases are renewed less often.
    lease_seconds: float = 6.0

    #: Seconds between the lease requests of a VM that has refused requests or needs much less than
    #: its share. Other VMs renew a lease after half of its duration.
    renew_seconds: float = 1.0

    #: Minimum number of seconds between lease requests for an account. It applies to a VM without a
    #: lease, and to one whose demand has increased sharply.
    urgent_renew_seconds: float = 0.25

    #: Seconds without requests after which an account is idle and needs no lease.
    idle_after_seconds: float = 3.0

    #: Burst capacity of a token bucket, as the number of seconds in which its rate would fill it.
    burst_seconds: float = 1.0

    #: Factor by which the requested demand exceeds the measured demand.
    headroom: float = 1.25

    #: Length in seconds of the window over which demand is averaged.
    demand_window_seconds: float = 2.0

    #: Maximum number of concurrent requests on this VM, over all accounts.
    max_running_requests: int = 4096

    #: Fraction of ``max_running_requests`` at which the VM starts to refuse accounts that run more
    #: requests than their weighted share.
    contended_fraction: float = 0.8

    #: Maximum rate of lease requests that a VM sends, in bytes per second. With many accounts,
    #: leases are renewed less often, and accounts with refused requests come first.
    request_bytes_per_second: float = 2048.0

    #: Size in bytes of the burst that this rate limit allows after an idle period.
    request_burst_bytes: float = 8192.0

    #: Maximum rate of lease requests that a home VM gets for one account, in bytes per second. If
    #: many VMs have leases of the account, the home VM makes them renew less often.
    home_bytes_per_second: float = 4096.0

    def __post_init__(self) -> None:
        if not 0 < self.fallback_fraction < 1:
            raise ValueError("fallback_fraction must be between 0 and 1")
        if self.lease_seconds < 2 * self.renew_seconds:
            raise ValueError("lease_seconds must be at least twice renew_seconds")
        if self.max_running_requests < 1:
            raise ValueError("max_running_requests must be at least 1")
