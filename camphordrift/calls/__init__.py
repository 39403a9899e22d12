"""At-most-once calls of plain services, identified by idempotency keys.

A claim is a record in a replicated log that reserves a key for one attempt to run the call. Only
the attempt with the first claim in the log dispatches the call. It then appends an outcome record,
which provides the response to repeated calls. An attempt that gives up before the dispatch appends
a void record, which cancels its claim.
"""

from camphordrift.calls._attempt import (
    AttemptStage,
    ClaimAttempt,
    DispatchPermit,
    new_claim_attempt,
)
from camphordrift.calls._claim_log_client import ClaimLogClient
from camphordrift.calls._coordinator import CallCoordinator
from camphordrift.calls._gates import RepeatableSendGate, SendOnceGate
from camphordrift.calls._key_state import (
    KeyBodyMismatch,
    KeyFinished,
    KeyFree,
    KeyFromFuture,
    KeyOutcomeUnknown,
    KeyRunning,
    KeyState,
    KeyTooOld,
    KeyUndecidable,
    failure_for_key_state,
)
from camphordrift.calls._keys import KEY_MAX_AHEAD_SECONDS, CallKey, parse_call_key
from camphordrift.calls._ledger import ClaimDecision, ClaimLedger
from camphordrift.calls._messages import (
    CallOutcome,
    Dispatch,
    DispatchAnswered,
    DispatchNotSent,
    DispatchReply,
    DispatchUnanswered,
    Repeatability,
    SendGate,
    ServiceCall,
    digest_of_call,
)
from camphordrift.calls._partitions import CLAIM_PARTITION_COUNT, claim_stream, partition_of_key
from camphordrift.calls._record_codec import decode_call_record, encode_call_record
from camphordrift.calls._records import (
    MAX_OUTCOME_BODY_BYTES,
    Claimant,
    ClaimRecord,
    HeartbeatRecord,
    OutcomeKind,
    OutcomeRecord,
    VoidRecord,
)
from camphordrift.calls._settings import CallSettings
from camphordrift.calls._state import CallCounts, CallInFlight, CallsState, PartitionState

__all__ = [
    "CLAIM_PARTITION_COUNT",
    "KEY_MAX_AHEAD_SECONDS",
    "MAX_OUTCOME_BODY_BYTES",
    "AttemptStage",
    "CallCoordinator",
    "CallCounts",
    "CallInFlight",
    "CallKey",
    "CallOutcome",
    "CallSettings",
    "CallsState",
    "ClaimAttempt",
    "ClaimLedger",
    "ClaimLogClient",
    "ClaimRecord",
    "ClaimDecision",
    "Claimant",
    "Dispatch",
    "DispatchAnswered",
    "DispatchNotSent",
    "DispatchPermit",
    "DispatchReply",
    "DispatchUnanswered",
    "KeyFinished",
    "KeyFree",
    "KeyFromFuture",
    "KeyBodyMismatch",
    "KeyOutcomeUnknown",
    "KeyRunning",
    "KeyState",
    "KeyTooOld",
    "KeyUndecidable",
    "HeartbeatRecord",
    "RepeatableSendGate",
    "OutcomeKind",
    "OutcomeRecord",
    "PartitionState",
    "Repeatability",
    "SendGate",
    "ServiceCall",
    "SendOnceGate",
    "VoidRecord",
    "partition_of_key",
    "claim_stream",
    "decode_call_record",
    "digest_of_call",
    "encode_call_record",
    "failure_for_key_state",
    "new_claim_attempt",
    "parse_call_key",
]
