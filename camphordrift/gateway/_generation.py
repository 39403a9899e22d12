"""Runs a generation request on engines, with retries.

Each attempt needs a grant: the permission of the scheduler to run the request on one engine.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Optional

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.backend_servers import (
    BackendError,
    BackendRefusedError,
    EngineClient,
    GenerationRequest,
    TokenChunk,
)
from camphordrift.gateway._attempt_policy import AttemptPolicy, FailedAttempt
from camphordrift.gateway._output import AnswerMismatchError, OutputAssembler
from camphordrift.identifiers import BackendServerId
from camphordrift.results import Failure, ResultCode, RunState
from camphordrift.retries import AttemptError, GiveUp, Retry
from camphordrift.routing import Grant, GrantAsk, GrantOutcome, GrantSource

ChunkSink = Callable[[TokenChunk], Awaitable[None]]


@dataclass(frozen=True)
class GenerationSummary:
    """Summary of a generation request whose output is complete."""

    #: Number of attempts.
    attempts: int

    #: The engine that ran the last attempt.
    engine_id: BackendServerId

    #: Number of output tokens.
    output_tokens: int

    #: Why the output ended: ``stop`` or ``length``.
    finish_reason: str

    #: Seconds from the start of the request to its first token.
    first_token_seconds: float


class GenerationRunner:
    """Runs one generation request until its output is complete or it fails.

    Create one for each request and call :meth:`run` once. It returns a failure when the deadline
    passes, even if the engine does not respond. Cancelling ``run`` cancels the work on the engine.
    Chunks are passed to ``sink`` in order.
    """

    def __init__(
        self,
        grants: GrantSource,
        engines: EngineClient,
        policy: AttemptPolicy,
        grant_request: GrantAsk,
        request: GenerationRequest,
        sink: ChunkSink,
    ) -> None:
        self._grants = grants
        self._engines = engines
        self._policy = policy
        self._grant_request = grant_request
        self._request = request
        self._sink = sink
        self._assembler = OutputAssembler(request.request_id)
        self._attempt = 0
        self._avoided: set[BackendServerId] = set()
        self._may_have_run = False
        self._engine_id: Optional[BackendServerId] = None
        self._started_at = trio.current_time()
        self._deadline = self._started_at + grant_request.remaining_seconds
        self._first_token_at: Optional[float] = None
        self._attempt_has_token = False

    @property
    def delivered_tokens(self) -> int:
        """The number of output tokens delivered to the sink so far."""
        return self._assembler.delivered_tokens

    @property
    def delivered_text(self) -> str:
        """The text of the tokens delivered so far."""
        return self._assembler.progress.delivered_text

    @property
    def attempts(self) -> int:
        """The number of attempts started so far."""
        return self._attempt

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have reached an engine."""
        return self._may_have_run

    async def run(self) -> result.Result[GenerationSummary, Failure]:
        """Returns a summary once the output is complete, or the reason why the request failed."""
        with trio.move_on_at(self._deadline):
            return await self._run_attempts()
        return result.Failure(self._deadline_failure())

    async def _run_attempts(self) -> result.Result[GenerationSummary, Failure]:
        self._policy.on_first_attempt(self._request.model)
        while True:
            self._attempt += 1
            granted = await self._grants.acquire(self._next_grant_request())
            if not is_successful(granted):
                return result.Failure(self._failure_after_refusal(granted.failure()))
            grant = granted.unwrap()
            # The prefill of a large prompt's parts on other engines is requested before the attempt
            # itself, so it may have run even if the attempt was not sent.
            earlier_may_have_run = self._may_have_run or bool(grant.parts)
            error = await self._run_granted(grant)
            if error is None:
                return result.Success(self._summary(grant))
            self._avoided.add(grant.engine_id)
            match self._policy.on_failed(self._failed_attempt(grant, error, earlier_may_have_run)):
                case GiveUp(failure):
                    return result.Failure(failure)
                case Retry(delay_seconds, may_have_run):
                    self._may_have_run = may_have_run
                    await trio.sleep(delay_seconds)

    async def _run_granted(self, grant: Grant) -> Optional[AttemptError]:
        """Runs one attempt and returns the error if it failed, otherwise ``None``."""
        tokens_before = self._assembler.delivered_tokens
        error: Optional[AttemptError] = None
        completed = False
        try:
            await self._relay_output(grant)
            completed = True
        except BackendError as caught:
            error = caught
        except AnswerMismatchError as caught:
            error = _mismatch_failure(caught)
        finally:
            outcome = GrantOutcome(
                request_id=grant.request_id,
                attempt=grant.attempt,
                engine_id=grant.engine_id,
                completed=completed,
                engine_failed=error is not None and not _declined_without_running(error),
                output_tokens=self._assembler.delivered_tokens - tokens_before,
            )
            self._grants.finish(grant, outcome)
        return error

    async def _relay_output(self, grant: Grant) -> None:
        self._assembler.start_attempt(grant.attempt)
        self._attempt_has_token = False
        self._may_have_run = True
        self._engine_id = grant.engine_id
        request = self._attempt_request(grant)
        for part in grant.parts:
            await self._engines.prefill_part(part, request)
        async with self._engines.generate(grant.engine_id, request) as chunks:
            async for chunk in chunks:
                await self._deliver(grant, chunk)
                if self._assembler.is_complete:
                    return
        raise AnswerMismatchError("the stream ended without a finish reason")

    async def _deliver(self, grant: Grant, chunk: TokenChunk) -> None:
        new_chunk = self._assembler.accept(chunk)
        if new_chunk is None:
            return
        if new_chunk.token_count > 0 and not self._attempt_has_token:
            self._attempt_has_token = True
            self._grants.report_first_token(grant)
        if self._first_token_at is None and new_chunk.token_count > 0:
            self._first_token_at = trio.current_time()
        await self._sink(new_chunk)

    def _next_grant_request(self) -> GrantAsk:
        delivered = self._assembler.delivered_tokens
        return replace(
            self._grant_request,
            attempt=self._attempt,
            prompt_tokens=self._grant_request.prompt_tokens + delivered,
            expected_output_tokens=max(1, self._grant_request.expected_output_tokens - delivered),
            remaining_seconds=self._remaining_seconds(),
            avoided_engines=self._grant_request.avoided_engines | self._avoided,
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

    def _failed_attempt(
        self, grant: Grant, error: AttemptError, earlier_may_have_run: bool
    ) -> FailedAttempt:
        return FailedAttempt(
            request_id=grant.request_id,
            model=self._request.model,
            engine_id=grant.engine_id,
            attempt=grant.attempt,
            error=error,
            remaining_seconds=self._remaining_seconds(),
            earlier_may_have_run=earlier_may_have_run,
        )

    def _summary(self, grant: Grant) -> GenerationSummary:
        first_token_at = self._first_token_at
        if first_token_at is None:
            first_token_at = trio.current_time()
        return GenerationSummary(
            attempts=self._attempt,
            engine_id=grant.engine_id,
            output_tokens=self._assembler.delivered_tokens,
            finish_reason=self._assembler.finish_reason or "stop",
            first_token_seconds=first_token_at - self._started_at,
        )

    def _deadline_failure(self) -> Failure:
        if self._may_have_run:
            detail = (
                f"the deadline passed during attempt {self._attempt};"
                f" the request may have run on {self._engine_id}"
            )
            return Failure(ResultCode.BACKEND_DEADLINE_PASSED, detail)
        return Failure(
            ResultCode.DEADLINE_PASSED_IN_QUEUE, "the deadline passed before the request was sent"
        )

    def _failure_after_refusal(self, refusal: Failure) -> Failure:
        if not self._may_have_run:
            return refusal
        return replace(refusal, run_state_override=RunState.FAILED)


def _mismatch_failure(error: AnswerMismatchError) -> Failure:
    """Returns the failure of an attempt whose output did not match the request.

    The request may be retried immediately.
    """
    return Failure(ResultCode.BACKEND_ANSWER_MISMATCH, str(error), retry_after_seconds=0.0)


def _declined_without_running(error: AttemptError) -> bool:
    """Returns whether the engine refused the attempt without running it.

    Such a refusal does not count as a failure of the engine.
    """
    return isinstance(error, BackendRefusedError) and error.not_run
