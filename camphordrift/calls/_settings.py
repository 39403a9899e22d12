"""Time limits of claims and of the calls that they permit."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallSettings:
    """Time limits of calls that may run at most once."""

    #: Keys older than this are refused and removed from memory, in seconds. Keep it below three
    #: quarters of the retention time of the log.
    key_max_age_seconds: float = 12 * 3600.0

    #: Timeout of the decision on a claim, in seconds; then the call is refused as not run.
    claim_wait_seconds: float = 2.0

    #: A call is sent at most this long after its claim was created, in seconds.
    dispatch_within_seconds: float = 5.0

    #: Upper bound of the timeout of a dispatched call, in seconds, whatever its deadline.
    longest_run_seconds: float = 60.0

    #: A stream without records for this long gets a heartbeat record, in seconds.
    heartbeat_interval_seconds: float = 1800.0

    def __post_init__(self) -> None:
        if self.claim_wait_seconds > self.dispatch_within_seconds:
            raise ValueError("claim_wait_seconds must not exceed dispatch_within_seconds")
        if self.heartbeat_interval_seconds >= self.key_max_age_seconds:
            raise ValueError("heartbeat_interval_seconds must be below key_max_age_seconds")
