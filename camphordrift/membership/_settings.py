"""Times and sizes of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipSettings:
    """Trades detection time against control traffic."""

    #: Time between two probes of one VM, in seconds.
    probe_interval_seconds: float = 0.5

    #: How long a probed VM has to answer, in seconds.
    direct_timeout_seconds: float = 0.5

    #: How long other VMs have to reach it instead, in seconds.
    indirect_timeout_seconds: float = 1.0

    #: Through how many other VMs it is probed.
    indirect_probes: int = 3

    #: How long a suspect has to refute, in seconds.
    suspicion_seconds: float = 2.0

    #: A VM that returned is not chosen as home until it has been alive for so long, in seconds.
    settle_seconds: float = 2.0

    #: A longer time between two ticks means that this process was paused, in seconds.
    pause_gap_seconds: float = 1.0

    #: A dead VM that the platform does not list is forgotten after this long, in seconds.
    forget_after_seconds: float = 600.0

    #: Up to so many VMs, each probes all others.
    full_view_limit: int = 12

    #: With more VMs, each probes this many others.
    partial_view_size: int = 8

    #: One probe in so many goes to a dead VM, so that both sides of a healed split meet again.
    dead_probe_share: int = 5

    #: Most records in one message.
    records_per_message: int = 8

    #: Records in one message that repeat what is not news, so that missed news arrive in the end.
    repeated_records: int = 2

    #: Most records that a VM which has just started is told in one answer.
    introduction_records: int = 64

    #: For so long after its start a VM notes dead VMs that it did not know, in seconds.
    introduction_seconds: float = 30.0

    #: Control bytes a second for telling news at once rather than with the next probe.
    push_bytes_per_second: float = 1024.0

    #: Such bytes that can be saved up.
    push_burst_bytes: float = 8192.0

    def __post_init__(self) -> None:
        if min(self.probe_interval_seconds, self.direct_timeout_seconds) <= 0:
            raise ValueError("probe interval and timeout must be positive")
        if self.suspicion_seconds < self.direct_timeout_seconds:
            raise ValueError("a suspect needs at least one probe's time to refute")
        if self.partial_view_size < 3:
            raise ValueError("a partial view needs at least 3 VMs")

    @property
    def probe_bound_seconds(self) -> float:
        """A probe, indirect ones included, is over within this time unless the process paused."""
        return self.direct_timeout_seconds + self.indirect_timeout_seconds
