"""Functions that build claim, void and outcome records, and a claims stream for tests."""

from camphordrift.calls import (
    CallKey,
    Claimant,
    ClaimDecision,
    ClaimLedger,
    ClaimRecord,
    OutcomeKind,
    OutcomeRecord,
    VoidRecord,
    encode_call_record,
)
from camphordrift.calls._records import CallRecord, new_record_id
from camphordrift.experiments._call_service import WALL_START
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.platform_log import LogRecord

BOOKING_DIGEST = b"booking"
OTHER_DIGEST = b"other"


def claim(key: CallKey, attempt_id: str, digest: bytes = BOOKING_DIGEST) -> ClaimRecord:
    return ClaimRecord(
        record_id=new_record_id(),
        attempt_id=attempt_id,
        key=key,
        body_digest=digest,
        claimant=Claimant(vm_id=VmId("vm-1"), incarnation=Incarnation(1)),
        dispatch_within_seconds=5.0,
        run_timeout_seconds=30.0,
    )


def void(key: CallKey, attempt_id: str) -> VoidRecord:
    return VoidRecord(record_id=new_record_id(), attempt_id=attempt_id, key=key)


def outcome(
    key: CallKey, attempt_id: str, kind: OutcomeKind = OutcomeKind.COMPLETED, status: int = 201
) -> OutcomeRecord:
    return OutcomeRecord(
        record_id=new_record_id(),
        attempt_id=attempt_id,
        key=key,
        kind=kind,
        status=status,
        content_type="application/json",
        body=b"{}",
        answer_digest=b"digest",
        body_size=2,
    )


class ClaimStream:
    """A claims stream and a ledger that has applied all its records."""

    def __init__(self, key_max_age_seconds: float = 3600.0, first_offset: int = 0) -> None:
        self.ledger = ClaimLedger(key_max_age_seconds)
        self.records: list[LogRecord] = []
        self._next_offset = first_offset
        if first_offset > 0:
            self.ledger.record_gap()

    def append(self, record: CallRecord, at: float = WALL_START) -> "ClaimDecision | None":
        log_record = LogRecord(
            offset=self._next_offset, payload=encode_call_record(record), appended_at=at
        )
        self._next_offset += 1
        self.records.append(log_record)
        decision = self.ledger.apply(log_record)
        self.ledger.check_invariants()
        return decision

    def grants(self, record: ClaimRecord, at: float = WALL_START) -> bool:
        decision = self.append(record, at)
        assert decision is not None
        return decision.granted
