"""Tests of what callers receive while an entry VM stops, over real sockets."""

import json
from dataclasses import replace
from typing import Any

import testtools
import trio
import uuid6

from camphordrift.backend_http import HttpConnections, HttpResponse
from camphordrift.demo import DEMO_MODEL, DemoFleet, DemoPlan
from camphordrift.results import ResultCode
from camphordrift.tests.fleet_client import Client, isolated_plan, run_with_fleet

#: Drain bound in the tests of requests that it cuts, in seconds.
DRAIN_BOUND_SECONDS = 0.2

#: A request whose output takes far longer than the tests.
ENDLESS_COMPLETION = {"model": DEMO_MODEL, "prompt": "x", "max_tokens": 100_000}


def plan_with_drain_bound(seconds: float) -> DemoPlan:
    """Returns the plan of a fleet in which a stop refuses requests at once."""
    plan = isolated_plan()
    draining = replace(
        plan.entries[0].draining, drain_bound_seconds=seconds, balancer_lag_seconds=0.0
    )
    return replace(plan, entries=tuple(replace(entry, draining=draining) for entry in plan.entries))


def running_requests(fleet: DemoFleet) -> int:
    """Returns the number of requests that run on all engines."""
    engines = fleet.standins.engines
    return sum(engines.state(engine).load_now().running_requests for engine in engines.engine_ids)


class DrainBoundTest(testtools.TestCase):
    def assert_failure(self, code: ResultCode, run_state: str, body: bytes) -> None:
        error = json.loads(body)["error"]
        self.assertEqual((int(code), run_state), (error["code"], error["run_state"]))

    def cut_completion(self, body: dict[str, Any]) -> HttpResponse:
        """Returns the response to a completion that an engine runs at the drain bound."""
        responses: list[HttpResponse] = []

        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            async def complete() -> None:
                client = Client(fleet, connections)
                responses.append(await client.send("POST", "/v1/completions", body))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(complete)
                while running_requests(fleet) == 0:
                    await trio.sleep(0.01)
                fleet.entries[0].graceful_shutdown.start("test")

        run_with_fleet(test, plan_with_drain_bound(DRAIN_BOUND_SECONDS))
        return responses[0]

    # The connection was closed without a response.
    def test_a_request_cut_at_the_drain_bound_gets_a_failure(self) -> None:
        response = self.cut_completion(ENDLESS_COMPLETION)
        self.assertEqual(503, response.status)
        self.assertEqual("close", response.headers["connection"])
        self.assert_failure(ResultCode.VM_STOPPED, "failed", response.body)

    # The stream ended without an event that says so.
    def test_a_stream_cut_at_the_drain_bound_ends_with_an_error_event(self) -> None:
        response = self.cut_completion({**ENDLESS_COMPLETION, "stream": True})
        self.assertEqual(200, response.status)
        self.assertNotIn(b"[DONE]", response.body)
        last_event = response.body.rstrip(b"\n").split(b"\n\n")[-1]
        self.assert_failure(ResultCode.VM_STOPPED, "failed", last_event.removeprefix(b"data: "))

    # The VM waited for the call beyond the drain bound, and closed the connection then.
    def test_a_booking_cut_at_the_drain_bound_has_an_unknown_outcome(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            responses: list[HttpResponse] = []

            async def book() -> None:
                client = Client(fleet, connections)
                body, path = {"reference": "cut"}, "/booking-office/bookings"
                headers = (("Idempotency-Key", str(uuid6.uuid7())),)
                responses.append(await client.send("POST", path, body, headers=headers))

            for server in fleet.plan.standins.services:
                fleet.standins.control.apply("service.silent", {"server_id": server.server_id})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(book)
                while not fleet.standins.bookings.run_counts["cut"]:
                    await trio.sleep(0.01)
                fleet.entries[0].graceful_shutdown.start("test")
            code = ResultCode.SERVICE_OUTCOME_UNKNOWN
            self.assert_failure(code, "outcome_unknown", responses[0].body)

        run_with_fleet(test, plan_with_drain_bound(DRAIN_BOUND_SECONDS))
