"""Converts call outcomes to outcome records and back."""

from typing import Optional

from camphordrift.calls._key_state import KeyFinished
from camphordrift.calls._messages import CallOutcome
from camphordrift.calls._record_codec import ClaimRecordTooNewError, decode_call_record
from camphordrift.calls._records import (
    MAX_OUTCOME_BODY_BYTES,
    ClaimRecord,
    OutcomeKind,
    OutcomeRecord,
    new_record_id,
)


def outcome_record(claim: ClaimRecord, outcome: CallOutcome) -> OutcomeRecord:
    """Returns the outcome record of a response.

    A body larger than ``MAX_OUTCOME_BODY_BYTES`` is left out.
    """
    stores_body = outcome.body_size <= MAX_OUTCOME_BODY_BYTES
    return OutcomeRecord(
        record_id=new_record_id(),
        attempt_id=claim.attempt_id,
        key=claim.key,
        kind=OutcomeKind.COMPLETED,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body if stores_body else None,
        answer_digest=outcome.answer_digest,
        body_size=outcome.body_size,
    )


def unknown_outcome_record(claim: ClaimRecord) -> OutcomeRecord:
    """Returns the outcome record of a call that was sent but got no response."""
    return OutcomeRecord(
        record_id=new_record_id(),
        attempt_id=claim.attempt_id,
        key=claim.key,
        kind=OutcomeKind.UNKNOWN,
        status=0,
        content_type="",
        body=None,
        answer_digest=b"",
        body_size=0,
    )


def outcome_from_state(finished: KeyFinished, payload: Optional[bytes]) -> CallOutcome:
    """Returns the response for a repeated call; ``payload`` is the encoded outcome record.

    If the record could not be read, the response has a status, digest and size, but no body.
    """
    return CallOutcome(
        status=finished.status,
        content_type=finished.content_type,
        body=None if payload is None else _body_from_payload(finished, payload),
        answer_digest=finished.answer_digest,
        body_size=finished.body_size,
        repeated=True,
    )


def _body_from_payload(finished: KeyFinished, payload: bytes) -> Optional[bytes]:
    try:
        record = decode_call_record(payload)
    except ClaimRecordTooNewError:
        return None
    match record:
        case OutcomeRecord(attempt_id=attempt_id, body=body) if attempt_id == finished.attempt_id:
            return body
        case _:
            return None
