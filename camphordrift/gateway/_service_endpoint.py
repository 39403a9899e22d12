"""Forwards calls to plain services; the path of a call selects the service."""

from collections.abc import Callable

import trio
from returns import result
from returns.pipeline import is_successful
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from camphordrift.backend_http import HttpResponse
from camphordrift.calls import (
    DispatchNotSent,
    DispatchReply,
    DispatchUnanswered,
    Repeatability,
    SendGate,
    ServiceCall,
)
from camphordrift.gateway._active_requests import ActiveRequest, TrackedRequest
from camphordrift.gateway._admission import identify_caller, new_request_id
from camphordrift.gateway._at_most_once import (
    REPEATED_HEADER,
    AtMostOnceSender,
    http_response_from_outcome,
)
from camphordrift.gateway._bodies import BodyReader
from camphordrift.gateway._context import GatewayContext
from camphordrift.gateway._errors import error_response, failure_of_cut_call
from camphordrift.gateway._headers import (
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    read_timeout,
)
from camphordrift.gateway._permissions import ServicePermission, permit_service_call
from camphordrift.gateway._request_recorder import RequestEnd, failure_of
from camphordrift.gateway._request_scope import run_while_connected
from camphordrift.gateway._service_calls import ServiceRequest
from camphordrift.identifiers import RequestId
from camphordrift.results import Failure
from camphordrift.telemetry import request_context

#: Name of this API in logs and metrics.
INTERFACE = "service"

#: Request headers that are forwarded to the service.
FORWARDED_REQUEST_HEADERS = ("content-type", "accept", "accept-language", "idempotency-key")

#: Response headers that are forwarded to the caller.
FORWARDED_RESPONSE_HEADERS = (
    REPEATED_HEADER,
    "content-type",
    "content-language",
    "retry-after",
    "location",
)


class ServiceEndpoint:
    """An ASGI application for all paths that belong to plain services."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Validates, admits and forwards one call, and writes its response."""
        request = Request(scope, receive)
        request_id = new_request_id()
        limits = self._context.limits
        reader = BodyReader(
            self._context.body_memory, limits.max_body_bytes, limits.body_timeout_seconds
        )
        with request_context(request_id), reader:
            permitted = self._check_permission(request)
            if not is_successful(permitted):
                await self._send_refusal(request, request_id, permitted.failure(), send)
                return
            permission = permitted.unwrap()
            arriving = _active_request(request_id, permission, limits.body_timeout_seconds)
            with self._context.active.track(arriving) as tracked:
                body = await self._read_body(request, reader, tracked)
                if not is_successful(body):
                    await self._send_refusal(request, request_id, body.failure(), send)
                    return
                await self._run_permitted(request, tracked, permission, body.unwrap(), send)

    async def _read_body(
        self, request: Request, reader: BodyReader, tracked: TrackedRequest
    ) -> result.Result[bytes, Failure]:
        with tracked.new_scope():
            return await reader.read(request)
        return result.Failure(failure_of_cut_call(may_have_run=False))

    async def _pass_gate(
        self, permission: ServicePermission, tracked: TrackedRequest
    ) -> result.Result[Callable[[], None], Failure]:
        with tracked.new_scope():
            return await self._context.gate.admit(permission.account_id, 0, False)
        return result.Failure(failure_of_cut_call(may_have_run=False))

    async def _send_refusal(
        self, request: Request, request_id: RequestId, failure: Failure, send: Send
    ) -> None:
        self._context.recorder.record_refused(request_id, INTERFACE, failure)
        await error_response(failure, request_id)(request.scope, request.receive, send)

    def _check_permission(self, request: Request) -> result.Result[ServicePermission, Failure]:
        caller = identify_caller(self._context, request)
        return caller.bind(
            lambda known: permit_service_call(
                known.snapshot, known.account.account_id, request.url.path
            )
        )

    async def _run_permitted(
        self,
        request: Request,
        tracked: TrackedRequest,
        permission: ServicePermission,
        body: bytes,
        send: Send,
    ) -> None:
        request_id = tracked.request.request_id
        timeout = read_timeout(request.headers, permission.timeouts)
        if not is_successful(timeout):
            await self._send_refusal(request, request_id, timeout.failure(), send)
            return
        admitted = await self._pass_gate(permission, tracked)
        if not is_successful(admitted):
            await self._send_refusal(request, request_id, admitted.failure(), send)
            return
        release = admitted.unwrap()
        seconds = timeout.unwrap()
        call = _service_request(request, request_id, permission, body)

        active = _active_request(request_id, permission, seconds)
        tracked.request = active

        async def work() -> None:
            outcome = await self._send_call(call, permission, seconds, tracked)
            self._context.recorder.record_ended(active, RequestEnd(INTERFACE, failure_of(outcome)))
            response = _response_from_outcome(outcome, request_id)
            await response(request.scope, request.receive, send)

        try:
            if not _is_repeatable(permission, request):
                # A call that must not be retried is completed even if its caller disconnects.
                await work()
            elif not await run_while_connected(request.receive, work):
                self._context.recorder.record_abandoned(active, INTERFACE, 0)
        finally:
            release()

    async def _send_call(
        self,
        call: ServiceRequest,
        permission: ServicePermission,
        seconds: float,
        tracked: TrackedRequest,
    ) -> result.Result[HttpResponse, Failure]:
        path = call.target.partition("?")[0]
        if permission.service.is_repeatable(call.method, path):
            with tracked.new_scope():
                return await self._context.services.call(call, permission.servers, seconds)
            return result.Failure(failure_of_cut_call(may_have_run=True))
        sender = AtMostOnceSender(
            self._context.connections, self._context.server_selector, call, permission.servers
        )

        async def dispatch(service_call: ServiceCall, gate: SendGate) -> DispatchReply:
            # The coordinator shields a claimed dispatch from the scope below.
            with tracked.new_scope():
                return await sender.dispatch(service_call, gate)
            failure = failure_of_cut_call(sender.may_have_sent)
            return (DispatchUnanswered if sender.may_have_sent else DispatchNotSent)(failure)

        service_call = _service_call(call, permission, seconds)
        with tracked.new_scope():
            outcome = await self._context.calls.execute(service_call, dispatch)
            return outcome.map(http_response_from_outcome)
        return result.Failure(failure_of_cut_call(sender.may_have_sent))


def _is_repeatable(permission: ServicePermission, request: Request) -> bool:
    return permission.service.is_repeatable(request.method, request.url.path)


def _service_call(
    call: ServiceRequest, permission: ServicePermission, seconds: float
) -> ServiceCall:
    return ServiceCall(
        account_id=permission.account_id,
        service=call.service,
        method=call.method,
        path=call.target,
        body=call.body,
        content_type=call.headers.get("content-type", ""),
        key=call.headers.get(IDEMPOTENCY_KEY_HEADER),
        repeatability=Repeatability.ONCE_WITHOUT_KEY,
        remaining_seconds=seconds,
    )


def _service_request(
    request: Request, request_id: RequestId, permission: ServicePermission, body: bytes
) -> ServiceRequest:
    path = request.url.path
    query = f"?{request.url.query}" if request.url.query else ""
    headers = {
        name: request.headers[name] for name in FORWARDED_REQUEST_HEADERS if name in request.headers
    }
    headers[REQUEST_ID_HEADER] = request_id
    return ServiceRequest(
        request_id=request_id,
        service=permission.service.name,
        method=request.method,
        target=path + query,
        headers=headers,
        body=body,
    )


def _active_request(
    request_id: RequestId, permission: ServicePermission, seconds: float
) -> ActiveRequest:
    now = trio.current_time()
    return ActiveRequest(
        request_id, permission.account_id, permission.service.name, now, now + seconds
    )


def _response_from_outcome(
    outcome: result.Result[HttpResponse, Failure], request_id: RequestId
) -> Response:
    if not is_successful(outcome):
        return error_response(outcome.failure(), request_id)
    received = outcome.unwrap()
    headers = {
        name: received.headers[name]
        for name in FORWARDED_RESPONSE_HEADERS
        if name in received.headers
    }
    headers[REQUEST_ID_HEADER] = request_id
    return Response(received.body, status_code=received.status, headers=headers)
