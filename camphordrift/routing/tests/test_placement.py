"""Tests of the placement of prompts that exceed one engine's memory."""

import math
from collections.abc import Awaitable, Callable

import testtools
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result

from camphordrift.backend_servers import GenerationRequest
from camphordrift.identifiers import BackendServerId, Incarnation, VmId
from camphordrift.results import ResultCode
from camphordrift.routing import (
    EngineSpec,
    Grant,
    Granted,
    HoldPlacingGrantSource,
    Refused,
    holding_grant_source,
    local_grant_source,
    pool_scheduler,
    unused_outcome,
)
from camphordrift.routing.tests.builders import MODEL, engine_specs, grant_ask
from camphordrift.standins import EngineParameters, InMemoryEngines, open_in_memory_engines
from camphordrift.testing import run_in_virtual_time

Body = Callable[[InMemoryEngines, list[HoldPlacingGrantSource]], Awaitable[None]]


class PlacementTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(450_000, 2_000_000), st.integers(1, 8))
    def test_parts_cover_the_prompt_and_fit_or_the_request_is_refused(
        self, prompt_tokens: int, count: int
    ) -> None:
        pool = pool_scheduler()
        pool.set_engines(engine_specs(count), 0.0)
        pool.submit(grant_ask("r", prompt_tokens, 900.0), 0.0)
        (decision,) = pool.decide(0.0)
        if isinstance(decision, Refused):
            self.assertEqual(ResultCode.PROMPT_NEVER_FITS, decision.failure.code)
            self.assertTrue(count * (450_000 - 100) < prompt_tokens)
            return
        parts = decision.grant.parts
        position = 0
        for part in parts:
            self.assertEqual(position, part.start_token)
            self.assertTrue(0 < part.token_count + 100 <= 450_000)
            position += part.token_count
        self.assertEqual(prompt_tokens, position)
        self.assertEqual(sorted({part.engine_id for part in parts}), [p.engine_id for p in parts])
        self.assertEqual(parts[-1].engine_id, decision.grant.engine_id)

    def test_prompt_that_never_fits_is_refused_on_arrival(self) -> None:
        pool = pool_scheduler()
        pool.set_engines(engine_specs(2), 0.0)
        pool.submit(grant_ask("r", 1_000_000, 900.0), 0.0)
        (decision,) = pool.decide(0.0)
        assert isinstance(decision, Refused)
        self.assertEqual(ResultCode.PROMPT_NEVER_FITS, decision.failure.code)

    def test_large_prompt_is_not_starved_by_smaller_ones(self) -> None:
        pool = pool_scheduler()
        pool.set_engines(engine_specs(4), 0.0)
        running: list[tuple[float, Grant]] = []
        large_granted_at = math.inf
        for step in range(600):
            now = step * 0.5
            pool.submit(grant_ask(f"long-{step}", 120_000, 900.0), now)
            if step == 20:
                pool.submit(grant_ask("large", 800_000, 900.0), now)
            for ends_at, grant in [each for each in running if each[0] <= now]:
                running.remove((ends_at, grant))
                pool.finish(unused_outcome(grant), now)
            for decision in pool.decide(now):
                if isinstance(decision, Granted):
                    running.append((now + 6.0, decision.grant))
                    if decision.grant.request_id == "large":
                        large_granted_at = now
        self.assertTrue(large_granted_at < 120.0, large_granted_at)


def run_with_sources(body: Body, vm_count: int = 2, engine_count: int = 3) -> None:
    """Runs ``body`` with VMs that use only local schedulers and so compete for the same memory."""

    async def main() -> None:
        ids = [BackendServerId(f"engine-{index}") for index in range(engine_count)]
        models = [EngineParameters(engine_id, (MODEL,)) for engine_id in ids]
        async with open_in_memory_engines(models) as fleet, trio.open_nursery() as nursery:
            sources = []
            for index in range(vm_count):
                local = local_grant_source(pool_scheduler())
                local.set_engines([EngineSpec(each, frozenset({MODEL})) for each in ids])
                vm_id = VmId(f"vm-{index}")
                source = holding_grant_source(local, fleet, vm_id, Incarnation(1))
                nursery.start_soon(local.run)
                await nursery.start(source.run)
                sources.append(source)
            await body(fleet, sources)
            nursery.cancel_scope.cancel()

    run_in_virtual_time(main)


def held_tokens(fleet: InMemoryEngines) -> int:
    return sum(fleet.state(each).load_now().used_memory_tokens for each in fleet.engine_ids)


async def run_request(
    fleet: InMemoryEngines, source: HoldPlacingGrantSource, name: str, tokens: int
) -> Grant:
    submitted = grant_ask(name, tokens, 600.0)
    response = await source.acquire(submitted)
    assert isinstance(response, result.Success), response
    grant = response.unwrap()
    request = GenerationRequest(
        submitted.request_id, 1, MODEL, tokens, 100, b"", kv_parts=grant.parts
    )
    for part in grant.parts:
        await fleet.prefill_part(part, request)
    async with fleet.generate(grant.engine_id, request) as chunks:
        async for _ in chunks:
            pass
    source.finish(grant, unused_outcome(grant))
    return grant


class HoldPlacingGrantSourceTest(testtools.TestCase):
    def test_competing_placements_all_finish_and_release_all_holds(self) -> None:
        async def body(fleet: InMemoryEngines, sources: list[HoldPlacingGrantSource]) -> None:
            with trio.fail_after(590.0):
                async with trio.open_nursery() as nursery:
                    for index in range(6):
                        source = sources[index % 2]
                        nursery.start_soon(run_request, fleet, source, f"r-{index}", 800_000)
            await trio.sleep(1.0)
            self.assertEqual(0, held_tokens(fleet))
            self.assertEqual([0, 0], [source.held_grants for source in sources])

        run_with_sources(body)

    def test_cancelled_placement_releases_all_holds(self) -> None:
        async def body(fleet: InMemoryEngines, sources: list[HoldPlacingGrantSource]) -> None:
            fleet.freeze(BackendServerId("engine-1"))
            with trio.move_on_after(1.0):
                await sources[0].acquire(grant_ask("r", 1_200_000, 600.0))
            fleet.freeze(BackendServerId("engine-1"), frozen=False)
            await trio.sleep(1.0)
            self.assertEqual(0, held_tokens(fleet))

        run_with_sources(body)

    def test_holds_are_renewed_and_none_remain_after_an_engine_failure(self) -> None:
        async def body(fleet: InMemoryEngines, sources: list[HoldPlacingGrantSource]) -> None:
            response = await sources[0].acquire(grant_ask("r", 800_000, 600.0))
            grant = response.unwrap()
            self.assertTrue(held_tokens(fleet) >= 800_000)
            await trio.sleep(60.0)
            self.assertTrue(held_tokens(fleet) >= 800_000)
            fleet.kill(grant.parts[0].engine_id)
            sources[0].finish(grant, unused_outcome(grant))
            await trio.sleep(16.0)
            fleet.restart(grant.parts[0].engine_id)
            self.assertEqual(0, held_tokens(fleet))

        run_with_sources(body)
