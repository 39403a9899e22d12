"""Settings of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipSettings:
    """Intervals, timeouts and limits that trade failure detection time against control traffic.

    Raises ``ValueError`` if the values are inconsistent.
    """

    #: Seconds between two rounds of probes by one VM.
    probe_interval_seconds: float = 0.5

    #: Timeout in seconds of a direct probe.
    direct_timeout_seconds: float = 0.5

    #: Timeout in seconds of the indirect probes that follow a failed direct probe.
    indirect_timeout_seconds: float = 1.0

    #: Number of other VMs (helpers) that are asked to probe a VM after its direct probe failed.
    indirect_probe_count: int = 3

    #: Seconds that a suspect VM has to refute the suspicion before it is declared dead.
    suspicion_seconds: float = 2.0

    #: Seconds that a VM which recovered from being dead must stay alive before it is a home
    #: candidate again.
    settle_seconds: float = 2.0

    #: If more than this number of seconds passes between two ticks, this process was stalled.
    stall_threshold_seconds: float = 1.0

    #: Seconds after which a dead VM that the platform does not list is removed.
    remove_dead_after_seconds: float = 600.0

    #: Maximum number of live VMs at which each VM still probes all others.
    full_view_limit: int = 12

    #: Number of VMs that each VM probes when there are more than ``full_view_limit``.
    partial_view_size: int = 8

    #: Number of probe rounds per probe of a dead VM. Dead VMs are probed so that the two sides of a
    #: network partition find each other after it heals.
    dead_probe_interval: int = 5

    #: Maximum number of records in one message.
    records_per_message: int = 8

    #: Maximum number of unchanged records repeated in one message, so that missed changes are
    #: delivered eventually.
    repeated_records: int = 2

    #: Maximum number of records added to a probe response for a newly started VM.
    max_bootstrap_records: int = 64

    #: Seconds after the start of a VM during which it also records VMs of which it learns only once
    #: they are dead; later it ignores them.
    bootstrap_seconds: float = 30.0

    #: Bytes per second by which the budget for sending urgent changes at once is refilled.
    push_bytes_per_second: float = 1024.0

    #: Maximum size in bytes of the budget for sending urgent changes at once.
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
        """Maximum seconds for a direct and its indirect probes, unless this process stalls."""
        return self.direct_timeout_seconds + self.indirect_timeout_seconds
