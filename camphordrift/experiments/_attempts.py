"""Runs one request of a measurement the way an entry VM does: ask, stream, continue elsewhere."""

from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Optional

import trio
from returns import result

from camphordrift.backend_servers import (
    BackendError,
    EngineClient,
    GenerationRequest,
    TokenChunk,
)
from camphordrift.experiments._records import Record
from camphordrift.experiments._workload import Arrival
from camphordrift.identifiers import BackendServerId, ModelName, VmId
from camphordrift.results import Failure, ResultCode, RunState
from camphordrift.routing import Grant, GrantAsk, GrantOutcome, GrantSource

#: An engine that sends nothing for this time is taken for silent, in seconds.
IDLE_TIMEOUT_SECONDS = 10.0

_MAX_ATTEMPTS = 5


def first_ask(arrival: Arrival, model: ModelName, vm_id: VmId) -> GrantAsk:
    """Returns the ask of the first attempt."""
    return GrantAsk(
        request_id=arrival.request_id,
        attempt=1,
        vm_id=vm_id,
        account_id=arrival.account_id,
        model=model,
        prompt_tokens=arrival.prompt_tokens,
        expected_output_tokens=arrival.output_tokens,
        max_output_tokens=arrival.output_tokens,
        remaining_seconds=arrival.band.timeout_seconds,
        prefix_blocks=arrival.prefix_blocks,
    )


class RequestRun:
    """One request from its arrival to its end, noted in a record."""

    def __init__(
        self, record: Record, ask: GrantAsk, source: GrantSource, engines: EngineClient
    ) -> None:
        self._record = record
        self._ask = ask
        self._source = source
        self._engines = engines
        self._deadline = record.arrival.at + ask.remaining_seconds
        self._failed: set[BackendServerId] = set()

    async def run(self) -> None:
        """Runs attempts until the answer is whole, the time is up or nobody will take it."""
        with trio.move_on_at(self._deadline):
            await self._run_attempts()
        self._record.ended_at = trio.current_time()
        if self._record.code is None:
            self._note_deadline()

    async def _run_attempts(self) -> None:
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            match await self._source.acquire(self._ask_of(attempt)):
                case result.Success(grant):
                    await self._run_granted(grant)
                case result.Failure(failure):
                    self._note_failure(failure)
            if self._record.code is not None:
                return
        self._note_failure(Failure(ResultCode.RETRY_BUDGET_SPENT, "too many attempts failed"))

    def _ask_of(self, attempt: int) -> GrantAsk:
        delivered = self._record.tokens
        return replace(
            self._ask,
            attempt=attempt,
            prompt_tokens=self._ask.prompt_tokens + delivered,
            expected_output_tokens=self._ask.expected_output_tokens - delivered,
            max_output_tokens=self._ask.max_output_tokens - delivered,
            remaining_seconds=self._deadline - trio.current_time(),
            avoided_engines=frozenset(self._failed),
        )

    async def _run_granted(self, grant: Grant) -> None:
        engine_failed = False
        try:
            await self._stream(grant)
        except (BackendError, trio.TooSlowError):
            engine_failed = True
        finally:
            if engine_failed:
                self._failed.add(grant.engine_id)
            self._source.finish(grant, self._outcome(grant, engine_failed))

    def _outcome(self, grant: Grant, engine_failed: bool) -> GrantOutcome:
        completed = self._record.code is ResultCode.OK
        return GrantOutcome(
            grant.request_id,
            grant.attempt,
            grant.engine_id,
            completed,
            engine_failed,
            self._record.tokens,
        )

    async def _stream(self, grant: Grant) -> None:
        self._record.sent_attempts += 1
        request = self._generation_request(grant)
        first = True
        async with self._engines.generate(grant.engine_id, request) as chunks:
            while True:
                chunk = await self._next_chunk(chunks, first)
                if chunk is None:
                    return
                if first:
                    self._source.report_first_token(grant)
                    first = False
                self._take(chunk)

    async def _next_chunk(
        self, chunks: AsyncIterator[TokenChunk], first: bool
    ) -> Optional[TokenChunk]:
        timeout = self._ask.remaining_seconds if first else IDLE_TIMEOUT_SECONDS
        with trio.fail_after(timeout):
            try:
                return await anext(chunks)
            except StopAsyncIteration:
                return None

    def _take(self, chunk: TokenChunk) -> None:
        record = self._record
        assert chunk.request_id == self._ask.request_id, "a chunk of another request"
        assert chunk.first_token == record.tokens, "a token was lost or doubled"
        if record.first_token_at is None:
            record.first_token_at = trio.current_time()
        record.tokens += chunk.token_count
        if chunk.finish_reason is not None:
            assert record.tokens == self._ask.max_output_tokens, "an answer is not whole"
            record.code = ResultCode.OK

    def _generation_request(self, grant: Grant) -> GenerationRequest:
        return GenerationRequest(
            request_id=self._ask.request_id,
            attempt=grant.attempt,
            model=self._ask.model,
            prompt_tokens=self._ask.prompt_tokens,
            max_output_tokens=self._ask.max_output_tokens,
            prompt=b"",
            prefix_blocks=self._ask.prefix_blocks,
            priority=grant.priority,
            remaining_seconds=self._deadline - trio.current_time(),
            delivered_tokens=self._record.tokens,
            kv_parts=grant.parts,
        )

    def _note_failure(self, failure: Failure) -> None:
        self._record.code = failure.code
        state = failure.run_state
        was_sent = self._record.sent_attempts > 0
        self._record.run_state = RunState.FAILED if was_sent else state

    def _note_deadline(self) -> None:
        if self._record.sent_attempts:
            self._note_failure(Failure(ResultCode.BACKEND_DEADLINE_PASSED, "time is up"))
        else:
            self._note_failure(Failure(ResultCode.DEADLINE_PASSED_IN_QUEUE, "time is up"))
