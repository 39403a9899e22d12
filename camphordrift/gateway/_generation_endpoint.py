"""Handles requests to the OpenAI-compatible paths for completions and chat."""

from collections.abc import Callable

import trio
from returns import result
from returns.pipeline import is_successful
from starlette.requests import Request
from starlette.types import Receive, Scope, Send

from camphordrift.gateway._active_requests import ActiveRequest
from camphordrift.gateway._admission import Caller, identify_caller, new_request_id
from camphordrift.gateway._bodies import BodyReader
from camphordrift.gateway._context import GatewayContext
from camphordrift.gateway._errors import error_response
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
            admitted = await self._validate_request(request, request_id, reader)
            if not is_successful(admitted):
                await self._send_refusal(request_id, admitted.failure(), scope, receive, send)
                return
            await self._run_admitted(admitted.unwrap(), scope, receive, send)

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

    async def _validate_request(
        self, request: Request, request_id: RequestId, reader: BodyReader
    ) -> result.Result[AdmittedGeneration, Failure]:
        if request.method != "POST":
            detail = f"the path accepts POST, not {request.method}"
            return result.Failure(Failure(ResultCode.METHOD_NOT_ALLOWED, detail))
        caller = identify_caller(self._context, request)
        if not is_successful(caller):
            return result.Failure(caller.failure())
        raw = await reader.read(request)
        parsed = raw.bind(self._parse)
        if not is_successful(parsed):
            return result.Failure(parsed.failure())
        return self._check_permission(request, request_id, caller.unwrap(), parsed.unwrap())

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

    async def _run_admitted(
        self, admitted: AdmittedGeneration, scope: Scope, receive: Receive, send: Send
    ) -> None:
        tokens = admitted.body.prompt_tokens + admitted.body.max_output_tokens
        account_id = admitted.permission.account_id
        gate = await self._context.gate.admit(account_id, tokens, admitted.is_long)
        if not is_successful(gate):
            await self._send_refusal(admitted.request_id, gate.failure(), scope, receive, send)
            return
        release = gate.unwrap()
        active = _active_request(admitted)
        try:
            with self._context.active.track(active) as tracked:
                responder = GenerationResponder(
                    self._context, admitted, tracked, scope, receive, send
                )
                await run_while_connected(receive, responder.run)
                self._record_end(active, responder)
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


def _active_request(admitted: AdmittedGeneration) -> ActiveRequest:
    now = trio.current_time()
    return ActiveRequest(
        request_id=admitted.request_id,
        account_id=admitted.permission.account_id,
        subject=admitted.body.model,
        admitted_at=now,
        deadline=now + admitted.timeout_seconds,
    )
