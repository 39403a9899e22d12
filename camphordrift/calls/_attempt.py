"""One attempt to run a call, from its claim to its single dispatch."""

import uuid
from dataclasses import dataclass
from enum import Enum
from typing import Optional

from returns import result

from camphordrift.calls._key_state import KeyState
from camphordrift.calls._keys import CallKey
from camphordrift.calls._ledger import ClaimDecision
from camphordrift.calls._records import Claimant, ClaimRecord, VoidRecord, new_record_id
from camphordrift.clocks import ClockReading
from camphordrift.results import Failure, ResultCode


class AttemptStage(Enum):
    """How far an attempt has come from its claim to its dispatch."""

    #: The claim is being appended, or the decision on it is not known yet.
    CLAIMING = "claiming"

    #: The claim was granted.
    GRANTED = "granted"

    #: The claim was not granted: another one was, or the key was refused.
    LOST = "lost"

    #: The sender was permitted to send the call; it may have run.
    DISPATCHED = "dispatched"

    #: Abandoned before the dispatch; the call is never sent.
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class DispatchPermit:
    """Permission to send the call once, immediately."""

    #: The permitted attempt.
    attempt_id: str


class ClaimAttempt:
    """Decides whether and when one attempt may dispatch its call.

    The claim is never transferred to another attempt. :meth:`authorize_dispatch` succeeds at most
    once; call it right before the bytes are sent.
    """

    def __init__(self, claim: ClaimRecord, dispatch_before: ClockReading) -> None:
        self._claim = claim
        self._dispatch_before = dispatch_before
        self._stage = AttemptStage.CLAIMING
        self._conflicting_state: Optional[KeyState] = None

    @property
    def claim(self) -> ClaimRecord:
        """The record that claims the key."""
        return self._claim

    @property
    def attempt_id(self) -> str:
        """Identifier of the attempt, unique over all VMs."""
        return self._claim.attempt_id

    @property
    def stage(self) -> AttemptStage:
        """How far the attempt has come."""
        return self._stage

    @property
    def conflicting_state(self) -> Optional[KeyState]:
        """State of the key before the claim; ``None`` until the decision is known.

        If the claim was not granted, this is the reason.
        """
        return self._conflicting_state

    def apply_decision(self, decision: ClaimDecision) -> None:
        """Applies the decision on the claim. Later decisions are ignored."""
        if self._stage is not AttemptStage.CLAIMING:
            return
        self._conflicting_state = decision.key_state
        self._stage = AttemptStage.GRANTED if decision.granted else AttemptStage.LOST

    def authorize_dispatch(self, now: ClockReading) -> result.Result[DispatchPermit, Failure]:
        """Permits the dispatch, at most once and only before its deadline.

        Call it right before the first byte is sent, with nothing awaited in between.
        """
        if self._stage is not AttemptStage.GRANTED:
            detail = f"an attempt in stage {self._stage.value} may not dispatch"
            return result.Failure(Failure(ResultCode.CLAIM_NOT_MADE, detail))
        if now.is_past(self._dispatch_before):
            detail = "the claim expired before the call was sent"
            return result.Failure(Failure(ResultCode.CLAIM_EXPIRED, detail))
        self._stage = AttemptStage.DISPATCHED
        return result.Success(DispatchPermit(attempt_id=self.attempt_id))

    def abandon(self) -> Optional[VoidRecord]:
        """Abandons the attempt; returns the void record to append if the claim may be granted.

        Raises ``ValueError`` if the call was dispatched, since it may have been sent.
        """
        if self._stage is AttemptStage.DISPATCHED:
            raise ValueError(f"attempt {self.attempt_id} was dispatched and cannot be abandoned")
        may_be_granted = self._stage in (AttemptStage.CLAIMING, AttemptStage.GRANTED)
        self._stage = AttemptStage.ABANDONED
        return self.void_record() if may_be_granted else None

    def record_not_appended(self) -> None:
        """Records that the claim is not in the log and never will be."""
        if self._stage is AttemptStage.CLAIMING:
            self._stage = AttemptStage.ABANDONED

    def void_record(self) -> VoidRecord:
        """Returns a new void record, which cancels the claim."""
        return VoidRecord(
            record_id=new_record_id(), attempt_id=self.attempt_id, key=self._claim.key
        )


def new_claim_attempt(
    key: CallKey,
    body_digest: bytes,
    claimant: Claimant,
    now: ClockReading,
    dispatch_within_seconds: float,
    run_timeout_seconds: float,
) -> ClaimAttempt:
    """Returns a new attempt that may dispatch for ``dispatch_within_seconds`` from ``now``."""
    claim = ClaimRecord(
        record_id=new_record_id(),
        attempt_id=uuid.uuid4().hex,
        key=key,
        body_digest=body_digest,
        claimant=claimant,
        dispatch_within_seconds=dispatch_within_seconds,
        run_timeout_seconds=run_timeout_seconds,
    )
    return ClaimAttempt(claim, now.plus(dispatch_within_seconds))
