"""Tests of engine memory and of orders to engines, over real sockets."""

import json
from dataclasses import replace

import testtools
import trio

from camphordrift.backend_http import HttpConnections
from camphordrift.backend_servers import MemoryHold
from camphordrift.demo import DemoFleet, DemoPlan
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId, VmId
from camphordrift.tests.fleet_client import own_plan, with_fleet

ENGINE = BackendServerId("engine-1")


def plan_with_orders() -> DemoPlan:
    """Returns a plan whose engines take orders from the fleet."""
    plan = own_plan()
    record = json.loads(json.dumps(plan.record))
    for change in record["changes"]:
        if change["value"].get("kind") == "engine":
            change["value"]["order_givers"] = ["fleet"]
            change["value"]["allowed_orders"] = ["load_model"]
    return replace(plan, record=record)


class EngineMemoryTest(testtools.TestCase):
    def test_a_hold_that_its_live_owner_does_not_claim_is_released(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            owner = fleet.plan.entries[1].vm.vm_id
            engine = fleet.standins.engines
            for number, name in enumerate((owner, fleet.plan.entries[0].vm.vm_id)):
                hold = MemoryHold(
                    hold_id=HoldId(f"lost-{number}"),
                    token_count=1_000,
                    owner=VmId(name),
                    owner_incarnation=Incarnation(fleet.entries[1 - number].incarnation),
                    request_id=RequestId("gone"),
                )
                await engine.place_hold(ENGINE, hold)
            while engine.state(ENGINE).holds():
                await trio.sleep(0.1)

        with_fleet(test)


class EngineOrdersTest(testtools.TestCase):
    def test_one_vm_orders_the_engines_to_load_what_the_configuration_names(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            def ordered() -> set[str]:
                states = [entry.dump.collect()["engine_orders"] for entry in fleet.entries]
                engines = [engine for state in states for engine in state["engines"]]
                return {engine["engine_id"] for engine in engines if engine["accepted"]}

            while ordered() != set(fleet.standins.engines.engine_ids):
                await trio.sleep(0.2)
            held = [
                lease["held_here"]
                for entry in fleet.entries
                for lease in entry.dump.collect()["engine_orders"]["leases"]
            ]
            self.assertEqual([False, True], sorted(held))

        with_fleet(test, plan_with_orders())
