"""Calls of plain services, what is sent, and what comes back."""

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Optional, Protocol, Union

from returns import result

from camphordrift.identifiers import AccountId, ServiceName
from camphordrift.results import Failure


class Repeatability(Enum):
    """Whether a call may run more than once, as the service's configuration says."""

    #: It may be repeated; no claim is made.
    REPEATABLE = "repeatable"

    #: It may not, and a call without a key is refused.
    KEY_REQUIRED = "key_required"

    #: It may not; a call without a key is sent once and never again after its first byte.
    ONCE_WITHOUT_KEY = "once_without_key"


@dataclass(frozen=True)
class ServiceCall:
    """One call of a plain service, as a caller made it."""

    #: The caller's client account.
    account_id: AccountId

    #: The service called.
    service: ServiceName

    #: The HTTP method.
    method: str

    #: The path within the service, with its query.
    path: str

    #: The request's body.
    body: bytes

    #: The body's media type.
    content_type: str

    #: The caller's idempotency key, as it stood in the header; ``None`` if there was none.
    key: Optional[str]

    #: Whether the call may be repeated.
    repeatability: Repeatability

    #: Time left for the whole call, in seconds.
    remaining_seconds: float


@dataclass(frozen=True)
class CallOutcome:
    """The answer to a call."""

    #: The HTTP status that the backend server gave.
    status: int

    #: The body's media type.
    content_type: str

    #: The body; ``None`` for a repeat whose answer was too large to be kept.
    body: Optional[bytes]

    #: Digest of the whole body, kept even where the body is not.
    answer_digest: bytes

    #: Size of the whole body, in bytes.
    body_size: int

    #: True if an earlier call under the same key gave this answer.
    repeated: bool = False


@dataclass(frozen=True)
class DispatchAnswered:
    """The backend server answered, whatever the status."""

    #: The HTTP status.
    status: int

    #: The body's media type.
    content_type: str

    #: The body.
    body: bytes


@dataclass(frozen=True)
class DispatchNotSent:
    """No byte of the call can have reached a backend server."""

    #: Why; told to the caller.
    failure: Failure


@dataclass(frozen=True)
class DispatchUnanswered:
    """The call was sent, wholly or in part, and no answer came."""

    #: Why; told to the caller. Its run state must be ``OUTCOME_UNKNOWN``.
    failure: Failure


#: How a dispatch ended.
DispatchReply = Union[DispatchAnswered, DispatchNotSent, DispatchUnanswered]


class SendGate(Protocol):
    """Checked by whoever sends a call, right before its first byte."""

    def authorize(self) -> result.Result[None, Failure]:
        """Permits sending now; for a call that may not be repeated it does so at most once.

        Nothing may be awaited between this and the first write. After a failure nothing may be
        sent; the dispatch ends with ``DispatchNotSent``.
        """
        ...


#: Sends a call to a backend server over a connection known fresh. It may try several servers until
#: it has asked the gate, and never another one after that.
Dispatch = Callable[[ServiceCall, SendGate], Awaitable[DispatchReply]]


def digest_of_call(call: ServiceCall) -> bytes:
    """Returns the digest by which a reused key is recognized: service, method, path, type, body."""
    digest = hashlib.sha256()
    parts = (call.service, call.method.upper(), call.path, call.content_type)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(call.body)
    return digest.digest()


def outcome_of_answer(answer: DispatchAnswered) -> CallOutcome:
    """Returns the outcome that a backend server's answer makes."""
    return CallOutcome(
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        answer_digest=hashlib.sha256(answer.body).digest(),
        body_size=len(answer.body),
    )
