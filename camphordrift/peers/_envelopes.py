"""Envelopes: what the body of a frame between two VMs contains, and how it is encoded."""

from dataclasses import dataclass
from typing import Any, Optional, Union

import msgpack
from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.peers._refusals import Refusal, RefusalReason
from camphordrift.peers._registry import WireMessage


@dataclass(frozen=True)
class Ping:
    """Keepalive; the other end responds with a pong."""


@dataclass(frozen=True)
class Pong:
    """Response to a ping."""


@dataclass(frozen=True)
class Request:
    """A message that expects one response."""

    #: Id of the request, unique among the requests on the connection.
    request_id: int

    #: Milliseconds from sending until the sender stops waiting for the response.
    remaining_milliseconds: int

    #: The encoded message.
    message: WireMessage


@dataclass(frozen=True)
class Reply:
    """Successful response to a request."""

    #: Id of the request.
    request_id: int

    #: The encoded response message.
    message: WireMessage


@dataclass(frozen=True)
class Refused:
    """Response to a request that failed."""

    #: Id of the request.
    request_id: int

    #: The failure that is returned to the sender of the request.
    failure: results.Failure


@dataclass(frozen=True)
class Cancel:
    """Cancels a request whose sender no longer waits for the response."""

    #: Id of the request.
    request_id: int


@dataclass(frozen=True)
class Notice:
    """A one-way message, which gets no response and may be dropped."""

    #: The encoded message.
    message: WireMessage


#: The content of one frame's body.
Envelope = Union[Ping, Pong, Request, Reply, Refused, Cancel, Notice]

_PING, _PONG, _REQUEST, _REPLY, _REFUSED, _CANCEL, _NOTICE = range(7)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encodes an envelope as the body of a frame."""
    return bytes(msgpack.packb(_envelope_fields(envelope)))


def decode_envelope(body: bytes) -> Result[Envelope, Refusal]:
    """Decodes the body of a frame; returns a refusal if it is malformed.

    Additional fields, which newer versions may send, are ignored.
    """
    try:
        return Success(_read_envelope(msgpack.unpackb(body)))
    except (ValueError, TypeError, IndexError, msgpack.UnpackException):
        return Failure(Refusal(RefusalReason.MALFORMED, "malformed envelope"))


def _envelope_fields(envelope: Envelope) -> list[Any]:
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


def _read_envelope(fields: Any) -> Envelope:
    if not isinstance(fields, list):
        raise TypeError("envelope is not a list")
    match fields[0]:
        case 0:
            return Ping()
        case 1:
            return Pong()
        case 2:
            return Request(
                _read_non_negative_integer(fields[1]),
                _read_non_negative_integer(fields[2]),
                _read_message(fields[3:]),
            )
        case 3:
            return Reply(_read_non_negative_integer(fields[1]), _read_message(fields[2:]))
        case 4:
            return Refused(_read_non_negative_integer(fields[1]), _read_failure(fields[2:]))
        case 5:
            return Cancel(_read_non_negative_integer(fields[1]))
        case 6:
            return Notice(_read_message(fields[1:]))
    raise ValueError("unknown envelope kind")


def _read_non_negative_integer(value: Any) -> int:
    if not isinstance(value, int) or value < 0:
        raise ValueError("field is not a non-negative integer")
    return value


def _read_message(fields: list[Any]) -> WireMessage:
    name, version, body = fields[:3]
    if not (isinstance(name, str) and isinstance(body, bytes)):
        raise TypeError("message name is not a string or message body is not bytes")
    return WireMessage(name, _read_non_negative_integer(version), body)


def _read_failure(fields: list[Any]) -> results.Failure:
    code, detail, retry_after, state = fields[:4]
    return results.Failure(
        code=_read_code(code),
        detail=str(detail),
        retry_after_seconds=_read_seconds(retry_after),
        run_state_override=None if state is None else results.RunState(state),
    )


def _read_code(code: Any) -> results.ResultCode:
    """Returns the result code; an unknown code of a newer version becomes an internal error."""
    known = set(results.ResultCode)
    return results.ResultCode(code) if code in known else results.ResultCode.INTERNAL_ERROR


def _read_seconds(value: Any) -> Optional[float]:
    return None if value is None else float(value)
