"""Handles requests to the OpenAI-compatible paths for completions and chat."""

from collections.abc import Callable

import trio
from returns import result
from returns.pipeline import is_successful
from starlette.requests import Request
from starlette.types import Receive, Scope, Send

from camphordrift.gateway._active_requests import ActiveRequest, TrackedRequest
from camphordrift.gateway._admission import Caller, identify_caller, new_request_id
from camphordrift.gateway._bodies import BodyReader
from camphordrift.gateway._context import GatewayContext
from camphordrift.gateway._errors import error_response, failure_of_cut_request
from camphordrift.gateway._generation_responder import AdmittedGeneration, GenerationResponder
from camphordrift.gateway._headers import read_timeout
from camphordrift.gateway._openai_bodies import GenerationBody
from camphordrift.gateway._permissions import permit_generation
from camphordrift.gateway._request_recorder import RequestEnd, failure_of
from camphordrift.gateway._request_scope import run_while_connected
from camphordrift.identifiers import RequestId
from camphordrift.results import Failure, ResultCode
from camphordrift.telemetry import request_context

BodyParser = Callable[[bytes], result.Result[GenerationBody, Failure]]


class GenerationEndpoint:
    """An ASGI application for one path: completions or chat."""

    def __init__(self, context: GatewayContext, interface: str, parse: BodyParser) -> None:
        self._context = context
        self._interface = interface
        self._parse = parse

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Validates, admits and runs one request, and writes its response."""
        request = Request(scope, receive)
        request_id = new_request_id()
        limits = self._context.limits
        reader = BodyReader(
            self._context.body_memory, limits.max_body_bytes, limits.body_timeout_seconds
        )
        with request_context(request_id), reader:
            caller = self._identify_caller(request)
            if not is_successful(caller):
                await self._send_refusal(request_id, caller.failure(), scope, receive, send)
                return
            arriving = _arriving_request(request_id, caller.unwrap(), limits.body_timeout_seconds)
            with self._context.active.track(arriving) as tracked:
                valid = await self._read_request(request, caller.unwrap(), reader, tracked)
                if not is_successful(valid):
                    await self._send_refusal(request_id, valid.failure(), scope, receive, send)
                    return
                await self._run_valid(valid.unwrap(), tracked, scope, receive, send)

    async def _send_refusal(
        self,
        request_id: RequestId,
        failure: Failure,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        self._context.recorder.record_refused(request_id, self._interface, failure)
        await error_response(failure, request_id)(scope, receive, send)

    def _identify_caller(self, request: Request) -> result.Result[Caller, Failure]:
        if request.method != "POST":
            detail = f"the path accepts POST, not {request.method}"
            return result.Failure(Failure(ResultCode.METHOD_NOT_ALLOWED, detail))
        return identify_caller(self._context, request)

    async def _read_request(
        self, request: Request, caller: Caller, reader: BodyReader, tracked: TrackedRequest
    ) -> result.Result[AdmittedGeneration, Failure]:
        with tracked.new_scope():
            raw = await reader.read(request)
            parsed = raw.bind(self._parse)
            if not is_successful(parsed):
                return result.Failure(parsed.failure())
            request_id = tracked.request.request_id
            return self._check_permission(request, request_id, caller, parsed.unwrap())
        return result.Failure(failure_of_cut_request(may_have_run=False))

    def _check_permission(
        self, request: Request, request_id: RequestId, caller: Caller, body: GenerationBody
    ) -> result.Result[AdmittedGeneration, Failure]:
        permitted = permit_generation(caller.snapshot, caller.account.account_id, body)
        if not is_successful(permitted):
            return result.Failure(permitted.failure())
        permission = permitted.unwrap()
        timeout = read_timeout(request.headers, permission.timeouts)
        is_long = body.prompt_tokens > caller.snapshot.tuning.long_prompt_tokens
        return timeout.map(
            lambda seconds: AdmittedGeneration(request_id, body, permission, seconds, is_long)
        )

    async def _pass_gate(
        self, valid: AdmittedGeneration, tracked: TrackedRequest
    ) -> result.Result[Callable[[], None], Failure]:
        tokens = valid.body.prompt_tokens + valid.body.max_output_tokens
        account_id = valid.permission.account_id
        with tracked.new_scope():
            return await self._context.gate.admit(account_id, tokens, valid.is_long)
        return result.Failure(failure_of_cut_request(may_have_run=False))

    async def _run_valid(
        self,
        admitted: AdmittedGeneration,
        tracked: TrackedRequest,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        gate = await self._pass_gate(admitted, tracked)
        if not is_successful(gate):
            await self._send_refusal(admitted.request_id, gate.failure(), scope, receive, send)
            return
        release = gate.unwrap()
        tracked.request = _active_request(admitted)
        try:
            responder = GenerationResponder(self._context, admitted, tracked, scope, receive, send)
            await run_while_connected(receive, responder.run)
            self._record_end(tracked.request, responder)
        finally:
            release()

    def _record_end(self, active: ActiveRequest, responder: GenerationResponder) -> None:
        outcome = responder.outcome
        if outcome is None:
            self._context.recorder.record_abandoned(
                active, self._interface, responder.delivered_tokens
            )
            return
        summary = outcome.value_or(None)
        end = RequestEnd(
            interface=self._interface,
            failure=failure_of(outcome),
            attempts=responder.attempts,
            server_id=None if summary is None else summary.engine_id,
            prompt_tokens=responder.prompt_tokens,
            output_tokens=responder.delivered_tokens,
            first_token_seconds=None if summary is None else summary.first_token_seconds,
        )
        self._context.recorder.record_ended(active, end)


def _arriving_request(
    request_id: RequestId, caller: Caller, body_timeout_seconds: float
) -> ActiveRequest:
    now = trio.current_time()
    return ActiveRequest(
        request_id=request_id,
        account_id=caller.account.account_id,
        subject="",
        admitted_at=now,
        deadline=now + body_timeout_seconds,
    )


def _active_request(admitted: AdmittedGeneration) -> ActiveRequest:
    now = trio.current_time()
    return ActiveRequest(
        request_id=admitted.request_id,
        account_id=admitted.permission.account_id,
        subject=admitted.body.model,
        admitted_at=now,
        deadline=now + admitted.timeout_seconds,
    )
