"""Encodes failures as HTTP responses and server-sent events."""

import json
import math

from starlette.responses import Response

from camphordrift.gateway._headers import REQUEST_ID_HEADER
from camphordrift.identifiers import RequestId
from camphordrift.results import Failure, describe_failure


def error_body(failure: Failure, request_id: RequestId) -> bytes:
    """Returns the JSON body that describes ``failure``."""
    error = {**describe_failure(failure), "request_id": request_id}
    return json.dumps({"error": error}).encode("utf-8")


def error_response(failure: Failure, request_id: RequestId) -> Response:
    """Returns the HTTP response for ``failure``.

    Its ``Retry-After`` header contains the failure's retry delay, rounded up to whole seconds.
    """
    headers: dict[str, str] = {REQUEST_ID_HEADER: request_id}
    if failure.retry_after_seconds is not None:
        headers["retry-after"] = str(max(1, math.ceil(failure.retry_after_seconds)))
    return Response(
        error_body(failure, request_id),
        status_code=failure.http_status,
        headers=headers,
        media_type="application/json",
    )


def error_event(failure: Failure, request_id: RequestId) -> bytes:
    """Returns the server-sent event that ends a truncated stream."""
    return b"data: " + error_body(failure, request_id) + b"\n\n"
