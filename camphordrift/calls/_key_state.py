"""States of an idempotency key, and the failures that they cause."""

from dataclasses import dataclass
from typing import Union

from camphordrift.calls._records import Claimant
from camphordrift.results import Failure, ResultCode

#: Seconds after which to retry a repeated call while the first call is still running.
STILL_RUNNING_RETRY_SECONDS = 1.0


@dataclass(frozen=True)
class KeyFree:
    """No claim is granted; an attempt may claim the key."""


@dataclass(frozen=True, slots=True)
class KeyRunning:
    """A claim is granted; its claimant may be dispatching the call or waiting for the response."""

    #: The attempt whose claim was granted.
    attempt_id: str

    #: The process that made the claim.
    claimant: Claimant

    #: Offset of the claim in its stream.
    offset: int

    #: When the claimant's timeouts end, in seconds since 1970 by the log's clock. After that the
    #: outcome is unknown unless it was recorded.
    run_ends_at: float


@dataclass(frozen=True, slots=True)
class KeyFinished:
    """The call was answered, and its outcome is in the log."""

    #: The attempt that dispatched the call.
    attempt_id: str

    #: Offset of the outcome in its stream.
    offset: int

    #: The HTTP status of the response.
    status: int

    #: The media type of the response.
    content_type: str

    #: True if the outcome record contains the body.
    body_stored: bool

    #: Digest of the complete body.
    answer_digest: bytes

    #: Size of the complete body in bytes.
    body_size: int


@dataclass(frozen=True, slots=True)
class KeyOutcomeUnknown:
    """The call may or may not have run; it is never run again under this key."""

    #: The attempt whose claim was granted or is closed.
    attempt_id: str


@dataclass(frozen=True)
class KeyBodyMismatch:
    """The key was used for another request: the digests differ."""


@dataclass(frozen=True)
class KeyTooOld:
    """The key was created so long ago that this process may not know all its claims."""


@dataclass(frozen=True)
class KeyFromFuture:
    """The key's time is more than ``KEY_MAX_AHEAD_SECONDS`` ahead of the clock."""


@dataclass(frozen=True)
class KeyUndecidable:
    """The stream contains a record of a newer format, so this process cannot decide."""


#: The state of a key, as :class:`ClaimLedger` determines it from the log.
KeyState = Union[
    KeyFree,
    KeyRunning,
    KeyFinished,
    KeyOutcomeUnknown,
    KeyBodyMismatch,
    KeyTooOld,
    KeyFromFuture,
    KeyUndecidable,
]

#: A state in which a call is refused: it is not run, and there is no recorded response.
RefusedKeyState = Union[
    KeyRunning, KeyOutcomeUnknown, KeyBodyMismatch, KeyTooOld, KeyFromFuture, KeyUndecidable
]


def failure_for_key_state(state: RefusedKeyState) -> Failure:
    """Returns the failure of a call whose key is in a state without a recorded response."""
    match state:
        case KeyRunning():
            return Failure(
                ResultCode.CALL_STILL_RUNNING,
                "the first call with this key is still running",
                retry_after_seconds=STILL_RUNNING_RETRY_SECONDS,
            )
        case KeyOutcomeUnknown():
            return Failure(
                ResultCode.CALL_OUTCOME_UNKNOWN,
                "the first call with this key may have run; it will not be run again",
            )
        case KeyBodyMismatch():
            return Failure(
                ResultCode.KEY_REUSED_WITH_OTHER_BODY,
                "the key was used with another request of this client account",
            )
        case KeyTooOld():
            return Failure(ResultCode.KEY_TOO_OLD, "the key is older than the retained claims")
        case KeyFromFuture():
            return Failure(
                ResultCode.KEY_FROM_FUTURE, "the key's time is in the future; check the clock"
            )
        case KeyUndecidable():
            return Failure(
                ResultCode.CLAIM_NOT_MADE,
                "the claims contain records of a newer version, which this VM cannot read",
            )
