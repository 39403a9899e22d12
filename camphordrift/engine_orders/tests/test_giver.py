"""Tests of giving orders over an engine client, with a lease that can be lost at any point."""

from typing import cast

import testtools
import trio
from returns import result

from camphordrift.backend_servers import (
    BackendSilentError,
    EngineClient,
    EngineOrder,
    LoadReport,
    OrderReply,
)
from camphordrift.clocks import TwoClocks
from camphordrift.engine_orders import EngineOrderGiver, WeightStoreBudget
from camphordrift.engine_orders.tests.builders import term
from camphordrift.experiments._orders_model import ENGINE, SimulatedEngine, clocks, desired
from camphordrift.identifiers import BackendServerId, Incarnation
from camphordrift.leases import LeaseName, LeaseTerm
from camphordrift.results import Failure, ResultCode
from camphordrift.testing import run_in_virtual_time

_LEASE = LeaseName("engine-orders")


class _Authority:
    """A lease that lapses after some permissions."""

    def __init__(self, permissions: int = 1000) -> None:
        self.permissions = permissions
        self.superseded = False

    def authorize(self, name: LeaseName) -> result.Result[LeaseTerm, Failure]:
        self.permissions -= 1
        if self.permissions < 0 or self.superseded:
            return result.Failure(Failure(ResultCode.LEASE_LAPSED, "lapsed"))
        return result.Success(term())

    def record_superseded(self, name: LeaseName) -> None:
        self.superseded = True

    def read_clocks(self) -> TwoClocks:
        return clocks(trio.current_time())


class _Client:
    """Serves one engine; answers can be lost after the order was carried out."""

    def __init__(self, engine: SimulatedEngine, lost_answers: int = 0) -> None:
        self._engine = engine
        self._lost_answers = lost_answers
        self.sent: list[EngineOrder] = []

    async def read_load(self, engine_id: BackendServerId) -> LoadReport:
        report = self._engine.report()
        return LoadReport(
            ENGINE, 1, Incarnation(1), 0, 0, 0, 0, 100, tuple(report.models), report.role
        )

    async def send_order(self, engine_id: BackendServerId, order: EngineOrder) -> OrderReply:
        self.sent.append(order)
        reply = self._engine.handle_order(order)
        if self._lost_answers > 0:
            self._lost_answers -= 1
            raise BackendSilentError("the answer was lost")
        return reply


def _run(client: _Client, authority: _Authority, rounds: int) -> EngineOrderGiver:
    async def main() -> EngineOrderGiver:
        budget = WeightStoreBudget(1.0, 5.0, 1.0, trio.current_time())
        giver = EngineOrderGiver(cast(EngineClient, client), authority, _LEASE, budget)
        for _ in range(rounds):
            await giver.run_round((desired("3"),))
            await trio.sleep(2.0)
        return giver

    return run_in_virtual_time(main)


class GiverTest(testtools.TestCase):
    def test_brings_an_engine_to_its_state_and_then_is_quiet(self) -> None:
        engine = SimulatedEngine(checks_fencing=True, versions={"old": "1"})
        client = _Client(engine)
        giver = _run(client, _Authority(), rounds=10)
        self.assertEqual({"course": "3"}, engine.versions)
        self.assertEqual(3, len(client.sent))
        self.assertEqual(3, len(giver.dump_state()[0].accepted))

    def test_repeats_an_order_whose_answer_was_lost_under_the_same_id(self) -> None:
        client = _Client(SimulatedEngine(checks_fencing=True), lost_answers=2)
        _run(client, _Authority(), rounds=10)
        ids = [order.order_id for order in client.sent]
        self.assertEqual(4, len(ids))
        self.assertEqual(2, len(set(ids)))

    def test_sends_nothing_once_the_lease_has_lapsed_between_plan_and_order(self) -> None:
        client = _Client(SimulatedEngine(checks_fencing=True))
        _run(client, _Authority(permissions=2), rounds=1)
        self.assertEqual([], client.sent)

    def test_steps_down_when_an_engine_has_seen_a_later_holder(self) -> None:
        client = _Client(SimulatedEngine(checks_fencing=True, highest_fencing_number=8))
        authority = _Authority()
        _run(client, authority, rounds=3)
        self.assertTrue(authority.superseded)
        self.assertEqual(1, len(client.sent))
