"""Tests of the grant source that uses a scheduler in the same process."""

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


def grant_ask(name: str, prompt_tokens: int = 400_000, remaining: float = 60.0) -> GrantAsk:
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


def source_with_one_engine() -> LocalGrantSource:
    source = local_grant_source(pool_scheduler())
    source.set_engines([EngineSpec(BackendServerId("engine-1"), frozenset({MODEL}))])
    return source


def unwrap_grant(response: result.Result[Grant, Failure]) -> Grant:
    assert isinstance(response, result.Success), response
    return response.unwrap()


class LocalGrantSourceTest(testtools.TestCase):
    def test_second_request_waits_for_the_end_of_the_first(self) -> None:
        async def main() -> None:
            source = source_with_one_engine()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(source.run)
                first = unwrap_grant(await source.acquire(grant_ask("r1")))

                async def finish_first() -> None:
                    await trio.sleep(20.0)
                    source.finish(first, unused_outcome(first))

                nursery.start_soon(finish_first)
                unwrap_grant(await source.acquire(grant_ask("r2")))
                self.assertEqual(20.0, trio.current_time())
                nursery.cancel_scope.cancel()

        run_in_virtual_time(main)

    def test_cancelled_request_is_removed_from_the_scheduler(self) -> None:
        async def main() -> None:
            source = source_with_one_engine()
            first = unwrap_grant(await source.acquire(grant_ask("r1")))
            with trio.move_on_after(1.0):
                await source.acquire(grant_ask("r2"))
            self.assertEqual(0, source.waiting_count)
            self.assertEqual(math.inf, source.scheduler.next_wakeup(trio.current_time()))
            source.finish(first, unused_outcome(first))

        run_in_virtual_time(main)

    def test_unreachable_deadline_is_refused_without_waiting(self) -> None:
        async def main() -> None:
            response = await source_with_one_engine().acquire(grant_ask("r1", remaining=10.0))
            self.assertEqual(ResultCode.DEADLINE_UNREACHABLE, response.failure().code)
            self.assertEqual(0.0, trio.current_time())

        run_in_virtual_time(main)
