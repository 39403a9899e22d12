"""Tests of cancelling attempts on engines that never respond."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from typing import Optional, cast

import testtools
import trio

from camphordrift.backend_http import HttpCall, HttpConnections, HttpEngineClient
from camphordrift.backend_servers import GenerationRequest
from camphordrift.identifiers import BackendServerId, ModelName, RequestId
from camphordrift.testing import run_in_virtual_time

ENGINE = BackendServerId("engine-1")


class StalledStream:
    """A response whose headers were received but whose body never arrives."""

    status = 200

    @property
    def parts(self) -> AsyncGenerator[bytes, None]:
        return self._parts()

    async def _parts(self) -> AsyncGenerator[bytes, None]:
        await trio.sleep_forever()
        yield b""


class StalledConnections:
    """Connections to an engine that accepts every request and never sends a response body."""

    def __init__(self) -> None:
        self.targets: list[str] = []

    @asynccontextmanager
    async def stream(
        self, call: HttpCall, timeout_seconds: Optional[float] = None
    ) -> AsyncIterator[StalledStream]:
        self.targets.append(call.target)
        yield StalledStream()


class CancelTest(testtools.TestCase):
    def test_a_stalled_engine_does_not_delay_the_end_of_a_cancelled_attempt(self) -> None:
        connections = StalledConnections()

        async def main() -> float:
            client = HttpEngineClient(
                cast(HttpConnections, connections), lambda engine_id: "http://127.0.0.1:1"
            )
            request = GenerationRequest(RequestId("r"), 1, ModelName("m"), 1, 1, b"x")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.run)
                await trio.testing.wait_all_tasks_blocked()
                started_at = trio.current_time()
                with trio.move_on_after(4.0):
                    async with client.generate(ENGINE, request) as chunks:
                        async for _ in chunks:
                            pass
                seconds = trio.current_time() - started_at
                await trio.sleep(2.0)
                nursery.cancel_scope.cancel()
            return seconds

        self.assertEqual(4.0, run_in_virtual_time(main))
        self.assertEqual(["/v1/completions", "/cancel"], connections.targets)
