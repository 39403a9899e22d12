"""What the fold of claims costs: time and memory for each key.

Run ``python -m camphordrift.experiments._call_costs [KEYS]``.
"""

import gc
import sys
import time
import tracemalloc
import uuid
from dataclasses import dataclass

from camphordrift.calls import (
    CallKey,
    Claimant,
    ClaimLedger,
    ClaimRecord,
    OutcomeKind,
    OutcomeRecord,
    encode_call_record,
)
from camphordrift.experiments._call_service import WALL_START, timed_uuid
from camphordrift.identifiers import AccountId, Incarnation, VmId
from camphordrift.platform_log import LogRecord

#: Keys made per second of the log's clock.
_KEYS_PER_SECOND = 10.0


@dataclass(frozen=True)
class FoldCosts:
    """What folding a claim and an outcome for each of some keys costs."""

    #: Keys folded.
    keys: int

    #: Records folded.
    records: int

    #: Bytes of the records, without their envelopes.
    record_bytes: int

    #: Processor time of the fold, in seconds.
    fold_seconds: float

    #: Memory that the ledger keeps, in bytes.
    ledger_bytes: int


def measure_fold(key_count: int) -> FoldCosts:
    """Folds a claim and an outcome for each key and returns the costs."""
    records = [record for number in range(key_count) for record in _records_of(number)]
    started = time.process_time()
    _fold(records)
    fold_seconds = time.process_time() - started
    gc.collect()
    tracemalloc.start()
    ledger = _fold(records)
    gc.collect()
    ledger_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert ledger.key_count == key_count, "every key is remembered"
    return FoldCosts(
        keys=key_count,
        records=len(records),
        record_bytes=sum(len(record.payload) for record in records),
        fold_seconds=fold_seconds,
        ledger_bytes=ledger_bytes,
    )


def _fold(records: list[LogRecord]) -> ClaimLedger:
    ledger = ClaimLedger(key_max_age_seconds=1e9)
    for record in records:
        ledger.apply(record)
    return ledger


def _records_of(number: int) -> tuple[LogRecord, LogRecord]:
    made_at = WALL_START + number / _KEYS_PER_SECOND
    key = CallKey(AccountId("account-7"), timed_uuid(made_at, number))
    attempt_id = uuid.uuid4().hex
    claim = ClaimRecord(
        record_id=uuid.uuid4().hex,
        attempt_id=attempt_id,
        key=key,
        body_digest=bytes(32),
        claimant=Claimant(VmId("oliwa-2"), Incarnation(1)),
        dispatch_within_seconds=5.0,
        run_timeout_seconds=30.0,
    )
    outcome = OutcomeRecord(
        record_id=uuid.uuid4().hex,
        attempt_id=attempt_id,
        key=key,
        kind=OutcomeKind.COMPLETED,
        status=201,
        content_type="application/json",
        body=bytes(200),
        answer_digest=bytes(32),
        body_size=200,
    )
    return (
        LogRecord(2 * number, encode_call_record(claim), made_at),
        LogRecord(2 * number + 1, encode_call_record(outcome), made_at),
    )


def main() -> None:
    """Prints the costs for a number of keys."""
    costs = measure_fold(int(sys.argv[1]) if len(sys.argv) > 1 else 5000)
    print(costs)
    print(f"{costs.fold_seconds / costs.records * 1e6:.1f} microseconds a record")
    print(f"{costs.ledger_bytes / costs.keys:.0f} bytes a key")
    print(f"{costs.record_bytes / costs.keys:.0f} bytes of records a key")


if __name__ == "__main__":
    main()
