"""Tests that orders are sent only under the lease, and that lost responses are retried."""

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
from camphordrift.clocks import ClockReading
from camphordrift.engine_orders import EngineOrderGiver, WeightStoreBudget
from camphordrift.engine_orders.tests.builders import term
from camphordrift.experiments._orders_model import ENGINE, SimulatedEngine, clocks, desired
from camphordrift.identifiers import BackendServerId, Incarnation
from camphordrift.leases import LeaseName, LeaseTerm
from camphordrift.results import Failure, ResultCode
from camphordrift.testing import run_in_virtual_time

_LEASE = LeaseName("engine-orders")


class _Authority:
    """A lease that expires after a number of calls to ``authorize``."""

    def __init__(self, permissions: int = 1000) -> None:
        self.permissions = permissions
        self.superseded = False

    def authorize(self, name: LeaseName) -> result.Result[LeaseTerm, Failure]:
        self.permissions -= 1
        if self.permissions < 0 or self.superseded:
            return result.Failure(Failure(ResultCode.LEASE_LAPSED, "expired"))
        return result.Success(term())

    def record_superseded(self, name: LeaseName) -> None:
        self.superseded = True

    def read_clocks(self) -> ClockReading:
        return clocks(trio.current_time())


class _Client:
    """Client of one engine; responses can be lost after the engine has executed the order."""

    def __init__(self, engine: SimulatedEngine, lost_responses: int = 0) -> None:
        self._engine = engine
        self._lost_responses = lost_responses
        self.sent: list[EngineOrder] = []

    async def read_load(self, engine_id: BackendServerId) -> LoadReport:
        report = self._engine.report()
        return LoadReport(
            ENGINE, 1, Incarnation(1), 0, 0, 0, 0, 100, tuple(report.models), report.role
        )

    async def send_order(self, engine_id: BackendServerId, order: EngineOrder) -> OrderReply:
        self.sent.append(order)
        reply = self._engine.handle_order(order)
        if self._lost_responses > 0:
            self._lost_responses -= 1
            raise BackendSilentError("the response was lost")
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
    def test_reaches_the_desired_state_and_then_sends_nothing(self) -> None:
        engine = SimulatedEngine(checks_fencing=True, versions={"old": "1"})
        client = _Client(engine)
        giver = _run(client, _Authority(), rounds=10)
        self.assertEqual({"course": "3"}, engine.versions)
        self.assertEqual(3, len(client.sent))
        self.assertEqual(3, len(giver.dump_state()[0].accepted))

    def test_retries_an_order_whose_response_was_lost_under_the_same_id(self) -> None:
        client = _Client(SimulatedEngine(checks_fencing=True), lost_responses=2)
        _run(client, _Authority(), rounds=10)
        ids = [order.order_id for order in client.sent]
        self.assertEqual(4, len(ids))
        self.assertEqual(2, len(set(ids)))

    def test_sends_nothing_if_the_lease_expires_between_planning_and_sending(self) -> None:
        client = _Client(SimulatedEngine(checks_fencing=True))
        _run(client, _Authority(permissions=2), rounds=1)
        self.assertEqual([], client.sent)

    def test_gives_up_the_lease_when_an_engine_reports_a_higher_fencing_number(self) -> None:
        client = _Client(SimulatedEngine(checks_fencing=True, highest_fencing_number=8))
        authority = _Authority()
        _run(client, authority, rounds=3)
        self.assertTrue(authority.superseded)
        self.assertEqual(1, len(client.sent))
