"""Runs one admitted generation request and writes its response."""

import time
from dataclasses import dataclass
from typing import Optional

import trio
from returns import result
from returns.pipeline import is_successful
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from camphordrift.backend_servers import GenerationRequest, TokenChunk
from camphordrift.gateway._active_requests import TrackedRequest
from camphordrift.gateway._caller_stream import CallerGoneError, CallerStream
from camphordrift.gateway._context import GatewayContext
from camphordrift.gateway._errors import error_event, error_response, failure_of_cut_request
from camphordrift.gateway._generation import GenerationRunner, GenerationSummary
from camphordrift.gateway._headers import REQUEST_ID_HEADER
from camphordrift.gateway._lengths import prefix_block_hashes
from camphordrift.gateway._openai_bodies import GenerationBody
from camphordrift.gateway._permissions import GenerationPermission
from camphordrift.gateway._response_encoder import KEEP_ALIVE, ResponseEncoder
from camphordrift.identifiers import ModelName, RequestId
from camphordrift.results import Failure
from camphordrift.routing import GrantAsk

Outcome = result.Result[GenerationSummary, Failure]


@dataclass(frozen=True)
class AdmittedGeneration:
    """A generation request that passed authentication and validation."""

    #: Id that this VM assigned to the request.
    request_id: RequestId

    #: The validated request body.
    body: GenerationBody

    #: The service and engines that the client account may use for the request.
    permission: GenerationPermission

    #: Timeout of the request in seconds, counted from its admission.
    timeout_seconds: float

    #: Whether the prompt is longer than the configured ``long_prompt_tokens``.
    is_long: bool


class GenerationResponder:
    """Runs one admitted request and writes its response, as a stream or as one JSON body.

    Create one for each request and call :meth:`run` once.
    """

    def __init__(
        self,
        context: GatewayContext,
        admitted: AdmittedGeneration,
        tracked: TrackedRequest,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._tracked = tracked
        self._scope = scope
        self._receive = receive
        self._send = send
        self._encoder = ResponseEncoder(admitted.request_id, admitted.body, int(time.time()))
        headers = {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            REQUEST_ID_HEADER: admitted.request_id,
        }
        self._stream = CallerStream(send, headers, context.limits.write_timeout_seconds)
        self._runner = self._make_runner()
        self._outcome: Optional[Outcome] = None

    @property
    def outcome(self) -> Optional[Outcome]:
        """How the request ended; ``None`` if the caller disconnected before it ended."""
        return self._outcome

    @property
    def delivered_tokens(self) -> int:
        """The number of output tokens delivered so far."""
        return self._runner.delivered_tokens

    @property
    def attempts(self) -> int:
        """The number of attempts started so far."""
        return self._runner.attempts

    @property
    def prompt_tokens(self) -> int:
        """The prompt's estimated length in tokens."""
        return self._admitted.body.prompt_tokens

    async def run(self) -> None:
        """Runs the request and writes the response, unless the caller disconnects."""
        try:
            if self._admitted.body.stream:
                await self._run_streamed()
            else:
                await self._run_unstreamed()
        except CallerGoneError:
            # The exception has already cancelled the work on the engine, and nobody can receive a
            # response.
            return

    async def _run_streamed(self) -> None:
        async with trio.open_nursery() as nursery:
            interval = self._context.limits.keep_alive_seconds
            nursery.start_soon(self._stream.keep_alive, KEEP_ALIVE, interval)
            outcome = await self._run_until_cut()
            nursery.cancel_scope.cancel()
        # The outcome is stored before the last write. A caller may disconnect as soon as it has the
        # last byte, which cancels this task.
        self._outcome = outcome
        if is_successful(outcome):
            await self._stream.write(self._encoder.final_events(outcome.unwrap().output_tokens))
            await self._stream.end()
        elif self._stream.is_started:
            await self._stream.write(error_event(outcome.failure(), self._admitted.request_id))
            await self._stream.end()
        else:
            await self._send_refusal(outcome.failure())

    async def _run_unstreamed(self) -> None:
        outcome = await self._run_until_cut()
        self._outcome = outcome
        if is_successful(outcome):
            await self._write_complete(outcome.unwrap())
        else:
            await self._send_refusal(outcome.failure())

    async def _run_until_cut(self) -> Outcome:
        with self._tracked.new_scope():
            return await self._runner.run()
        return result.Failure(failure_of_cut_request(self._runner.may_have_run))

    async def _write_complete(self, summary: GenerationSummary) -> None:
        text = self._runner.delivered_text
        body = self._encoder.complete_body(text, summary.finish_reason, summary.output_tokens)
        headers = {REQUEST_ID_HEADER: str(self._admitted.request_id)}
        response = Response(body, media_type="application/json", headers=headers)
        await response(self._scope, self._receive, self._send)

    async def _write_chunk(self, chunk: TokenChunk) -> None:
        if self._admitted.body.stream:
            await self._stream.write(self._encoder.chunk_event(chunk))

    async def _send_refusal(self, failure: Failure) -> None:
        response = error_response(failure, self._admitted.request_id)
        await response(self._scope, self._receive, self._send)

    def _make_runner(self) -> GenerationRunner:
        request = _generation_request(self._admitted)
        return GenerationRunner(
            grants=self._context.grants,
            engines=self._context.engines,
            policy=self._context.attempt_policy,
            grant_request=_grant_request(self._context, self._admitted, request.prefix_blocks),
            request=request,
            sink=self._write_chunk,
        )


def _grant_request(
    context: GatewayContext, admitted: AdmittedGeneration, prefix_blocks: tuple[int, ...]
) -> GrantAsk:
    body = admitted.body
    return GrantAsk(
        request_id=admitted.request_id,
        attempt=1,
        vm_id=context.vm_id,
        account_id=admitted.permission.account_id,
        model=ModelName(body.model),
        prompt_tokens=body.prompt_tokens,
        expected_output_tokens=body.max_output_tokens,
        max_output_tokens=body.max_output_tokens,
        remaining_seconds=admitted.timeout_seconds,
        prefix_blocks=prefix_blocks,
        permitted_engines=admitted.permission.engines,
    )


def _generation_request(admitted: AdmittedGeneration) -> GenerationRequest:
    body = admitted.body
    return GenerationRequest(
        request_id=admitted.request_id,
        attempt=1,
        model=ModelName(body.model),
        prompt_tokens=body.prompt_tokens,
        max_output_tokens=body.max_output_tokens,
        prompt=body.prompt,
        prefix_blocks=prefix_block_hashes(admitted.permission.account_id, body.prompt),
        remaining_seconds=admitted.timeout_seconds,
        is_chat=body.is_chat,
        options_json=body.options_json,
    )
