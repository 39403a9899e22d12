"""Tests of the in-memory stand-in engines."""

from collections.abc import Awaitable, Callable
from typing import Optional

import testtools
import trio

from camphordrift.backend_servers import (
    BackendRefusedError,
    BackendUnreachableError,
    EngineOrder,
    GenerationRequest,
    KvPart,
    MemoryHold,
    OrderKind,
    StreamBrokenError,
    TokenChunk,
)
from camphordrift.identifiers import (
    BackendServerId,
    HoldId,
    Incarnation,
    ModelName,
    RequestId,
    VmId,
)
from camphordrift.standins import EngineParameters, InMemoryEngines, open_in_memory_engines
from camphordrift.testing import run_in_virtual_time

ENGINE = BackendServerId("engine-1")
OTHER_ENGINE = BackendServerId("engine-2")
MODEL = ModelName("assistant")


def request(
    name: str = "r", prompt_tokens: int = 1000, output_tokens: int = 20, **fields: object
) -> GenerationRequest:
    return GenerationRequest(
        RequestId(name), 1, MODEL, prompt_tokens, output_tokens, b"", **fields  # type: ignore[arg-type]
    )


def hold(tokens: int, owner: str = "vm-1", expires: Optional[float] = None) -> MemoryHold:
    return MemoryHold(
        HoldId("h"), tokens, VmId(owner), Incarnation(1), RequestId("r"), expires_in_seconds=expires
    )


def run_with_engines(body: Callable[[InMemoryEngines], Awaitable[None]], **fields: object) -> None:
    async def main() -> None:
        parameters = [
            EngineParameters(engine_id, (MODEL,), **fields)  # type: ignore[arg-type]
            for engine_id in (ENGINE, OTHER_ENGINE)
        ]
        async with open_in_memory_engines(parameters) as engines:
            await body(engines)

    run_in_virtual_time(main)


async def generate(
    engines: InMemoryEngines, engine_id: BackendServerId, generation_request: GenerationRequest
) -> list[TokenChunk]:
    async with engines.generate(engine_id, generation_request) as chunks:
        return [chunk async for chunk in chunks]


async def refusal_of(call: Awaitable[object]) -> BackendRefusedError:
    try:
        await call
    except BackendRefusedError as error:
        return error
    raise AssertionError("the engine did not refuse")


def text_of(chunks: list[TokenChunk]) -> str:
    return "".join(chunk.text for chunk in chunks)


class GenerationTest(testtools.TestCase):
    def test_chunks_are_contiguous(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            chunks = await generate(engines, ENGINE, request(output_tokens=50))
            position = 0
            for chunk in chunks:
                self.assertEqual(position, chunk.first_token)
                position += chunk.token_count
            self.assertEqual(50, position)
            self.assertEqual("length", chunks[-1].finish_reason)

        run_with_engines(body)

    def test_duration_follows_from_the_parameters(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            await generate(engines, ENGINE, request(prompt_tokens=10_000, output_tokens=11))
            self.assertAlmostEqual(10_000 / 25_000 + 10 * 0.0123, trio.current_time(), places=3)

        run_with_engines(body)

    def test_another_engine_continues_with_the_same_output(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            complete = text_of(await generate(engines, ENGINE, request()))
            rest = text_of(await generate(engines, OTHER_ENGINE, request(delivered_tokens=7)))
            self.assertTrue(complete.endswith(rest))
            self.assertTrue(rest.startswith("t7."))

        run_with_engines(body)

    def test_a_lower_priority_number_preempts_a_long_prefill(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            async with engines.generate(ENGINE, request("long", 400_000, priority=5)):
                await trio.sleep(1.0)
                started_at = trio.current_time()
                await generate(engines, ENGINE, request("short", 1000, 1, priority=1))
                self.assertTrue(trio.current_time() - started_at < 0.1)

        run_with_engines(body)

    def test_closing_the_stream_frees_the_memory(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            async with engines.generate(ENGINE, request(prompt_tokens=400_000)):
                await trio.sleep(1.0)
                self.assertTrue(engines.state(ENGINE).load_now().used_memory_tokens > 0)
            self.assertEqual(0, engines.state(ENGINE).load_now().used_memory_tokens)

        run_with_engines(body)

    def test_a_cached_prefix_is_not_prefilled_again(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            generation_request = request("a", 10_240, 1, prefix_blocks=tuple(range(9)))
            await generate(engines, ENGINE, generation_request)
            started_at = trio.current_time()
            await generate(engines, ENGINE, request("b", 10_240, 1, prefix_blocks=tuple(range(9))))
            self.assertAlmostEqual(1024 / 25_000, trio.current_time() - started_at, places=3)
            await trio.sleep(2.0)
            batch = await engines.read_cache_events(ENGINE, 0)
            self.assertEqual(tuple(range(9)), batch.events[0].blocks)

        run_with_engines(body)


class FaultTest(testtools.TestCase):
    def test_kill_breaks_streams_and_restart_clears_memory(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            await engines.place_hold(ENGINE, hold(10))
            async with trio.open_nursery() as nursery:

                async def read() -> None:
                    with self.assertRaises(StreamBrokenError):
                        await generate(engines, ENGINE, request(output_tokens=1000))

                nursery.start_soon(read)
                await trio.sleep(1.0)
                engines.kill(ENGINE)
            with self.assertRaises(BackendUnreachableError):
                await engines.read_load(ENGINE)
            engines.restart(ENGINE)
            self.assertEqual((), await engines.list_holds(ENGINE))
            self.assertEqual(2, (await engines.read_load(ENGINE)).incarnation)

        run_with_engines(body)

    def test_a_frozen_engine_does_not_respond(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            engines.freeze(ENGINE)
            with trio.move_on_after(60) as scope:
                await engines.read_load(ENGINE)
            self.assertTrue(scope.cancelled_caught)

        run_with_engines(body)

    def test_a_draining_engine_refuses_as_not_run(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            engines.set_draining(ENGINE)
            refusal = await refusal_of(generate(engines, ENGINE, request()))
            self.assertTrue(refusal.not_run)

        run_with_engines(body)

    def test_load_reports_are_delayed(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            async with engines.generate(ENGINE, request(prompt_tokens=400_000)):
                await trio.sleep(0.3)
                self.assertEqual(0, (await engines.read_load(ENGINE)).running_requests)
                await trio.sleep(0.3)
                self.assertEqual(1, (await engines.read_load(ENGINE)).running_requests)

        run_with_engines(body)


class HoldTest(testtools.TestCase):
    def test_a_hold_that_does_not_fit_is_refused_and_a_hold_expires(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            await engines.place_hold(ENGINE, hold(400_000, expires=5.0))
            refusal = await refusal_of(engines.place_hold(ENGINE, hold(100_000, owner="vm-2")))
            self.assertEqual(409, refusal.status)
            await trio.sleep(5.0)
            self.assertEqual((), await engines.list_holds(ENGINE))

        run_with_engines(body)

    def test_a_part_of_a_prompt_is_prefilled_under_its_hold(self) -> None:
        async def body(engines: InMemoryEngines) -> None:
            part = KvPart(ENGINE, HoldId("h"), 0, 300_000)
            generation_request = request(prompt_tokens=300_000, kv_parts=(part,))
            await engines.place_hold(ENGINE, hold(301_000))
            with self.assertRaises(BackendRefusedError):
                await generate(engines, ENGINE, generation_request)
            await engines.prefill_part(part, generation_request)
            self.assertEqual(
                20, len(text_of(await generate(engines, ENGINE, generation_request)).split())
            )
            await engines.release_hold(ENGINE, HoldId("h"))
            self.assertEqual(0, engines.state(ENGINE).load_now().used_memory_tokens)

        run_with_engines(body)


class OrderTest(testtools.TestCase):
    def test_an_outdated_fencing_number_is_refused_only_if_checked(self) -> None:
        for checks in (True, False):

            async def body(engines: InMemoryEngines, checks: bool = checks) -> None:
                new = EngineOrder(OrderKind.LOAD_MODEL, "m2", "1", 7, "o1")
                old = EngineOrder(OrderKind.UNLOAD_MODEL, "m2", "1", 6, "o0")
                self.assertTrue((await engines.send_order(ENGINE, new)).accepted)
                self.assertEqual(not checks, (await engines.send_order(ENGINE, old)).accepted)

            run_with_engines(body, checks_fencing=checks)
