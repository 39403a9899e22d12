"""What a state dump shows of calls."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PartitionState:
    """One claims stream as this process has folded it."""

    #: The partition.
    partition: int

    #: The offset after the newest record folded.
    next_offset: int

    #: The newest time that the log gave a record, in seconds since 1970.
    log_time: float

    #: Keys made before this are refused, in seconds since 1970.
    oldest_decidable_key: float

    #: Keys that are remembered.
    key_count: int

    #: True if a newer version's record stops this process from deciding.
    undecidable: bool


@dataclass(frozen=True)
class CallInFlight:
    """One call that this process is handling."""

    #: The client account.
    account_id: str

    #: The idempotency key.
    key: str

    #: The attempt's name.
    attempt_id: str

    #: How far it has come.
    stage: str


@dataclass(frozen=True)
class CallCounts:
    """Totals since the start of the process."""

    #: Calls that came with a key and had to be claimed.
    keyed_calls: int = 0

    #: Claims given to the log.
    claims_appended: int = 0

    #: Voids and outcomes given to the log.
    background_records: int = 0

    #: Calls handed to a backend server.
    dispatched: int = 0

    #: Callers that got an earlier call's answer.
    repeats_answered: int = 0

    #: Callers that were refused.
    refused: int = 0


@dataclass(frozen=True)
class CallsState:
    """What this process knows of calls that may not be repeated."""

    #: The claims streams.
    partitions: tuple[PartitionState, ...]

    #: Calls being handled.
    in_flight: tuple[CallInFlight, ...]

    #: Outcomes and voids that the log has not taken yet.
    pending_records: int

    #: Memory of recent answers, in bytes.
    cached_outcome_bytes: int

    #: Totals.
    counts: CallCounts
