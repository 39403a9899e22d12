"""One attempt to run a call: its way from the claim to the only dispatch."""

import uuid
from dataclasses import dataclass
from enum import Enum
from typing import Optional

from returns import result

from camphordrift.calls._keys import CallKey
from camphordrift.calls._ledger import ClaimDecision
from camphordrift.calls._records import Claimant, ClaimRecord, VoidRecord, new_record_id
from camphordrift.calls._standing import KeyState
from camphordrift.clocks import TwoClocks
from camphordrift.results import Failure, ResultCode


class AttemptStage(Enum):
    """How far an attempt has come."""

    #: The claim is on its way to the log, or its place there is not known.
    CLAIMING = "claiming"

    #: The claim stands first.
    GRANTED = "granted"

    #: Another claim stands, or the key was refused.
    LOST = "lost"

    #: The call was handed to the connection; it may have run.
    DISPATCHED = "dispatched"

    #: Given up before the dispatch; nothing is ever sent.
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class DispatchPermit:
    """Permission to send the call now, once."""

    #: The attempt that has it.
    attempt_id: str


class ClaimAttempt:
    """Decides whether and when one attempt may dispatch its call.

    The claim is never handed to another attempt, and :meth:`authorize_dispatch` succeeds at most
    once, right before the bytes are sent.
    """

    def __init__(self, claim: ClaimRecord, dispatch_before: TwoClocks) -> None:
        self._claim = claim
        self._dispatch_before = dispatch_before
        self._stage = AttemptStage.CLAIMING
        self._standing: Optional[KeyState] = None

    @property
    def claim(self) -> ClaimRecord:
        """The record that claims the key."""
        return self._claim

    @property
    def attempt_id(self) -> str:
        """The attempt's name, unique over all VMs."""
        return self._claim.attempt_id

    @property
    def stage(self) -> AttemptStage:
        """How far the attempt has come."""
        return self._stage

    @property
    def conflicting_state(self) -> Optional[KeyState]:
        """Where the key stood before the claim; ``None`` until the verdict is known."""
        return self._standing

    def apply_decision(self, verdict: ClaimDecision) -> None:
        """Takes the log's verdict on the claim. Only the first one counts."""
        if self._stage is not AttemptStage.CLAIMING:
            return
        self._standing = verdict.standing
        self._stage = AttemptStage.GRANTED if verdict.stands else AttemptStage.LOST

    def authorize_dispatch(self, now: TwoClocks) -> result.Result[DispatchPermit, Failure]:
        """Permits the dispatch, at most once and only in time.

        Call it right before the first byte is sent, with nothing awaited in between.
        """
        if self._stage is not AttemptStage.GRANTED:
            detail = f"the attempt is {self._stage.value} and may not dispatch"
            return result.Failure(Failure(ResultCode.CLAIM_NOT_MADE, detail))
        if now.is_past(self._dispatch_before):
            detail = "the claim was made too long ago to be used; nothing was sent"
            return result.Failure(Failure(ResultCode.CLAIM_EXPIRED, detail))
        self._stage = AttemptStage.DISPATCHED
        return result.Success(DispatchPermit(attempt_id=self.attempt_id))

    def abandon(self) -> Optional[VoidRecord]:
        """Gives up before the dispatch; returns the void to append, if the claim may stand.

        Raises ``ValueError`` if the call was dispatched: it can't be called unsent any more.
        """
        if self._stage is AttemptStage.DISPATCHED:
            raise ValueError(f"attempt {self.attempt_id} was dispatched and cannot be abandoned")
        may_stand = self._stage in (AttemptStage.CLAIMING, AttemptStage.GRANTED)
        self._stage = AttemptStage.ABANDONED
        return self.void_record() if may_stand else None

    def note_not_appended(self) -> None:
        """Takes the log's word that the claim is not in it and never will be."""
        if self._stage is AttemptStage.CLAIMING:
            self._stage = AttemptStage.ABANDONED

    def void_record(self) -> VoidRecord:
        """Returns the record that gives the claim back."""
        return VoidRecord(
            record_id=new_record_id(), attempt_id=self.attempt_id, key=self._claim.key
        )


def new_claim_attempt(
    key: CallKey,
    body_digest: bytes,
    claimant: Claimant,
    now: TwoClocks,
    dispatch_within_seconds: float,
    run_timeout_seconds: float,
) -> ClaimAttempt:
    """Returns an attempt with a name of its own, which may dispatch until the given time."""
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
