"""Settings of calls that may run at most once."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallSettings:
    """Time limits of keys, of claims and of the calls that a granted claim permits."""

    #: Maximum age of a key in seconds. Older keys are refused and removed from memory. The value
    #: must stay below three quarters of the retention time of the log.
    key_max_age_seconds: float = 12 * 3600.0

    #: Seconds to wait for the decision on a claim. After that the call is refused as not run.
    claim_wait_seconds: float = 2.0

    #: Maximum number of seconds between the creation of a claim and the sending of its call.
    dispatch_within_seconds: float = 5.0

    #: Maximum timeout of a dispatched call in seconds; its own deadline may be earlier.
    max_run_timeout_seconds: float = 60.0

    #: Seconds without a record after which a heartbeat record is appended to a claims stream.
    heartbeat_interval_seconds: float = 1800.0

    def __post_init__(self) -> None:
        if self.claim_wait_seconds > self.dispatch_within_seconds:
            raise ValueError("claim_wait_seconds must not exceed dispatch_within_seconds")
        if self.heartbeat_interval_seconds >= self.key_max_age_seconds:
            raise ValueError("heartbeat_interval_seconds must be below key_max_age_seconds")
