"""What one frame between VMs carries."""

from dataclasses import dataclass
from typing import Any, Optional, Union

import msgpack
from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.peers._refusals import Refusal, RefusalReason
from camphordrift.peers._registry import WireMessage


@dataclass(frozen=True)
class Ping:
    """Asks the other end for a sign of life."""


@dataclass(frozen=True)
class Pong:
    """The answer to a ping."""


@dataclass(frozen=True)
class Request:
    """A message that wants one answer."""

    #: Unique on the connection.
    request_id: int

    #: How long the sender waits, in milliseconds from sending.
    remaining_milliseconds: int

    #: The message.
    message: WireMessage


@dataclass(frozen=True)
class Reply:
    """The answer to a request."""

    #: The request that it answers.
    request_id: int

    #: The message.
    message: WireMessage


@dataclass(frozen=True)
class Refused:
    """A failure as the answer to a request."""

    #: The request that it answers.
    request_id: int

    #: Why.
    failure: results.Failure


@dataclass(frozen=True)
class Cancel:
    """The sender of a request no longer waits for its answer."""

    #: The request.
    request_id: int


@dataclass(frozen=True)
class Notice:
    """A message that wants no answer."""

    #: The message.
    message: WireMessage


Envelope = Union[Ping, Pong, Request, Reply, Refused, Cancel, Notice]

_PING, _PONG, _REQUEST, _REPLY, _REFUSED, _CANCEL, _NOTICE = range(7)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the body of the frame for ``envelope``."""
    return bytes(msgpack.packb(_fields(envelope)))


def decode_envelope(body: bytes) -> Result[Envelope, Refusal]:
    """Returns what the frame carries, or why it is refused. Fields added later are passed over."""
    try:
        return Success(_read(msgpack.unpackb(body)))
    except (ValueError, TypeError, IndexError, msgpack.UnpackException):
        return Failure(Refusal(RefusalReason.MALFORMED, "malformed envelope"))


def _fields(envelope: Envelope) -> list[Any]:
    match envelope:
        case Ping():
            return [_PING]
        case Pong():
            return [_PONG]
        case Request(request_id, remaining, message):
            return [_REQUEST, request_id, remaining, *_message_fields(message)]
        case Reply(request_id, message):
            return [_REPLY, request_id, *_message_fields(message)]
        case Refused(request_id, failure):
            return [_REFUSED, request_id, *_failure_fields(failure)]
        case Cancel(request_id):
            return [_CANCEL, request_id]
        case Notice(message):
            return [_NOTICE, *_message_fields(message)]


def _message_fields(message: WireMessage) -> list[Any]:
    return [message.name, message.version, message.body]


def _failure_fields(failure: results.Failure) -> list[Any]:
    override = failure.run_state_override
    state = None if override is None else override.value
    return [int(failure.code), failure.detail, failure.retry_after_seconds, state]


def _read(fields: Any) -> Envelope:
    if not isinstance(fields, list):
        raise TypeError("an envelope is a list")
    match fields[0]:
        case 0:
            return Ping()
        case 1:
            return Pong()
        case 2:
            return Request(_number(fields[1]), _number(fields[2]), _read_message(fields[3:]))
        case 3:
            return Reply(_number(fields[1]), _read_message(fields[2:]))
        case 4:
            return Refused(_number(fields[1]), _read_failure(fields[2:]))
        case 5:
            return Cancel(_number(fields[1]))
        case 6:
            return Notice(_read_message(fields[1:]))
    raise ValueError("unknown envelope")


def _number(value: Any) -> int:
    if not isinstance(value, int) or value < 0:
        raise ValueError("a number is due")
    return value


def _read_message(fields: list[Any]) -> WireMessage:
    name, version, body = fields[:3]
    if not (isinstance(name, str) and isinstance(body, bytes)):
        raise TypeError("a message has a name and a body")
    return WireMessage(name, _number(version), body)


def _read_failure(fields: list[Any]) -> results.Failure:
    code, detail, retry_after, state = fields[:4]
    return results.Failure(
        code=_read_code(code),
        detail=str(detail),
        retry_after_seconds=_read_seconds(retry_after),
        run_state_override=None if state is None else results.RunState(state),
    )


def _read_code(code: Any) -> results.ResultCode:
    """Returns the code; a number of a newer version counts as a fault with unknown outcome."""
    known = set(results.ResultCode)
    return results.ResultCode(code) if code in known else results.ResultCode.INTERNAL_ERROR


def _read_seconds(value: Any) -> Optional[float]:
    return None if value is None else float(value)
