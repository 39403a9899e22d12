"""Tests of the grant source around a scheduler in the same process."""

import math

import testtools
import trio
from returns import result

from camphordrift.identifiers import AccountId, BackendServerId, ModelName, RequestId, VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing import (
    EngineSpec,
    Grant,
    GrantAsk,
    LocalGrantSource,
    local_grant_source,
    pool_scheduler,
    unused_outcome,
)
from camphordrift.testing import run_in_virtual_time

MODEL = ModelName("assistant")


def ask(name: str, prompt_tokens: int = 400_000, remaining: float = 60.0) -> GrantAsk:
    return GrantAsk(
        RequestId(name),
        1,
        VmId("vm-1"),
        AccountId("a"),
        MODEL,
        prompt_tokens,
        expected_output_tokens=10,
        max_output_tokens=20,
        remaining_seconds=remaining,
    )


def one_engine() -> LocalGrantSource:
    source = local_grant_source(pool_scheduler())
    source.set_engines([EngineSpec(BackendServerId("engine-1"), frozenset({MODEL}))])
    return source


def granted(answer: result.Result[Grant, Failure]) -> Grant:
    assert isinstance(answer, result.Success), answer
    return answer.unwrap()


class LocalGrantSourceTest(testtools.TestCase):
    def test_the_second_waits_for_the_end_of_the_first(self) -> None:
        async def main() -> None:
            source = one_engine()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(source.run)
                first = granted(await source.acquire(ask("r1")))

                async def end() -> None:
                    await trio.sleep(20.0)
                    source.finish(first, unused_outcome(first))

                nursery.start_soon(end)
                granted(await source.acquire(ask("r2")))
                self.assertEqual(20.0, trio.current_time())
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_a_cancelled_ask_leaves_nothing_behind(self) -> None:
        async def main() -> None:
            source = one_engine()
            first = granted(await source.acquire(ask("r1")))
            with trio.move_on_after(1.0):
                await source.acquire(ask("r2"))
            self.assertEqual(0, source.waiting_count)
            self.assertEqual(math.inf, source.scheduler.next_wakeup(trio.current_time()))
            source.finish(first, unused_outcome(first))

        run_in_virtual_time(main)

    def test_an_ask_that_cannot_be_met_in_time_is_refused_without_waiting(self) -> None:
        async def main() -> None:
            answer = await one_engine().acquire(ask("r1", remaining=10.0))
            self.assertEqual(ResultCode.DEADLINE_UNREACHABLE, answer.failure().code)
            self.assertEqual(0.0, trio.current_time())

        run_in_virtual_time(main)
