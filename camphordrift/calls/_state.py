"""Data classes for the state dump of at-most-once calls."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PartitionState:
    """State of one claims stream after the records that this process has applied."""

    #: Number of the partition.
    partition: int

    #: The offset after the last applied record.
    next_offset: int

    #: The latest append time of a record, in seconds since 1970 by the log's clock.
    log_time: float

    #: Creation time in seconds since 1970; keys created earlier are refused as too old.
    oldest_decidable_key: float

    #: Number of keys of this partition whose state is in memory.
    key_count: int

    #: True if a record of a newer format prevents this process from deciding on claims.
    undecidable: bool


@dataclass(frozen=True)
class CallInFlight:
    """One call in flight in this process."""

    #: The client account.
    account_id: str

    #: The idempotency key.
    key: str

    #: Identifier of the attempt.
    attempt_id: str

    #: Value of the attempt's :class:`AttemptStage`.
    stage: str


@dataclass(frozen=True)
class CallCounts:
    """Totals since the start of the process."""

    #: Calls with a valid key that may run at most once.
    keyed_calls: int = 0

    #: Claims sent to the log.
    claims_appended: int = 0

    #: Outcome and void records queued for the log.
    background_records: int = 0

    #: Calls whose dispatch was permitted.
    dispatched: int = 0

    #: Calls answered with the recorded response of an earlier call.
    repeats_answered: int = 0

    #: Calls that were refused, and calls that failed, whether or not they were sent.
    refused: int = 0


@dataclass(frozen=True)
class CallsState:
    """State of the at-most-once calls in this process."""

    #: The claims streams.
    partitions: tuple[PartitionState, ...]

    #: Calls in flight.
    in_flight: tuple[CallInFlight, ...]

    #: Outcome and void records that the log has not stored yet.
    pending_records: int

    #: Size in bytes of the cached responses.
    cached_outcome_bytes: int

    #: Numbers of calls and records since the start of the process.
    counts: CallCounts
