"""Tests of operators' actions on a running fleet, over real sockets."""

import json
from typing import Any

import testtools
import trio
import uuid6

from camphordrift.backend_http import HttpCall, HttpConnections, HttpResponse
from camphordrift.demo import DEMO_OPERATOR_KEY, DemoFleet
from camphordrift.tests.fleet_client import Client, isolated_plan, run_with_fleet


async def send_as_operator(
    fleet: DemoFleet,
    connections: HttpConnections,
    vm: int,
    method: str,
    target: str,
    body: Any = None,
) -> HttpResponse:
    """Sends one request to the operators' port of a VM."""
    content = b"" if body is None else json.dumps(body).encode()
    base_url = f"http://{fleet.plan.entries[vm].listen.operators}"
    headers = (("Authorization", f"Bearer {DEMO_OPERATOR_KEY}"),)
    return await connections.fetch(HttpCall(method, base_url, target, content, headers), 20.0)


def limits_record(requests_per_second: float, replaces: int) -> dict[str, Any]:
    """Returns a record that changes one account's limits."""
    value = {
        "requests_per_second": requests_per_second,
        "tokens_per_second": 1000.0,
        "concurrency": 5,
    }
    change = {
        "kind": "account_limits",
        "key": "candidates",
        "replaces": replaces,
        "value": value,
    }
    return {"author": "ola", "note": "busy season", "changes": [change]}


class ConfigurationTest(testtools.TestCase):
    def test_a_change_published_at_one_vm_is_applied_on_all(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            record = limits_record(7.0, replaces=1)
            response = await send_as_operator(
                fleet, connections, 0, "POST", "/configuration", record
            )
            self.assertEqual(200, response.status, str(response.body))
            for entry in fleet.entries:
                while entry.configuration_keeper.status.version < 2:
                    await entry.configuration_keeper.wait_for_change()

        run_with_fleet(test, isolated_plan(vm_count=3))

    def test_of_concurrent_operators_one_succeeds_and_the_others_get_a_conflict(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            statuses: list[int] = []

            async def publish(vm: int) -> None:
                record = limits_record(10.0 + vm, replaces=1)
                response = await send_as_operator(
                    fleet, connections, vm, "POST", "/configuration", record
                )
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                for vm in range(3):
                    nursery.start_soon(publish, vm)
            self.assertEqual([200, 409, 409], sorted(statuses))

        run_with_fleet(test, isolated_plan(vm_count=3))


class StateDumpTest(testtools.TestCase):
    def test_contains_configuration_and_decisions_but_no_fleet_key(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            await Client(fleet, connections).send("POST", "/v1/completions", b"{", headers=())
            response = await send_as_operator(fleet, connections, 0, "GET", "/dump")
            dump = json.loads(response.body)
            self.assertEqual(1, dump["configuration"]["version"])
            self.assertEqual("admission", dump["decisions"][0]["component"])
            self.assertNotIn(fleet.plan.fleet_key, response.body.decode())

        run_with_fleet(test)


class GracefulShutdownTest(testtools.TestCase):
    def test_finishes_admitted_requests_and_refuses_new_ones_as_not_run(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            client = Client(fleet, connections)
            responses: list[HttpResponse] = []

            async def complete() -> None:
                body = {"model": "course-assistant", "prompt": "x", "max_tokens": 200}
                responses.append(await client.send("POST", "/v1/completions", body))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(complete)
                while fleet.entries[0].active_count == 0:
                    await trio.sleep(0.01)
                accepted = await send_as_operator(fleet, connections, 0, "POST", "/drain", {})
                self.assertEqual(202, accepted.status)
                ready = await send_as_operator(fleet, connections, 0, "GET", "/ready")
                self.assertEqual(503, ready.status)
                while fleet.entries[0].graceful_shutdown.controller.admits_requests:
                    await trio.sleep(0.01)
                refused = await client.send("POST", "/v1/completions", b"{}")
                self.assertEqual("not_run", json.loads(refused.body)["error"]["run_state"])
                self.assertEqual("close", refused.headers["connection"])
            self.assertEqual(200, responses[0].status)
            tokens = json.loads(responses[0].body)["usage"]["completion_tokens"]
            self.assertEqual(200, tokens)

        run_with_fleet(test)


class LogOutageTest(testtools.TestCase):
    def test_generation_continues_and_bookings_are_refused_as_not_run(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            fleet.standins.control.apply("log.outage", {"silent": True})
            client = Client(fleet, connections)
            body = {"model": "course-assistant", "prompt": "x", "max_tokens": 5}
            generated = await client.send("POST", "/v1/completions", body)
            self.assertEqual(200, generated.status)
            key_headers = (("Idempotency-Key", str(uuid6.uuid7())),)
            booking = {"reference": "during-outage"}
            booked = await client.send(
                "POST", "/booking-office/bookings", booking, headers=key_headers
            )
            self.assertEqual("not_run", json.loads(booked.body)["error"]["run_state"])
            self.assertEqual(0, fleet.standins.bookings.run_counts["during-outage"])

        run_with_fleet(test)
