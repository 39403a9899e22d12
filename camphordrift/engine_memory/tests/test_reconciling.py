"""Tests of a round over an engine client, with lost answers and a death in its middle."""

from typing import cast

import testtools
import trio

from camphordrift.backend_servers import (
    BackendSilentError,
    BackendUnreachableError,
    EngineClient,
    MemoryHold,
)
from camphordrift.engine_memory import (
    HoldSettings,
    OwnerKnowledge,
    OwnerResponded,
    ReconcileReport,
    reconcile_engine_memory,
)
from camphordrift.experiments._memory_model import ENGINES, VMS
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId, VmId
from camphordrift.testing import run_in_virtual_time

_KEPT = HoldId("kept")
_LOST = HoldId("lost")


class _Engines:
    """Keeps holds in memory; the first release can lose its answer, an engine can be down."""

    def __init__(self) -> None:
        self.holds = {
            engine_id: [
                MemoryHold(name, 1, VMS[0], Incarnation(1), RequestId("r"))
                for name in (_KEPT, _LOST)
            ]
            for engine_id in ENGINES
        }
        self.down: set[BackendServerId] = set()
        self.silent: set[BackendServerId] = set()
        self.lost_answers = 0

    async def list_holds(self, engine_id: BackendServerId) -> tuple[MemoryHold, ...]:
        await trio.sleep(0.01)
        if engine_id in self.down:
            raise BackendUnreachableError("down")
        if engine_id in self.silent:
            await trio.sleep_forever()
        return tuple(self.holds[engine_id])

    async def release_hold(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        await trio.sleep(0.01)
        kept = [hold for hold in self.holds[engine_id] if hold.hold_id != hold_id]
        self.holds[engine_id] = kept
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise BackendSilentError("the answer was lost")


async def _owner_claims_kept(vm_id: VmId) -> OwnerKnowledge:
    return OwnerResponded(Incarnation(1), frozenset({_KEPT}), asked_at=trio.current_time())


async def _round(engines: _Engines) -> ReconcileReport:
    client = cast(EngineClient, engines)
    return await reconcile_engine_memory(ENGINES, client, _owner_claims_kept, HoldSettings())


class RoundTest(testtools.TestCase):
    def _names(self, engines: _Engines) -> set[HoldId]:
        return {hold.hold_id for holds in engines.holds.values() for hold in holds}

    def test_releases_what_is_lost_and_keeps_the_rest(self) -> None:
        async def main() -> None:
            engines = _Engines()
            report = await _round(engines)
            self.assertEqual((3, 6, 3), _numbers(report))
            self.assertEqual({_KEPT}, self._names(engines))
            self.assertEqual((3, 3, 0), _numbers(await _round(engines)))

        run_in_virtual_time(main)

    def test_goes_on_past_engines_that_do_not_answer(self) -> None:
        async def main() -> None:
            engines = _Engines()
            engines.down.add(ENGINES[0])
            engines.silent.add(ENGINES[1])
            report = await _round(engines)
            self.assertEqual({ENGINES[0], ENGINES[1]}, set(report.failed_engines))
            self.assertEqual(1, len(report.released))
            engines.down.clear()
            engines.silent.clear()
            self.assertEqual(2, len((await _round(engines)).released))

        run_in_virtual_time(main)

    def test_a_lost_answer_to_a_release_is_settled_in_the_next_round(self) -> None:
        async def main() -> None:
            engines = _Engines()
            engines.lost_answers = 3
            self.assertEqual(3, len((await _round(engines)).failed_engines))
            self.assertEqual((3, 3, 0), _numbers(await _round(engines)))

        run_in_virtual_time(main)

    def test_another_vm_finishes_a_round_that_died(self) -> None:
        async def main() -> None:
            engines = _Engines()
            with trio.move_on_after(0.015):
                await _round(engines)
            self.assertIn(_LOST, self._names(engines))
            await _round(engines)
            self.assertEqual({_KEPT}, self._names(engines))

        run_in_virtual_time(main)

    def test_two_vms_at_once_do_no_harm(self) -> None:
        async def main() -> None:
            engines = _Engines()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_round, engines)
                nursery.start_soon(_round, engines)
            self.assertEqual({_KEPT}, self._names(engines))

        run_in_virtual_time(main)


def _numbers(report: ReconcileReport) -> tuple[int, int, int]:
    return (report.engines_listed, report.holds_listed, len(report.released))
