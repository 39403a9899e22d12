"""Runs one generation request: asks for an engine, relays its answer, and continues elsewhere."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Optional, Protocol

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.backend_servers import (
    BackendError,
    BackendRefusedError,
    BackendSilentError,
    BackendUnreachableError,
    EngineClient,
    GenerationRequest,
    TokenChunk,
)
from camphordrift.gateway._answer import AnswerAssembler, AnswerMismatchError
from camphordrift.identifiers import BackendServerId, RequestId
from camphordrift.results import Failure, ResultCode, RunState
from camphordrift.routing import Grant, GrantAsk, GrantOutcome, GrantSource

#: Attempts at one request, the first included.
MAX_ATTEMPTS = 5

ChunkSink = Callable[[TokenChunk], Awaitable[None]]


@dataclass(frozen=True)
class GenerationSummary:
    """How a request that got its whole answer went."""

    #: Attempts that were made.
    attempts: int

    #: The engine that ended the answer.
    engine_id: BackendServerId

    #: Tokens of the answer.
    output_tokens: int

    #: Why the answer ended.
    finish_reason: str

    #: Seconds from the start to the first token.
    first_token_seconds: float


@dataclass(frozen=True)
class FailedAttempt:
    """An attempt that did not lead to a whole answer."""

    #: The request.
    request_id: RequestId

    #: The engine.
    engine_id: BackendServerId

    #: Number of the attempt, from 1.
    attempt: int

    #: Why it failed.
    error: Exception

    #: Time left for the whole request, in seconds.
    remaining_seconds: float


class AttemptObserver(Protocol):
    """Learns how engines behave, and says how long to wait before another attempt."""

    def attempt_succeeded(self, engine_id: BackendServerId) -> None:
        """Notes that the engine gave a whole answer."""
        ...

    def attempt_failed(self, failed: FailedAttempt) -> Optional[float]:
        """Returns the delay before the next attempt in seconds, or ``None`` for no further one."""
        ...


class NoDelayObserver:
    """Allows :data:`MAX_ATTEMPTS` attempts, one right after the other."""

    def attempt_succeeded(self, engine_id: BackendServerId) -> None:
        """Notes nothing."""

    def attempt_failed(self, failed: FailedAttempt) -> Optional[float]:
        """Returns zero, or ``None`` after the last attempt."""
        return 0.0 if failed.attempt < MAX_ATTEMPTS else None


class GenerationRunner:
    """Runs one request to its end.

    Create one for each request and call :meth:`run` once. The runner keeps to the deadline: it
    returns a failure when the time is over, whatever the engine does. Cancelling ``run`` cancels
    the work on the engine.
    """

    def __init__(
        self,
        grants: GrantSource,
        engines: EngineClient,
        observer: AttemptObserver,
        ask: GrantAsk,
        request: GenerationRequest,
        sink: ChunkSink,
    ) -> None:
        self._grants = grants
        self._engines = engines
        self._observer = observer
        self._ask = ask
        self._request = request
        self._sink = sink
        self._assembler = AnswerAssembler(request.request_id)
        self._attempt = 0
        self._avoided: set[BackendServerId] = set()
        self._any_attempt_sent = False
        self._started_at = trio.current_time()
        self._deadline = self._started_at + ask.remaining_seconds
        self._first_token_at: Optional[float] = None

    @property
    def delivered_tokens(self) -> int:
        """Tokens that the sink has taken so far."""
        return self._assembler.delivered_tokens

    @property
    def attempts(self) -> int:
        """Attempts that were begun so far."""
        return self._attempt

    async def run(self) -> result.Result[GenerationSummary, Failure]:
        """Returns a summary once the sink has the whole answer, or why it never will."""
        with trio.move_on_at(self._deadline):
            return await self._run_attempts()
        return result.Failure(self._deadline_failure())

    async def _run_attempts(self) -> result.Result[GenerationSummary, Failure]:
        while True:
            self._attempt += 1
            granted = await self._grants.acquire(self._next_ask())
            if not is_successful(granted):
                return result.Failure(self._after_refusal(granted.failure()))
            grant = granted.unwrap()
            error = await self._run_granted(grant)
            if error is None:
                self._observer.attempt_succeeded(grant.engine_id)
                return result.Success(self._summary(grant))
            self._avoided.add(grant.engine_id)
            delay = self._observer.attempt_failed(self._failed_attempt(grant, error))
            if delay is None:
                return result.Failure(self._failure_of(error))
            await trio.sleep(delay)

    async def _run_granted(self, grant: Grant) -> Optional[Exception]:
        """Runs one attempt, and returns why it failed or ``None``."""
        tokens_before = self._assembler.delivered_tokens
        error: Optional[Exception] = None
        completed = False
        try:
            await self._relay(grant)
            completed = True
        except (BackendError, AnswerMismatchError) as caught:
            error = caught
        finally:
            outcome = GrantOutcome(
                request_id=grant.request_id,
                attempt=grant.attempt,
                engine_id=grant.engine_id,
                completed=completed,
                engine_failed=error is not None and not _is_plain_refusal(error),
                output_tokens=self._assembler.delivered_tokens - tokens_before,
            )
            self._grants.finish(grant, outcome)
        return error

    async def _relay(self, grant: Grant) -> None:
        self._assembler.start_attempt(grant.attempt)
        request = self._attempt_request(grant)
        for part in grant.parts:
            with self._noting_sent():
                await self._engines.prefill_part(part, request)
        with self._noting_sent():
            async with self._engines.generate(grant.engine_id, request) as chunks:
                async for chunk in chunks:
                    await self._deliver(grant, chunk)
                    if self._assembler.is_complete:
                        return
        raise AnswerMismatchError("the answer ended without saying why")

    @contextmanager
    def _noting_sent(self) -> Iterator[None]:
        """Notes that bytes of the request may have reached an engine, unless none can have."""
        sent_before = self._any_attempt_sent
        self._any_attempt_sent = True
        try:
            yield
        except BackendUnreachableError:
            self._any_attempt_sent = sent_before
            raise

    async def _deliver(self, grant: Grant, chunk: TokenChunk) -> None:
        fresh = self._assembler.accept(chunk)
        if fresh is None:
            return
        if self._first_token_at is None and fresh.token_count > 0:
            self._first_token_at = trio.current_time()
            self._grants.report_first_token(grant)
        await self._sink(fresh)

    def _next_ask(self) -> GrantAsk:
        delivered = self._assembler.delivered_tokens
        return replace(
            self._ask,
            attempt=self._attempt,
            prompt_tokens=self._ask.prompt_tokens + delivered,
            expected_output_tokens=max(1, self._ask.expected_output_tokens - delivered),
            remaining_seconds=self._remaining_seconds(),
            avoided_engines=self._ask.avoided_engines | self._avoided,
        )

    def _attempt_request(self, grant: Grant) -> GenerationRequest:
        progress = self._assembler.progress
        return replace(
            self._request,
            attempt=grant.attempt,
            priority=grant.priority,
            remaining_seconds=self._remaining_seconds(),
            delivered_tokens=progress.delivered_tokens,
            delivered_text=progress.delivered_text.encode("utf-8"),
            kv_parts=grant.parts,
        )

    def _remaining_seconds(self) -> float:
        return max(0.0, self._deadline - trio.current_time())

    def _failed_attempt(self, grant: Grant, error: Exception) -> FailedAttempt:
        return FailedAttempt(
            request_id=grant.request_id,
            engine_id=grant.engine_id,
            attempt=grant.attempt,
            error=error,
            remaining_seconds=self._remaining_seconds(),
        )

    def _summary(self, grant: Grant) -> GenerationSummary:
        first_token_at = self._first_token_at
        if first_token_at is None:
            first_token_at = trio.current_time()
        return GenerationSummary(
            attempts=self._attempt,
            engine_id=grant.engine_id,
            output_tokens=self._assembler.delivered_tokens,
            finish_reason=self._assembler.progress.finish_reason or "stop",
            first_token_seconds=first_token_at - self._started_at,
        )

    def _deadline_failure(self) -> Failure:
        if self._any_attempt_sent:
            return Failure(ResultCode.BACKEND_DEADLINE_PASSED, "the request's time is over")
        return Failure(
            ResultCode.DEADLINE_PASSED_IN_QUEUE, "the request's time was over before it was sent"
        )

    def _after_refusal(self, refusal: Failure) -> Failure:
        if not self._any_attempt_sent:
            return refusal
        return replace(refusal, run_state_override=RunState.FAILED)

    def _failure_of(self, error: Exception) -> Failure:
        match error:
            case BackendUnreachableError():
                failure = Failure(ResultCode.BACKEND_UNREACHABLE, str(error))
            case BackendRefusedError():
                failure = Failure(ResultCode.BACKEND_REFUSED, str(error))
            case BackendSilentError():
                failure = Failure(ResultCode.BACKEND_SILENT, str(error))
            case AnswerMismatchError():
                failure = Failure(ResultCode.BACKEND_ANSWER_MISMATCH, str(error))
            case _:
                failure = Failure(ResultCode.BACKEND_STREAM_BROKEN, str(error))
        return self._after_refusal(failure)


def _is_plain_refusal(error: Exception) -> bool:
    """Returns whether the engine is healthy and only declined the attempt."""
    return isinstance(error, BackendRefusedError) and error.not_run
