"""Times and fractions of the limits of client accounts."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LimiterSettings:
    """Trades control traffic against how fast shares move."""

    #: Part of a limit that VMs without a lease may use, all together; each has an equal share.
    safe_fraction: float = 0.1

    #: How long a lease of a share holds, in seconds.
    lease_seconds: float = 6.0

    #: A VM that has refused requests, or needs much less than it has, asks this often, in seconds.
    #: Otherwise it asks when half of its lease has passed.
    renew_seconds: float = 1.0

    #: A VM without a lease, or whose demand has jumped, asks this often, in seconds.
    urgent_renew_seconds: float = 0.25

    #: An account without requests for so long is not asked for, in seconds.
    idle_after_seconds: float = 3.0

    #: What may be saved up of a rate, in seconds of it.
    burst_seconds: float = 1.0

    #: The demand that is asked for, as a multiple of the demand seen.
    headroom: float = 1.25

    #: Over this time demand is averaged, in seconds.
    demand_window_seconds: float = 2.0

    #: Requests that this VM runs at once for all accounts.
    maximum_running: int = 4096

    #: From this part of ``maximum_running`` on, accounts over their weighted share are refused.
    contended_fraction: float = 0.8

    #: Control bytes a second for asking; with many accounts, leases are renewed less often, and
    #: accounts that have refused nothing wait.
    ask_bytes_per_second: float = 2048.0

    #: Such bytes that can be saved up.
    ask_burst_bytes: float = 8192.0

    #: Control bytes a second for the leases of one account at its home VM; with many VMs that
    #: refuse its requests, they are told to ask less often.
    home_bytes_per_second: float = 4096.0

    def __post_init__(self) -> None:
        if not 0 < self.safe_fraction < 1:
            raise ValueError("safe_fraction must lie between 0 and 1")
        if self.lease_seconds < 2 * self.renew_seconds:
            raise ValueError("a lease must outlast at least two renewals")
        if self.maximum_running < 1:
            raise ValueError("a VM must run at least one request")
