"""Tests of engine memory and of orders to engines, over real sockets."""

import json
from dataclasses import replace

import testtools
import trio

from camphordrift.backend_http import HttpConnections
from camphordrift.backend_servers import MemoryHold
from camphordrift.demo import DemoFleet, DemoPlan, with_engine_memory
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId, VmId
from camphordrift.tests.fleet_client import Client, own_plan, with_fleet

ENGINE = BackendServerId("engine-1")


#: After this long no VM may give a leaving backend server new work, in seconds.
LEAVING_SECONDS = 3.0


def plan_with_orders() -> DemoPlan:
    """Returns a plan whose engines take orders from the fleet."""
    plan = own_plan()
    record = json.loads(json.dumps(plan.record))
    for change in record["changes"]:
        if change["value"].get("kind") == "engine":
            change["value"]["order_givers"] = ["fleet"]
            change["value"]["allowed_orders"] = ["load_model"]
    return replace(plan, record=record)


def tokens_of(count: int) -> str:
    """Returns a text of ``count`` tokens."""
    return "word" * count


class LargePromptTest(testtools.TestCase):
    def test_a_prompt_over_twice_one_engines_memory_is_answered_and_leaves_no_hold(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            body = {
                "model": "course-assistant",
                "prompt": tokens_of(45_000),
                "max_tokens": 20,
            }
            answer = await Client(fleet, connections).send("POST", "/v1/completions", body)
            self.assertEqual(200, answer.status, str(answer.body))
            self.assertEqual(20, json.loads(answer.body)["usage"]["completion_tokens"])
            engines = fleet.standins.engines
            while any(engines.state(engine).holds() for engine in engines.engine_ids):
                await trio.sleep(0.05)

        with_fleet(test, with_engine_memory(own_plan(), 20_000))

    def test_a_prompt_that_never_fits_is_refused_at_once_as_not_run(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            body = {"model": "course-assistant", "prompt": tokens_of(100_000), "max_tokens": 20}
            answer = await Client(fleet, connections).send("POST", "/v1/completions", body)
            error = json.loads(answer.body)["error"]
            self.assertEqual("prompt_never_fits", error["type"])
            self.assertEqual("not_run", error["run_state"])

        with_fleet(test, with_engine_memory(own_plan(), 20_000))


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


class LeavingEngineTest(testtools.TestCase):
    def test_gets_no_new_work_from_any_vm_and_comes_back_after_its_restart(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            engines = fleet.standins.engines
            others = [engine for engine in engines.engine_ids if engine != ENGINE]
            for engine in others:
                engines.leave(engine)
            await trio.sleep(LEAVING_SECONDS)
            body = {"model": "course-assistant", "prompt": "x", "max_tokens": 30}
            started = []

            async def ask(vm: int) -> None:
                client = Client(fleet, connections, vm)
                started.append((await client.send("POST", "/v1/completions", body)).status)

            async with trio.open_nursery() as nursery:
                for vm in (0, 1, 0, 1):
                    nursery.start_soon(ask, vm)
                await trio.sleep(0.2)
                running = {e: engines.state(e).load_now().running_requests for e in others}
            self.assertEqual([200] * 4, started)
            self.assertEqual(dict.fromkeys(others, 0), running)
            engines.restart(others[0])
            engines.leave(ENGINE)
            await trio.sleep(LEAVING_SECONDS)
            answer = await Client(fleet, connections).send("POST", "/v1/completions", body)
            self.assertEqual(200, answer.status, str(answer.body))

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
