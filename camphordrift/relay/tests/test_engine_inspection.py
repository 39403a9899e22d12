"""Tests of the reports that a VM requests from engines, over sockets."""

from collections.abc import Awaitable, Callable

import pytest
import testtools
import trio

from camphordrift.relay.requests._engine_inspection import SETTLING_PERIOD, EngineInspector
from camphordrift.relay.scheduling._engine_scheduler import EngineScheduler
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    SampleReports,
    ScriptedServer,
    server,
    server_calls,
)
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets


async def never_called(request: HttpRequest, stream: trio.SocketStream) -> bool:
    raise AssertionError("an engine got a request")


class EngineInspectorTest(testtools.TestCase):
    def test_the_leader_inspects_each_engine(self) -> None:
        async def scenario(scheduler: EngineScheduler, engine: ScriptedServer) -> None:
            engine.report = b"3 1"
            while not self._is_suspect(scheduler):
                await trio.sleep(0.01)
            self.assertEqual(1, engine.connections)

        self._run(scenario, is_leader=True)

    def test_another_vm_inspects_no_engine(self) -> None:
        async def scenario(scheduler: EngineScheduler, engine: ScriptedServer) -> None:
            await trio.sleep(SETTLING_PERIOD * 3)
            self.assertEqual(0, engine.connections)

        self._run(scenario, is_leader=False)

    def test_an_unreadable_report_counts_as_none(self) -> None:
        async def scenario(scheduler: EngineScheduler, engine: ScriptedServer) -> None:
            engine.report = b"not a report"
            while engine.connections == 0:
                await trio.sleep(0.01)
            await trio.sleep(0.1)
            self.assertFalse(self._is_suspect(scheduler))

        self._run(scenario, is_leader=True)

    def _is_suspect(self, scheduler: EngineScheduler) -> bool:
        (engine,) = scheduler._pools["engines"]._index.engines
        return engine.is_suspect(trio.current_time())

    def _run(
        self,
        scenario: Callable[[EngineScheduler, ScriptedServer], Awaitable[None]],
        is_leader: bool,
    ) -> None:
        async def main() -> None:
            engine = ScriptedServer(server(0, port=0), never_called)
            scheduler = EngineScheduler("vm-1", trio.current_time)
            scheduler.set_services(CONFIGURATION.services.values())
            inspector = EngineInspector(
                scheduler, server_calls(), SampleReports(), lambda: is_leader
            )
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    await nursery.start(engine.run)
                    scheduler.set_servers([engine.entry])
                    nursery.start_soon(inspector.run)
                    await scenario(scheduler, engine)
                    nursery.cancel_scope.cancel()

        trio.run(main)
