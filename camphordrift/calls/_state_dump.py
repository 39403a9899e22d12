"""Builds the parts of the state dump that list claims streams and calls in flight."""

from collections.abc import Iterable, Sequence

from camphordrift.calls._attempt import ClaimAttempt
from camphordrift.calls._ledger import ClaimLedger
from camphordrift.calls._state import CallInFlight, PartitionState


def partition_states(ledgers: Sequence[ClaimLedger]) -> tuple[PartitionState, ...]:
    """Returns the state of each claims stream, in order of the partition numbers."""
    return tuple(
        PartitionState(
            partition=number,
            next_offset=ledger.next_offset,
            log_time=ledger.log_time,
            oldest_decidable_key=ledger.oldest_decidable_key,
            key_count=ledger.key_count,
            undecidable=ledger.undecidable,
        )
        for number, ledger in enumerate(ledgers)
    )


def calls_in_flight(attempts: Iterable[ClaimAttempt]) -> tuple[CallInFlight, ...]:
    """Describes the attempts that are still running in this process."""
    return tuple(
        CallInFlight(
            account_id=attempt.claim.key.account_id,
            key=str(attempt.claim.key.value),
            attempt_id=attempt.attempt_id,
            stage=attempt.stage.value,
        )
        for attempt in attempts
    )
