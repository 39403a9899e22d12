"""Settings of the limits of client accounts."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LimiterSettings:
    """Times, fractions and byte rates of limit enforcement.

    They trade control traffic against how fast shares follow a change of demand.
    """

    #: Fraction of a limit that all VMs without a lease may use together, in equal fallback shares.
    fallback_fraction: float = 0.1

    #: Duration of a lease, in seconds.
    lease_seconds: float = 6.0

    #: Interval between lease requests of a VM that has refused requests or needs much less than its
    #: share, in seconds. Other VMs renew when half of the lease has passed.
    renew_seconds: float = 1.0

    #: Shortest interval between lease requests for an account, in seconds. A VM without a lease, or
    #: whose demand has increased sharply, uses it.
    urgent_renew_seconds: float = 0.25

    #: An account without requests for this long is idle and needs no lease, in seconds.
    idle_after_seconds: float = 3.0

    #: Burst capacity of the token buckets, in seconds of the rate.
    burst_seconds: float = 1.0

    #: Requested demand as a multiple of the measured demand.
    headroom: float = 1.25

    #: Window over which demand is averaged, in seconds.
    demand_window_seconds: float = 2.0

    #: Maximum number of concurrent requests on this VM, over all accounts.
    max_running_requests: int = 4096

    #: Fraction of ``max_running_requests`` from which accounts above their weighted share are
    #: refused.
    contended_fraction: float = 0.8

    #: Control traffic allowed for lease requests, in bytes per second. With many accounts, leases
    #: are renewed less often, and accounts without refused requests wait.
    request_bytes_per_second: float = 2048.0

    #: Burst of that control traffic, in bytes.
    request_burst_bytes: float = 8192.0

    #: Control traffic allowed at the home VM for the leases of one account, in bytes per second.
    #: If many VMs refuse its requests, they are told to renew less often.
    home_bytes_per_second: float = 4096.0

    def __post_init__(self) -> None:
        if not 0 < self.fallback_fraction < 1:
            raise ValueError("fallback_fraction must be between 0 and 1")
        if self.lease_seconds < 2 * self.renew_seconds:
            raise ValueError("lease_seconds must be at least twice renew_seconds")
        if self.max_running_requests < 1:
            raise ValueError("max_running_requests must be at least 1")
