"""Creates the JSON responses to operators' requests."""

import json
import math
from collections.abc import Mapping
from types import MappingProxyType

from returns.result import Failure as Failed
from returns.result import Result, Success
from starlette.responses import Response

from camphordrift.operations._providers import Refusal
from camphordrift.results import Failure, describe_failure
from camphordrift.telemetry import to_json_types


def data_response(value: object, status: int = 200) -> Response:
    """Returns a response with ``value``, data classes or JSON types, as indented JSON."""
    return _json_response(to_json_types(value), status)


def failure_response(
    failure: Failure, details: Mapping[str, object] = MappingProxyType({})
) -> Response:
    """Returns an error response: the failure as a JSON object, extended by ``details``."""
    error = {**describe_failure(failure), **to_json_types(details)}
    response = _json_response({"error": error}, failure.http_status)
    if failure.retry_after_seconds is not None:
        response.headers["retry-after"] = str(max(1, math.ceil(failure.retry_after_seconds)))
    return response


def result_response(result: Result[object, Refusal]) -> Response:
    """Returns the data of a successful operation, or the failure of a refused one."""
    match result:
        case Success(value):
            return data_response(value)
        case Failed(Refusal(failure, details)):
            return failure_response(failure, details)
    raise AssertionError(f"neither success nor failure: {result!r}")


def _json_response(content: object, status: int) -> Response:
    text = json.dumps(content, indent=2, ensure_ascii=False, allow_nan=False)
    body = text.encode("utf-8", errors="backslashreplace") + b"\n"
    return Response(body, status, media_type="application/json")
