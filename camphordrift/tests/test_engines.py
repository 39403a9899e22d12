"""Tests of engine memory and of orders to engines, over real sockets."""

import json
from dataclasses import replace

import testtools
import trio

from camphordrift.backend_http import HttpConnections
from camphordrift.backend_servers import MemoryHold
from camphordrift.demo import DemoFleet, DemoPlan, with_engine_memory
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId, VmId
from camphordrift.tests.fleet_client import Client, isolated_plan, run_with_fleet

ENGINE = BackendServerId("engine-1")


#: Time after which no VM may send new work to a draining engine, in seconds.
DRAINING_LAG_SECONDS = 3.0


def plan_with_orders() -> DemoPlan:
    """Returns a plan whose engines accept orders from the fleet."""
    plan = isolated_plan()
    record = json.loads(json.dumps(plan.record))
    for change in record["changes"]:
        if change["value"].get("kind") == "engine":
            change["value"]["order_givers"] = ["fleet"]
            change["value"]["allowed_orders"] = ["load_model"]
    return replace(plan, record=record)


def text_of_tokens(count: int) -> str:
    """Returns a text that is counted as ``count`` tokens."""
    return "word" * count


class LargePromptTest(testtools.TestCase):
    def test_a_prompt_over_twice_an_engines_memory_completes_and_releases_its_holds(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            body = {
                "model": "course-assistant",
                "prompt": text_of_tokens(45_000),
                "max_tokens": 20,
            }
            response = await Client(fleet, connections).send("POST", "/v1/completions", body)
            self.assertEqual(200, response.status, str(response.body))
            self.assertEqual(20, json.loads(response.body)["usage"]["completion_tokens"])
            engines = fleet.standins.engines
            while any(engines.state(engine).holds() for engine in engines.engine_ids):
                await trio.sleep(0.05)

        run_with_fleet(test, with_engine_memory(isolated_plan(), 20_000))

    def test_a_prompt_that_never_fits_is_refused_as_not_run(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            body = {
                "model": "course-assistant",
                "prompt": text_of_tokens(100_000),
                "max_tokens": 20,
            }
            response = await Client(fleet, connections).send("POST", "/v1/completions", body)
            error = json.loads(response.body)["error"]
            self.assertEqual("prompt_never_fits", error["type"])
            self.assertEqual("not_run", error["run_state"])

        run_with_fleet(test, with_engine_memory(isolated_plan(), 20_000))


class EngineMemoryTest(testtools.TestCase):
    def test_a_hold_that_its_live_owner_does_not_claim_is_released(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            owner = fleet.plan.entries[1].vm.vm_id
            engines = fleet.standins.engines
            for number, vm_id in enumerate((owner, fleet.plan.entries[0].vm.vm_id)):
                hold = MemoryHold(
                    hold_id=HoldId(f"orphaned-{number}"),
                    token_count=1_000,
                    owner=VmId(vm_id),
                    owner_incarnation=Incarnation(fleet.entries[1 - number].incarnation),
                    request_id=RequestId("unknown"),
                )
                await engines.place_hold(ENGINE, hold)
            while engines.state(ENGINE).holds():
                await trio.sleep(0.1)

        run_with_fleet(test)


class DrainingEngineTest(testtools.TestCase):
    def test_gets_no_new_work_from_any_vm_until_its_restart(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            engines = fleet.standins.engines
            other_engines = [engine for engine in engines.engine_ids if engine != ENGINE]
            for engine in other_engines:
                engines.set_draining(engine)
            await trio.sleep(DRAINING_LAG_SECONDS)
            body = {"model": "course-assistant", "prompt": "x", "max_tokens": 30}
            statuses = []

            async def complete(vm: int) -> None:
                client = Client(fleet, connections, vm)
                statuses.append((await client.send("POST", "/v1/completions", body)).status)

            async with trio.open_nursery() as nursery:
                for vm in (0, 1, 0, 1):
                    nursery.start_soon(complete, vm)
                await trio.sleep(0.2)
                running = {
                    engine: engines.state(engine).load_now().running_requests
                    for engine in other_engines
                }
            self.assertEqual([200] * 4, statuses)
            self.assertEqual(dict.fromkeys(other_engines, 0), running)
            engines.restart(other_engines[0])
            engines.set_draining(ENGINE)
            await trio.sleep(DRAINING_LAG_SECONDS)
            response = await Client(fleet, connections).send("POST", "/v1/completions", body)
            self.assertEqual(200, response.status, str(response.body))

        run_with_fleet(test)


class EngineOrdersTest(testtools.TestCase):
    def test_one_vm_orders_the_engines_to_load_the_configured_models(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            def engines_with_accepted_orders() -> set[str]:
                states = [entry.dump.collect()["engine_orders"] for entry in fleet.entries]
                engines = [engine for state in states for engine in state["engines"]]
                return {engine["engine_id"] for engine in engines if engine["accepted"]}

            while engines_with_accepted_orders() != set(fleet.standins.engines.engine_ids):
                await trio.sleep(0.2)
            held_here = [
                lease["held_here"]
                for entry in fleet.entries
                for lease in entry.dump.collect()["engine_orders"]["leases"]
            ]
            self.assertEqual([False, True], sorted(held_here))

        run_with_fleet(test, plan_with_orders())
