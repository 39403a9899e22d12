"""Numbers of the log client."""

from dataclasses import dataclass
from typing import Optional


@dataclass(frozen=True)
class WriterSettings:
    """How a VM appends to the log."""

    #: This VM's share of the service's appends per second, over all streams.
    appends_per_second: float = 30.0

    #: Appends that may follow one another at once after a pause.
    burst_appends: float = 10.0

    #: Records in one append at most.
    batch_records: int = 500

    #: Bytes in one append at most, unless a single record is larger.
    batch_bytes: int = 1_000_000

    #: An append without an answer for this long counts as unsure, in seconds.
    answer_timeout_seconds: float = 2.0

    #: A read without an answer for this long is given up, in seconds.
    read_timeout_seconds: float = 10.0

    #: An unsure append that is not found is repeated under its ids after this time, in seconds;
    #: ``None`` only reads on.
    reappend_after_seconds: Optional[float] = 1.0

    #: First and longest delay between attempts, in seconds.
    first_backoff_seconds: float = 0.05
    maximum_backoff_seconds: float = 2.0

    def __post_init__(self) -> None:
        if self.batch_records < 1 or self.batch_bytes < 1:
            raise ValueError("a batch must have room for at least one record")
        if self.answer_timeout_seconds <= 0 or self.read_timeout_seconds <= 0:
            raise ValueError("timeouts must be positive")


@dataclass(frozen=True)
class FollowerSettings:
    """How a VM reads a stream."""

    #: Time between reads while there is nothing new, in seconds.
    poll_seconds: float = 0.25

    #: Records in one read at most.
    read_records: int = 1_000

    #: A read without an answer for this long is given up, in seconds.
    read_timeout_seconds: float = 10.0

    #: First and longest delay between reads that fail, in seconds.
    first_backoff_seconds: float = 0.1
    maximum_backoff_seconds: float = 1.0

    #: Record ids that are remembered to drop duplicates.
    remembered_record_ids: int = 65_536

    def __post_init__(self) -> None:
        if self.poll_seconds <= 0 or self.read_timeout_seconds <= 0:
            raise ValueError("the poll interval and the timeout must be positive")
        if self.read_records < 1:
            raise ValueError(f"read_records must be at least 1: {self.read_records}")
