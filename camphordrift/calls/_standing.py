"""Where a key stands in the order of the log, and what that means for a caller."""

from dataclasses import dataclass
from typing import Union

from camphordrift.calls._records import Claimant
from camphordrift.results import Failure, ResultCode

#: When a caller whose first call still runs may ask again, in seconds.
STILL_RUNNING_RETRY_SECONDS = 1.0


@dataclass(frozen=True)
class KeyFree:
    """No claim stands: an attempt may claim the key."""


@dataclass(frozen=True, slots=True)
class KeyRunning:
    """A claim stands, and its claimant may dispatch the call or wait for its answer."""

    #: The attempt whose claim stands.
    attempt_id: str

    #: Who made the claim.
    claimant: Claimant

    #: Offset of the claim in its stream.
    offset: int

    #: The claimant has given up waiting by then, in seconds since 1970 by the log's clock.
    run_ends_at: float


@dataclass(frozen=True, slots=True)
class KeyFinished:
    """The call was answered; its outcome is in the log."""

    #: The attempt that dispatched it.
    attempt_id: str

    #: Offset of the outcome in its stream.
    offset: int

    #: The HTTP status of the answer.
    status: int

    #: The answer's media type.
    content_type: str

    #: True if the log keeps the body.
    body_kept: bool

    #: Digest of the whole body.
    answer_digest: bytes

    #: Size of the whole body in bytes.
    body_size: int


@dataclass(frozen=True, slots=True)
class KeyOutcomeUnknown:
    """The call may have run, and nobody can say; it is never run again under this key."""

    #: The attempt whose claim stands.
    attempt_id: str


@dataclass(frozen=True)
class KeyOtherBody:
    """The key belongs to another request."""


@dataclass(frozen=True)
class KeyTooOld:
    """The key is older than this process certainly knows the claims of."""


@dataclass(frozen=True)
class KeyFromFuture:
    """The key's time lies ahead by more than clocks may differ."""


@dataclass(frozen=True)
class KeyUndecidable:
    """The stream holds a record of a newer version, so this process cannot decide."""


#: Where a key stands.
KeyState = Union[
    KeyFree,
    KeyRunning,
    KeyFinished,
    KeyOutcomeUnknown,
    KeyOtherBody,
    KeyTooOld,
    KeyFromFuture,
    KeyUndecidable,
]

#: A standing that ends the caller's request without a run and without a recorded answer.
RefusedKeyState = Union[
    KeyRunning, KeyOutcomeUnknown, KeyOtherBody, KeyTooOld, KeyFromFuture, KeyUndecidable
]


def failure_for_key_state(standing: RefusedKeyState) -> Failure:
    """Returns what a repeat is told when no recorded answer can be given."""
    match standing:
        case KeyRunning():
            return Failure(
                ResultCode.CALL_STILL_RUNNING,
                "the first call under this key is still running",
                retry_after_seconds=STILL_RUNNING_RETRY_SECONDS,
            )
        case KeyOutcomeUnknown():
            return Failure(
                ResultCode.CALL_OUTCOME_UNKNOWN,
                "the first call under this key may have run; it will not be run again",
            )
        case KeyOtherBody():
            return Failure(
                ResultCode.KEY_REUSED_WITH_OTHER_BODY,
                "the key was used with another request of this client account",
            )
        case KeyTooOld():
            return Failure(
                ResultCode.KEY_TOO_OLD, "the key is older than the claims that are certainly kept"
            )
        case KeyFromFuture():
            return Failure(
                ResultCode.KEY_FROM_FUTURE, "the key's time lies in the future; check the clock"
            )
        case KeyUndecidable():
            return Failure(
                ResultCode.CLAIM_NOT_MADE,
                "a newer version writes to the claims; this VM cannot decide on calls",
            )
