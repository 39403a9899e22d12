"""How long claims are good for."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CallSettings:
    """Times that govern calls that may not be repeated."""

    #: Keys older than this are refused and forgotten, in seconds. Keep it below three quarters of
    #: the time for which the log keeps records.
    key_max_age_seconds: float = 12 * 3600.0

    #: How long a caller waits for its claim's verdict before it is refused as not run, in seconds.
    claim_wait_seconds: float = 2.0

    #: A call is sent at most this long after its claim was made, in seconds.
    dispatch_within_seconds: float = 5.0

    #: A call is given up this long after it was sent, in seconds, however much time is left.
    longest_run_seconds: float = 60.0

    #: A stream without records for this long gets a mark, in seconds.
    heartbeat_interval_seconds: float = 1800.0

    def __post_init__(self) -> None:
        if self.claim_wait_seconds > self.dispatch_within_seconds:
            raise ValueError("claim_wait_seconds must not exceed dispatch_within_seconds")
        if self.heartbeat_interval_seconds >= self.key_max_age_seconds:
            raise ValueError("heartbeat_interval_seconds must be below key_max_age_seconds")
