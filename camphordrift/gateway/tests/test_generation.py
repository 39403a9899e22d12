"""Tests of running and retrying generation requests, on in-memory engines in virtual time."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, Optional

import testtools
import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.backend_servers import EngineClient, GenerationRequest, TokenChunk
from camphordrift.gateway import BudgetedAttemptPolicy, GenerationRunner, GenerationSummary
from camphordrift.identifiers import AccountId, BackendServerId, ModelName, RequestId, VmId
from camphordrift.results import Failure, ResultCode, RunState
from camphordrift.routing import (
    EngineSpec,
    GrantAsk,
    local_grant_source,
    pool_scheduler,
)
from camphordrift.standins import EngineParameters, InMemoryEngines, open_in_memory_engines
from camphordrift.testing import run_in_virtual_time

MODEL = ModelName("assistant")
ENGINES = (BackendServerId("engine-1"), BackendServerId("engine-2"))

Outcome = result.Result[GenerationSummary, Failure]
Fault = Callable[[InMemoryEngines, BackendServerId], Awaitable[None]]


def grant_request(timeout_seconds: float) -> GrantAsk:
    return GrantAsk(
        request_id=RequestId("r"),
        attempt=1,
        vm_id=VmId("vm"),
        account_id=AccountId("a"),
        model=MODEL,
        prompt_tokens=1_000,
        expected_output_tokens=100,
        max_output_tokens=100,
        remaining_seconds=timeout_seconds,
    )


def request() -> GenerationRequest:
    return GenerationRequest(RequestId("r"), 1, MODEL, 1_000, 100, b"prompt")


def run_with_fault(
    fault: Optional[Fault], timeout_seconds: float = 60.0, misrouting: bool = False
) -> tuple[Outcome, str, float]:
    """Runs one request and applies ``fault`` to the engine that runs it.

    Returns the outcome, the delivered text and the duration of the request in seconds.
    """

    async def main() -> tuple[Outcome, str, float]:
        texts: list[str] = []

        async def sink(chunk: TokenChunk) -> None:
            texts.append(chunk.text)

        models = [EngineParameters(engine, (MODEL,)) for engine in ENGINES]
        async with open_in_memory_engines(models) as engines, trio.open_nursery() as nursery:
            grants = local_grant_source(pool_scheduler())
            grants.set_engines([EngineSpec(engine, frozenset({MODEL})) for engine in ENGINES])
            nursery.start_soon(grants.run)
            if fault is not None:
                nursery.start_soon(_apply_when_running, engines, fault)
            client: EngineClient = MisroutingEngines(engines) if misrouting else engines
            runner = GenerationRunner(
                grants,
                client,
                BudgetedAttemptPolicy(random.Random(1)),
                grant_request(timeout_seconds),
                request(),
                sink,
            )
            started_at = trio.current_time()
            outcome = await runner.run()
            elapsed = trio.current_time() - started_at
            nursery.cancel_scope.cancel()
        return outcome, "".join(texts), elapsed

    return run_in_virtual_time(main)


async def _apply_when_running(engines: InMemoryEngines, fault: Fault) -> None:
    await trio.sleep(0.5)
    for engine in ENGINES:
        if engines.state(engine).load_now().running_requests:
            await fault(engines, engine)


async def kill_engine(engines: InMemoryEngines, engine: BackendServerId) -> None:
    engines.kill(engine)


async def kill_all_engines(engines: InMemoryEngines, engine: BackendServerId) -> None:
    for each in ENGINES:
        engines.kill(each)


async def freeze_engine(engines: InMemoryEngines, engine: BackendServerId) -> None:
    engines.freeze(engine)


class MisroutingEngines:
    """Delegates to engines, but returns another request's chunks for the first attempt."""

    def __init__(self, engines: InMemoryEngines) -> None:
        self._engines = engines

    @asynccontextmanager
    async def generate(
        self, engine_id: BackendServerId, request_to_run: GenerationRequest
    ) -> AsyncIterator[AsyncIterator[TokenChunk]]:
        async with self._engines.generate(engine_id, request_to_run) as chunks:
            yield self._misrouted_chunks(chunks) if request_to_run.attempt == 1 else chunks

    async def _misrouted_chunks(
        self, chunks: AsyncIterator[TokenChunk]
    ) -> AsyncIterator[TokenChunk]:
        async for chunk in chunks:
            yield replace(chunk, request_id=RequestId("another"), text="another's output ")

    def __getattr__(self, name: str) -> Any:
        return getattr(self._engines, name)


class GenerationRunnerTest(testtools.TestCase):
    def assert_complete(self, text: str) -> None:
        numbers = [word.split(".")[0] for word in text.split()]
        self.assertEqual([f"t{index}" for index in range(100)], numbers)

    def test_delivers_the_complete_output(self) -> None:
        outcome, text, _ = run_with_fault(None)
        self.assertEqual(1, outcome.unwrap().attempts)
        self.assert_complete(text)

    def test_continues_on_another_engine_when_one_dies(self) -> None:
        outcome, text, _ = run_with_fault(kill_engine)
        self.assertEqual(2, outcome.unwrap().attempts)
        self.assert_complete(text)

    def test_fails_with_run_state_failed_when_all_engines_die(self) -> None:
        outcome, _, _ = run_with_fault(kill_all_engines)
        self.assertFalse(is_successful(outcome))
        self.assertEqual(RunState.FAILED, outcome.failure().run_state)

    def test_fails_at_its_deadline_when_the_engine_freezes(self) -> None:
        outcome, _, elapsed = run_with_fault(freeze_engine, timeout_seconds=8.0)
        self.assertEqual(ResultCode.BACKEND_DEADLINE_PASSED, outcome.failure().code)
        self.assertEqual(RunState.FAILED, outcome.failure().run_state)
        self.assertAlmostEqual(8.0, elapsed, places=3)

    def test_never_delivers_another_requests_chunks(self) -> None:
        outcome, text, _ = run_with_fault(None, misrouting=True)
        self.assertEqual(2, outcome.unwrap().attempts)
        self.assert_complete(text)
