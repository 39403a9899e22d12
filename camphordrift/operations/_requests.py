"""Parses and validates the parameters and bodies of operators' requests."""

import json
from collections.abc import Mapping, Sequence
from typing import Any, Optional

import trio
from returns.result import Failure as Failed
from returns.result import Result, Success
from starlette.requests import ClientDisconnect, Request

from camphordrift.results import Failure, ResultCode

#: Maximum size in bytes of the body of an operator's request.
MAX_OPERATOR_BODY_BYTES = 4_000_000

#: Seconds within which the complete body must be received.
OPERATOR_BODY_TIMEOUT_SECONDS = 10.0

_BOOLEAN_VALUES = {"true": True, "false": False}


async def read_json_object(request: Request) -> Result[Mapping[str, Any], Failure]:
    """Reads the request body, which must be one JSON object without duplicate members."""
    body = await _read_body(request)
    return body.bind(_parse_json_object)


def check_parameters(request: Request, allowed_names: Sequence[str]) -> Optional[Failure]:
    """Returns a failure if a query parameter is unknown or repeated, otherwise ``None``."""
    names = [name for name, _ in request.query_params.multi_items()]
    for name in names:
        if name not in allowed_names:
            allowed = ", ".join(allowed_names) or "none"
            return _malformed_request_failure(
                f"unknown parameter {name[:40]!r}; allowed: {allowed}"
            )
        if names.count(name) > 1:
            return _malformed_request_failure(f"parameter {name} is repeated")
    return None


def integer_parameter(
    request: Request, name: str, default: int, highest: int
) -> Result[int, Failure]:
    """Returns an integer parameter from 1 to ``highest``, or the default if it is missing."""
    text = request.query_params.get(name)
    if text is None:
        return Success(default)
    is_integer = text.isascii() and text.isdigit() and len(text) <= len(str(highest))
    if not is_integer or not 1 <= int(text) <= highest:
        detail = f"parameter {name} is {text[:40]!r}; expected an integer from 1 to {highest}"
        return Failed(_malformed_request_failure(detail))
    return Success(int(text))


def boolean_parameter(request: Request, name: str) -> Result[bool, Failure]:
    """Returns a parameter that is ``true`` or ``false``, and false if it is missing."""
    text = request.query_params.get(name, "false")
    if text not in _BOOLEAN_VALUES:
        return Failed(
            _malformed_request_failure(f"parameter {name} is {text[:40]!r}; expected true or false")
        )
    return Success(_BOOLEAN_VALUES[text])


async def _read_body(request: Request) -> Result[bytes, Failure]:
    body = bytearray()
    with trio.move_on_after(OPERATOR_BODY_TIMEOUT_SECONDS) as scope:
        try:
            async for part in request.stream():
                body += part
                if len(body) > MAX_OPERATOR_BODY_BYTES:
                    detail = f"the body is larger than {MAX_OPERATOR_BODY_BYTES} bytes"
                    return Failed(Failure(ResultCode.BODY_TOO_LARGE, detail))
        except ClientDisconnect:
            return Failed(
                Failure(
                    ResultCode.CLIENT_DISCONNECTED,
                    "the caller disconnected before the body was complete",
                )
            )
    if scope.cancelled_caught:
        return Failed(
            Failure(ResultCode.BODY_TIMEOUT, "the body was not received within the timeout")
        )
    return Success(bytes(body))


def _parse_json_object(body: bytes) -> Result[Mapping[str, Any], Failure]:
    try:
        value = json.loads(
            body, object_pairs_hook=_unique_members, parse_constant=_reject_nan_and_infinity
        )
    except (ValueError, RecursionError) as error:
        return Failed(_malformed_request_failure(f"the body is not valid JSON: {str(error)[:200]}"))
    if not isinstance(value, dict):
        return Failed(_malformed_request_failure("the body is not a JSON object"))
    return Success(value)


def _unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) < len(pairs):
        raise ValueError("an object has a duplicate member")
    return members


def _reject_nan_and_infinity(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _malformed_request_failure(detail: str) -> Failure:
    return Failure(ResultCode.MALFORMED_REQUEST, detail)
