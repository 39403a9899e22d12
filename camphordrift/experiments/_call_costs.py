"""Measures the replay of claim records: processor time and memory for each key.

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

#: Rate of the timestamps of keys and records, in keys per second.
_KEYS_PER_SECOND = 10.0


@dataclass(frozen=True)
class ReplayCosts:
    """Cost of replaying a claim and an outcome for each of a number of keys."""

    #: Number of keys.
    keys: int

    #: Number of records replayed.
    records: int

    #: Size of all records without their envelopes, in bytes.
    record_bytes: int

    #: Processor time of the replay, in seconds.
    replay_seconds: float

    #: Memory of the ledger after the replay, in bytes.
    ledger_bytes: int


def measure_replay(key_count: int) -> ReplayCosts:
    """Replays a claim and an outcome for each key, once for time and once for memory."""
    records = [record for number in range(key_count) for record in _records_of(number)]
    started = time.process_time()
    _replay(records)
    replay_seconds = time.process_time() - started
    gc.collect()
    tracemalloc.start()
    ledger = _replay(records)
    gc.collect()
    ledger_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert ledger.key_count == key_count, "the ledger dropped a key"
    return ReplayCosts(
        keys=key_count,
        records=len(records),
        record_bytes=sum(len(record.payload) for record in records),
        replay_seconds=replay_seconds,
        ledger_bytes=ledger_bytes,
    )


def _replay(records: list[LogRecord]) -> ClaimLedger:
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
    """Prints the costs; the first argument is the number of keys, 5000 by default."""
    costs = measure_replay(int(sys.argv[1]) if len(sys.argv) > 1 else 5000)
    print(costs)
    print(f"{costs.replay_seconds / costs.records * 1e6:.1f} microseconds per record")
    print(f"{costs.ledger_bytes / costs.keys:.0f} bytes per key")
    print(f"{costs.record_bytes / costs.keys:.0f} bytes of records per key")


if __name__ == "__main__":
    main()
