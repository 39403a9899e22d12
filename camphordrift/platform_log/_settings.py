"""Settings of the log client: rates, batch sizes, timeouts and backoff."""

from dataclasses import dataclass
from typing import Optional


@dataclass(frozen=True)
class WriterSettings:
    """Settings of :class:`LogWriter`."""

    #: Maximum number of appends per second of this VM over all streams, which is its share of the
    #: service's append rate.
    appends_per_second: float = 30.0

    #: Maximum number of appends in a burst: the capacity of the token bucket that limits the rate.
    burst_appends: float = 10.0

    #: Maximum number of records in one append.
    batch_records: int = 500

    #: Maximum number of bytes in one append, unless a single record is larger.
    batch_bytes: int = 1_000_000

    #: Timeout in seconds of an append, after which its outcome is unknown.
    append_timeout_seconds: float = 2.0

    #: Timeout in seconds of a read.
    read_timeout_seconds: float = 10.0

    #: Seconds after which an append with an unknown outcome is sent again, with the same record
    #: ids, if its records are not found in the stream. If ``None``, it is searched for but never
    #: sent again.
    reappend_after_seconds: Optional[float] = 1.0

    #: Seconds of backoff after the first failed attempt.
    first_backoff_seconds: float = 0.05

    #: Maximum seconds of backoff between two attempts.
    maximum_backoff_seconds: float = 2.0

    def __post_init__(self) -> None:
        if self.batch_records < 1 or self.batch_bytes < 1:
            raise ValueError("batch_records and batch_bytes must be at least 1")
        if self.append_timeout_seconds <= 0 or self.read_timeout_seconds <= 0:
            raise ValueError("append_timeout_seconds and read_timeout_seconds must be positive")


@dataclass(frozen=True)
class FollowerSettings:
    """Settings of :class:`LogFollower`."""

    #: Seconds between two reads while there are no new records.
    poll_seconds: float = 0.25

    #: Maximum number of records in one read.
    read_records: int = 1_000

    #: Timeout in seconds of a read.
    read_timeout_seconds: float = 10.0

    #: Seconds of backoff after the first failed read.
    first_backoff_seconds: float = 0.1

    #: Maximum seconds of backoff after a failed read.
    maximum_backoff_seconds: float = 1.0

    #: Number of latest record ids that are remembered, so that duplicates can be dropped.
    remembered_record_ids: int = 65_536

    def __post_init__(self) -> None:
        if self.poll_seconds <= 0 or self.read_timeout_seconds <= 0:
            raise ValueError("poll_seconds and read_timeout_seconds must be positive")
        if self.read_records < 1:
            raise ValueError(f"read_records must be at least 1: {self.read_records}")
