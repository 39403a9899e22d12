"""Reading of operators' requests."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Optional

import trio
from returns.result import Failure as Failed
from returns.result import Result, Success
from starlette.requests import ClientDisconnect, Request

from camphordrift.results import Failure, ResultCode

#: Largest body of an operator's request, in bytes.
MAX_OPERATOR_BODY_BYTES = 4_000_000

#: Time for a whole body to arrive, in seconds.
OPERATOR_BODY_TIMEOUT_SECONDS = 10.0

_SWITCH_VALUES = {"true": True, "false": False}


async def read_object(request: Request) -> Result[Mapping[str, Any], Failure]:
    """Reads a body that is one JSON object."""
    body = await _read_body(request)
    return body.bind(_parse_object)


def check_parameters(request: Request, known: Sequence[str]) -> Optional[Failure]:
    """Refuses parameters that are unknown or given twice."""
    names = [name for name, _ in request.query_params.multi_items()]
    for name in names:
        if name not in known:
            allowed = ", ".join(known) or "none"
            return _malformed(f"unknown parameter {name[:40]!r}; known: {allowed}")
        if names.count(name) > 1:
            return _malformed(f"parameter {name} is given twice")
    return None


def number_parameter(
    request: Request, name: str, default: int, highest: int
) -> Result[int, Failure]:
    """Returns a whole number from 1 to ``highest``, or the default."""
    text = request.query_params.get(name)
    if text is None:
        return Success(default)
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(highest))
    if not is_number or not 1 <= int(text) <= highest:
        detail = f"parameter {name} is {text[:40]!r}; expected a whole number from 1 to {highest}"
        return Failed(_malformed(detail))
    return Success(int(text))


def switch_parameter(request: Request, name: str) -> Result[bool, Failure]:
    """Returns a switch that is ``true`` or ``false``, and false by default."""
    text = request.query_params.get(name, "false")
    if text not in _SWITCH_VALUES:
        return Failed(_malformed(f"parameter {name} is {text[:40]!r}; expected true or false"))
    return Success(_SWITCH_VALUES[text])


async def _read_body(request: Request) -> Result[bytes, Failure]:
    body = bytearray()
    with trio.move_on_after(OPERATOR_BODY_TIMEOUT_SECONDS) as scope:
        try:
            async for part in request.stream():
                body += part
                if len(body) > MAX_OPERATOR_BODY_BYTES:
                    detail = f"the body is over {MAX_OPERATOR_BODY_BYTES} bytes"
                    return Failed(Failure(ResultCode.BODY_TOO_LARGE, detail))
        except ClientDisconnect:
            return Failed(Failure(ResultCode.CLIENT_DISCONNECTED, "the body broke off"))
    if scope.cancelled_caught:
        return Failed(Failure(ResultCode.BODY_TIMEOUT, "the body did not arrive in time"))
    return Success(bytes(body))


def _parse_object(body: bytes) -> Result[Mapping[str, Any], Failure]:
    try:
        value = json.loads(body, object_pairs_hook=_unique_members, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        return Failed(_malformed(f"the body is not JSON: {str(error)[:200]}"))
    if not isinstance(value, dict):
        return Failed(_malformed("the body is not a JSON object"))
    return Success(value)


def _unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) < len(pairs):
        raise ValueError("a member stands twice in one object")
    return members


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _malformed(detail: str) -> Failure:
    return Failure(ResultCode.MALFORMED_REQUEST, detail)
