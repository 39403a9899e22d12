"""What the ledger remembers of one key."""

from typing import Optional

from camphordrift.calls._records import OutcomeKind, OutcomeRecord
from camphordrift.calls._standing import (
    KeyFinished,
    KeyFree,
    KeyOtherBody,
    KeyOutcomeUnknown,
    KeyRunning,
    KeyState,
)

#: Shared by the many entries that need nothing else.
_FREE = KeyFree()
_NO_ATTEMPTS: frozenset[str] = frozenset()


class KeyEntry:
    """The claims, voids and outcomes of one key, folded in the order of the log.

    An attempt whose claim did not stand, or that voided itself, is closed for good: its claim never
    stands later, even if the log holds the claim twice or after the void.
    """

    __slots__ = ("_body_digest", "_closed_attempts", "_standing")

    def __init__(self) -> None:
        self._body_digest: Optional[bytes] = None
        self._standing: KeyState = _FREE
        self._closed_attempts = _NO_ATTEMPTS

    @property
    def standing(self) -> KeyState:
        """Where the key stands, whoever asks and whenever."""
        return self._standing

    def standing_for(self, body_digest: bytes, log_now: float) -> KeyState:
        """Tells where the key stands for a request with this digest."""
        if self._body_digest is not None and self._body_digest != body_digest:
            return KeyOtherBody()
        match self._standing:
            case KeyRunning(attempt_id=attempt_id, run_ends_at=run_ends_at):
                if log_now > run_ends_at:
                    return KeyOutcomeUnknown(attempt_id=attempt_id)
        return self._standing

    def standing_for_claim(self, attempt_id: str, body_digest: bytes, log_now: float) -> KeyState:
        """Tells what a claim meets; ``KeyFree`` if it stands."""
        if attempt_id in self._closed_attempts:
            return KeyOutcomeUnknown(attempt_id=attempt_id)
        return self.standing_for(body_digest, log_now)

    def grant(self, running: KeyRunning, body_digest: bytes) -> None:
        """Lets a claim stand."""
        self._standing = running
        self._body_digest = body_digest

    def close_attempt(self, attempt_id: str) -> None:
        """Rules that an attempt can never stand, unless it stands already."""
        match self._standing:
            case KeyRunning() | KeyFinished() | KeyOutcomeUnknown() as standing:
                if standing.attempt_id == attempt_id:
                    return
        self._closed_attempts |= {attempt_id}

    def void(self, attempt_id: str) -> None:
        """Cancels an attempt's claim, whether it stands already or comes later.

        An attempt that has an outcome was dispatched; a void of it is ignored.
        """
        match self._standing:
            case KeyFinished() | KeyOutcomeUnknown() as standing:
                if standing.attempt_id == attempt_id:
                    return
            case KeyRunning(attempt_id=standing_id) if standing_id == attempt_id:
                self._standing = KeyFree()
        self._closed_attempts |= {attempt_id}

    def finish(self, outcome: OutcomeRecord, offset: int) -> None:
        """Records an outcome of the attempt that stands; a known one is never replaced."""
        match self._standing:
            case KeyRunning(attempt_id=attempt_id) | KeyOutcomeUnknown(attempt_id=attempt_id):
                if attempt_id == outcome.attempt_id:
                    self._standing = _standing_of_outcome(outcome, offset)

    def check_invariants(self) -> None:
        """Raises ``AssertionError`` if the state contradicts itself."""
        match self._standing:
            case KeyRunning() | KeyFinished() | KeyOutcomeUnknown() as standing:
                assert standing.attempt_id not in self._closed_attempts, "a closed attempt stands"
                assert self._body_digest is not None, "a claim stands without a digest"


def _standing_of_outcome(outcome: OutcomeRecord, offset: int) -> KeyState:
    match outcome.kind:
        case OutcomeKind.UNKNOWN:
            return KeyOutcomeUnknown(attempt_id=outcome.attempt_id)
        case OutcomeKind.COMPLETED:
            return KeyFinished(
                attempt_id=outcome.attempt_id,
                offset=offset,
                status=outcome.status,
                content_type=outcome.content_type,
                body_kept=outcome.body is not None,
                answer_digest=outcome.answer_digest,
                body_size=outcome.body_size,
            )
