"""Encodes failures as HTTP responses and server-sent events."""

import json
import math

from starlette.responses import Response

from camphordrift.gateway._headers import REQUEST_ID_HEADER
from camphordrift.identifiers import RequestId
from camphordrift.results import Failure, ResultCode, describe_failure

#: Retry-After in seconds for a request that was cut by the stop of the VM.
STOPPED_RETRY_AFTER_SECONDS = 1.0


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


def failure_of_cut_request(may_have_run: bool) -> Failure:
    """Returns the failure of a generation request that was cut by the stop of the VM."""
    if may_have_run:
        detail = "this VM stopped before the output was complete; retry to reach another VM"
        return Failure(ResultCode.VM_STOPPED, detail, STOPPED_RETRY_AFTER_SECONDS)
    detail = "this VM stopped before the request was sent; retry to reach another VM"
    return Failure(ResultCode.VM_DRAINING, detail, STOPPED_RETRY_AFTER_SECONDS)


def failure_of_cut_call(may_have_run: bool) -> Failure:
    """Returns the failure of a call to a plain service that was cut by the stop of the VM."""
    if may_have_run:
        detail = "this VM stopped before the service responded; the call may have run"
        return Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, detail)
    return failure_of_cut_request(may_have_run=False)


def error_event(failure: Failure, request_id: RequestId) -> bytes:
    """Returns the server-sent event that ends a truncated stream."""
    return b"data: " + error_body(failure, request_id) + b"\n\n"
