"""The state of one key in the ledger."""

from typing import Optional

from camphordrift.calls._key_state import (
    KeyBodyMismatch,
    KeyFinished,
    KeyFree,
    KeyOutcomeUnknown,
    KeyRunning,
    KeyState,
)
from camphordrift.calls._records import OutcomeKind, OutcomeRecord

#: Shared instances that save memory, since most entries need no others.
_FREE = KeyFree()
_NO_ATTEMPTS: frozenset[str] = frozenset()


class KeyEntry:
    """The result of applying the claims, voids and outcomes of one key in log order.

    An attempt is closed permanently if its claim was not granted or was cancelled by a void record.
    The claim of a closed attempt is never granted, even if the log contains it a second time or
    after the void record.
    """

    __slots__ = ("_body_digest", "_closed_attempts", "_state")

    def __init__(self) -> None:
        self._body_digest: Optional[bytes] = None
        self._state: KeyState = _FREE
        self._closed_attempts = _NO_ATTEMPTS

    @property
    def state(self) -> KeyState:
        """The state of the key from the log alone, without a check of digest or timeouts."""
        return self._state

    def state_for_request(self, body_digest: bytes, now: float) -> KeyState:
        """Returns the state of the key for a request with this digest.

        ``now`` is the current time in seconds since 1970.
        """
        if self._body_digest is not None and self._body_digest != body_digest:
            return KeyBodyMismatch()
        match self._state:
            case KeyRunning(attempt_id=attempt_id, run_ends_at=run_ends_at):
                if now > run_ends_at:
                    return KeyOutcomeUnknown(attempt_id=attempt_id)
        return self._state

    def state_for_claim(self, attempt_id: str, body_digest: bytes, now: float) -> KeyState:
        """Returns the state of the key for a claim; ``KeyFree`` if the claim is to be granted."""
        if attempt_id in self._closed_attempts:
            return KeyOutcomeUnknown(attempt_id=attempt_id)
        return self.state_for_request(body_digest, now)

    def grant_claim(self, running: KeyRunning, body_digest: bytes) -> None:
        """Records that the claim described by ``running`` was granted."""
        self._state = running
        self._body_digest = body_digest

    def close_attempt(self, attempt_id: str) -> None:
        """Prevents a later grant of the attempt's claim; no effect if it was already granted."""
        match self._state:
            case KeyRunning() | KeyFinished() | KeyOutcomeUnknown() as state:
                if state.attempt_id == attempt_id:
                    return
        self._closed_attempts |= {attempt_id}

    def void_claim(self, attempt_id: str) -> None:
        """Cancels an attempt's claim, whether it was granted already or comes later in the log.

        An attempt with an outcome was dispatched, so a void record for it is ignored.
        """
        match self._state:
            case KeyFinished() | KeyOutcomeUnknown() as state:
                if state.attempt_id == attempt_id:
                    return
            case KeyRunning(attempt_id=running_id) if running_id == attempt_id:
                self._state = KeyFree()
        self._closed_attempts |= {attempt_id}

    def record_outcome(self, outcome: OutcomeRecord, offset: int) -> None:
        """Records the outcome of the granted attempt; a recorded response is never replaced."""
        match self._state:
            case KeyRunning(attempt_id=attempt_id) | KeyOutcomeUnknown(attempt_id=attempt_id):
                if attempt_id == outcome.attempt_id:
                    self._state = _state_from_outcome(outcome, offset)

    def check_invariants(self) -> None:
        """Raises ``AssertionError`` if the state contradicts itself."""
        match self._state:
            case KeyRunning() | KeyFinished() | KeyOutcomeUnknown() as state:
                assert (
                    state.attempt_id not in self._closed_attempts
                ), "the granted attempt is closed"
                assert self._body_digest is not None, "a granted claim has no digest"


def _state_from_outcome(outcome: OutcomeRecord, offset: int) -> KeyState:
    match outcome.kind:
        case OutcomeKind.UNKNOWN:
            return KeyOutcomeUnknown(attempt_id=outcome.attempt_id)
        case OutcomeKind.COMPLETED:
            return KeyFinished(
                attempt_id=outcome.attempt_id,
                offset=offset,
                status=outcome.status,
                content_type=outcome.content_type,
                body_stored=outcome.body is not None,
                answer_digest=outcome.answer_digest,
                body_size=outcome.body_size,
            )
