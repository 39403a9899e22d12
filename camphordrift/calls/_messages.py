"""Values that describe calls of plain services, their dispatch and their outcomes."""

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Optional, Protocol, Union

from returns import result

from camphordrift.identifiers import AccountId, ServiceName
from camphordrift.results import Failure


class Repeatability(Enum):
    """Whether a call may run more than once; follows from the service's configuration."""

    #: May run more than once, because it is idempotent; no claim is made.
    REPEATABLE = "repeatable"

    #: May run at most once; a call without a key is refused.
    KEY_REQUIRED = "key_required"

    #: May run at most once; a call without a key is never retried after its first byte.
    ONCE_WITHOUT_KEY = "once_without_key"


@dataclass(frozen=True)
class ServiceCall:
    """One call of a plain service, as received from the caller."""

    #: The caller's client account.
    account_id: AccountId

    #: The called service.
    service: ServiceName

    #: The HTTP method.
    method: str

    #: The path of the request, with the query string.
    path: str

    #: The request's body.
    body: bytes

    #: The body's media type.
    content_type: str

    #: The unparsed idempotency key header; ``None`` if there was none.
    key: Optional[str]

    #: Whether the call may be repeated.
    repeatability: Repeatability

    #: Seconds until the call's deadline.
    remaining_seconds: float


@dataclass(frozen=True)
class CallOutcome:
    """The response to a call."""

    #: The HTTP status of the backend server's response.
    status: int

    #: The body's media type.
    content_type: str

    #: The body; ``None`` for a repeated call if the body was not recorded or cannot be read.
    body: Optional[bytes]

    #: Digest of the complete body, recorded even if the body is not.
    answer_digest: bytes

    #: Size of the complete body in bytes.
    body_size: int

    #: True if this is the recorded response of an earlier call with the same key.
    repeated: bool = False


@dataclass(frozen=True)
class DispatchAnswered:
    """The backend server responded, with any status."""

    #: The HTTP status.
    status: int

    #: The body's media type.
    content_type: str

    #: The body.
    body: bytes


@dataclass(frozen=True)
class DispatchNotSent:
    """The call was not sent; no byte of it can have reached a backend server."""

    #: The failure returned to the caller.
    failure: Failure


@dataclass(frozen=True)
class DispatchUnanswered:
    """The call was sent, at least partly, and no response was received."""

    #: The failure returned to the caller. Its run state must be ``OUTCOME_UNKNOWN``.
    failure: Failure


#: The result of a dispatch.
DispatchReply = Union[DispatchAnswered, DispatchNotSent, DispatchUnanswered]


class SendGate(Protocol):
    """The permission check that the sender of a call makes right before the first byte."""

    def authorize(self) -> result.Result[None, Failure]:
        """Permits sending now; at most once for a call that may not be repeated.

        Nothing may be awaited between this and the first write. After a failure nothing may be
        sent, and the dispatch ends with ``DispatchNotSent``.
        """
        ...


#: Sends a call to a backend server over a new connection. It may try several servers until it calls
#: the gate; after that it must not change the server.
Dispatch = Callable[[ServiceCall, SendGate], Awaitable[DispatchReply]]


def digest_of_call(call: ServiceCall) -> bytes:
    """Returns the digest that detects the reuse of a key with another request.

    It covers service, method, path, media type and body.
    """
    digest = hashlib.sha256()
    parts = (call.service, call.method.upper(), call.path, call.content_type)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(call.body)
    return digest.digest()


def outcome_from_response(response: DispatchAnswered) -> CallOutcome:
    """Returns the outcome of a call from a backend server's response."""
    return CallOutcome(
        status=response.status,
        content_type=response.content_type,
        body=response.body,
        answer_digest=hashlib.sha256(response.body).digest(),
        body_size=len(response.body),
    )
