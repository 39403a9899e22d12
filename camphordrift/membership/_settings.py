"""Settings of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipSettings:
    """Intervals, timeouts and limits that trade failure detection time against control traffic.

    Raises ``ValueError`` if the values are inconsistent.
    """

    #: Time between two rounds of probes by one VM, in seconds.
    probe_interval_seconds: float = 0.5

    #: Timeout of a direct probe, in seconds.
    direct_timeout_seconds: float = 0.5

    #: Timeout of the indirect probes that follow a failed direct probe, in seconds.
    indirect_timeout_seconds: float = 1.0

    #: Number of helper VMs that are asked to probe a VM after its direct probe failed.
    indirect_probe_count: int = 3

    #: Time that a suspect VM has to refute before it is declared dead, in seconds.
    suspicion_seconds: float = 2.0

    #: Time that a VM which recovered from being dead must stay alive before it is a home candidate
    #: again, in seconds.
    settle_seconds: float = 2.0

    #: A longer time between two ticks means that this process was stalled, in seconds.
    stall_threshold_seconds: float = 1.0

    #: Time after which a dead VM that the platform does not list is removed, in seconds.
    remove_dead_after_seconds: float = 600.0

    #: Largest number of live VMs for which each VM probes all others.
    full_view_limit: int = 12

    #: Number of VMs that each VM probes when there are more than ``full_view_limit``.
    partial_view_size: int = 8

    #: A dead VM is probed in every this many rounds, so that the two sides of a network partition
    #: find each other after it heals.
    dead_probe_interval: int = 5

    #: Maximum number of records in one message.
    records_per_message: int = 8

    #: Maximum number of unchanged records repeated in one message, so that missed changes are
    #: delivered eventually.
    repeated_records: int = 2

    #: Maximum number of records added to a probe response for a newly started VM.
    max_bootstrap_records: int = 64

    #: Time after its start in which a VM also records dead VMs that it did not know, in seconds.
    bootstrap_seconds: float = 30.0

    #: Refill rate of the budget for sending urgent changes at once, in bytes per second.
    push_bytes_per_second: float = 1024.0

    #: Capacity of that budget, in bytes.
    push_burst_bytes: float = 8192.0

    def __post_init__(self) -> None:
        if min(self.probe_interval_seconds, self.direct_timeout_seconds) <= 0:
            raise ValueError("probe interval and direct probe timeout must be positive")
        if self.suspicion_seconds < self.direct_timeout_seconds:
            raise ValueError("suspicion time must not be shorter than the direct probe timeout")
        if self.partial_view_size < 3:
            raise ValueError("partial view size must be at least 3")

    @property
    def max_probe_seconds(self) -> float:
        """Longest duration of a probe with its indirect probes, unless this process stalls."""
        return self.direct_timeout_seconds + self.indirect_timeout_seconds
