"""The records of a claims stream.

A claim requests the right to dispatch one call, a void record cancels a claim, and an outcome
record stores the result of a call. A heartbeat record has no content: its append time proves that
later records have not been dropped from the log.
"""

import uuid
from dataclasses import dataclass
from enum import Enum
from typing import Optional, Union

from camphordrift.calls._keys import CallKey
from camphordrift.identifiers import Incarnation, VmId

#: Maximum size in bytes of a response body that is stored in an outcome record.
MAX_OUTCOME_BODY_BYTES = 8192


class OutcomeKind(Enum):
    """Whether the response to a dispatched call is known."""

    #: The backend server responded.
    COMPLETED = "completed"

    #: The call was sent and no response was received; it may or may not have run.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Claimant:
    """The process that makes a claim."""

    #: The VM on which the process runs.
    vm_id: VmId

    #: The incarnation of the process on the VM.
    incarnation: Incarnation


@dataclass(frozen=True)
class ClaimRecord:
    """Requests the right to dispatch a call once; the first valid claim in the log gets it."""

    #: Unique over all records. After an append without a response, the log client searches for it.
    record_id: str

    #: Identifier of the claiming attempt, unique over all VMs.
    attempt_id: str

    #: The claimed key.
    key: CallKey

    #: Digest of the call, which detects the reuse of the key for another request.
    body_digest: bytes

    #: The process that makes the claim.
    claimant: Claimant

    #: Seconds after the creation of the claim within which the claimant must send the call.
    dispatch_within_seconds: float

    #: Seconds that the claimant waits for the response after it has sent the call.
    run_timeout_seconds: float


@dataclass(frozen=True)
class VoidRecord:
    """Cancels an attempt's claim: the attempt sent nothing and never will."""

    #: Unique over all records.
    record_id: str

    #: The cancelled attempt.
    attempt_id: str

    #: The key that the cancelled attempt claimed.
    key: CallKey


@dataclass(frozen=True)
class OutcomeRecord:
    """The result of the call that an attempt dispatched."""

    #: Unique over all records.
    record_id: str

    #: The attempt that dispatched the call.
    attempt_id: str

    #: The key of the call.
    key: CallKey

    #: Whether a response was received.
    kind: OutcomeKind

    #: The HTTP status of the response; 0 if there was none.
    status: int

    #: The media type of the response.
    content_type: str

    #: The response body; ``None`` if it was larger than ``MAX_OUTCOME_BODY_BYTES``.
    body: Optional[bytes]

    #: Digest of the complete body.
    answer_digest: bytes

    #: Size of the complete body in bytes.
    body_size: int


@dataclass(frozen=True)
class HeartbeatRecord:
    """Shows a process that starts later back to which time the stream is complete."""

    #: Unique over all records.
    record_id: str


#: A record of a claims stream.
CallRecord = Union[ClaimRecord, VoidRecord, OutcomeRecord, HeartbeatRecord]


def new_record_id() -> str:
    """Returns a new unique record identifier."""
    return uuid.uuid4().hex
