"""Tests of a reconciliation round with lost responses, failed engines and an interrupted round."""

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
    OwnerResponded,
    OwnerStatus,
    ReconcileReport,
    reconcile_engine_memory,
)
from camphordrift.experiments._memory_model import ENGINES, VMS
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId, VmId
from camphordrift.testing import run_in_virtual_time

_CLAIMED_HOLD = HoldId("claimed")
_ORPHANED_HOLD = HoldId("orphaned")


class _Engines:
    """In-memory engines; releases can lose their response, engines can be down or unresponsive."""

    def __init__(self) -> None:
        self.holds = {
            engine_id: [
                MemoryHold(name, 1, VMS[0], Incarnation(1), RequestId("r"))
                for name in (_CLAIMED_HOLD, _ORPHANED_HOLD)
            ]
            for engine_id in ENGINES
        }
        self.down: set[BackendServerId] = set()
        self.unresponsive: set[BackendServerId] = set()
        self.lost_responses = 0

    async def list_holds(self, engine_id: BackendServerId) -> tuple[MemoryHold, ...]:
        await trio.sleep(0.01)
        if engine_id in self.down:
            raise BackendUnreachableError("down")
        if engine_id in self.unresponsive:
            await trio.sleep_forever()
        return tuple(self.holds[engine_id])

    async def release_hold(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        await trio.sleep(0.01)
        kept = [hold for hold in self.holds[engine_id] if hold.hold_id != hold_id]
        self.holds[engine_id] = kept
        if self.lost_responses > 0:
            self.lost_responses -= 1
            raise BackendSilentError("the response was lost")


async def _query_owner_of_claimed_hold(vm_id: VmId) -> OwnerStatus:
    return OwnerResponded(Incarnation(1), frozenset({_CLAIMED_HOLD}), asked_at=trio.current_time())


async def _round(engines: _Engines) -> ReconcileReport:
    client = cast(EngineClient, engines)
    return await reconcile_engine_memory(
        ENGINES, client, _query_owner_of_claimed_hold, HoldSettings()
    )


class ReconciliationRoundTest(testtools.TestCase):
    def _hold_ids(self, engines: _Engines) -> set[HoldId]:
        return {hold.hold_id for holds in engines.holds.values() for hold in holds}

    def test_releases_orphaned_holds_and_keeps_claimed_ones(self) -> None:
        async def main() -> None:
            engines = _Engines()
            report = await _round(engines)
            self.assertEqual((3, 6, 3), _counts_of(report))
            self.assertEqual({_CLAIMED_HOLD}, self._hold_ids(engines))
            self.assertEqual((3, 3, 0), _counts_of(await _round(engines)))

        run_in_virtual_time(main)

    def test_continues_with_other_engines_when_some_do_not_respond(self) -> None:
        async def main() -> None:
            engines = _Engines()
            engines.down.add(ENGINES[0])
            engines.unresponsive.add(ENGINES[1])
            report = await _round(engines)
            self.assertEqual({ENGINES[0], ENGINES[1]}, set(report.failed_engines))
            self.assertEqual(1, len(report.released))
            engines.down.clear()
            engines.unresponsive.clear()
            self.assertEqual(2, len((await _round(engines)).released))

        run_in_virtual_time(main)

    def test_the_next_round_covers_a_release_whose_response_was_lost(self) -> None:
        async def main() -> None:
            engines = _Engines()
            engines.lost_responses = 3
            self.assertEqual(3, len((await _round(engines)).failed_engines))
            self.assertEqual((3, 3, 0), _counts_of(await _round(engines)))

        run_in_virtual_time(main)

    def test_a_later_round_completes_an_interrupted_one(self) -> None:
        async def main() -> None:
            engines = _Engines()
            with trio.move_on_after(0.015):
                await _round(engines)
            self.assertIn(_ORPHANED_HOLD, self._hold_ids(engines))
            await _round(engines)
            self.assertEqual({_CLAIMED_HOLD}, self._hold_ids(engines))

        run_in_virtual_time(main)

    def test_two_concurrent_rounds_keep_claimed_holds(self) -> None:
        async def main() -> None:
            engines = _Engines()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_round, engines)
                nursery.start_soon(_round, engines)
            self.assertEqual({_CLAIMED_HOLD}, self._hold_ids(engines))

        run_in_virtual_time(main)


def _counts_of(report: ReconcileReport) -> tuple[int, int, int]:
    return (report.engines_listed, report.holds_listed, len(report.released))
