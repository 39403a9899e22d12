"""Tests of what callers receive while an entry VM stops, over real sockets."""

import json
from dataclasses import replace
from typing import Any

import testtools
import trio
import uuid6

from camphordrift.backend_http import HttpConnections, HttpResponse
from camphordrift.demo import DEMO_MODEL, DemoFleet, DemoPlan
from camphordrift.draining import DrainPhase
from camphordrift.results import ResultCode
from camphordrift.tests.fleet_client import ACCOUNT_KEY, Client, isolated_plan, run_with_fleet

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


async def send_half_of_request(fleet: DemoFleet, path: str, body: bytes) -> trio.SocketStream:
    """Sends the head and half of the body to the first entry VM, and waits until it has them."""
    address = fleet.plan.entries[0].listen.callers
    stream = await trio.open_tcp_stream(address.host, address.port)
    lines = (
        f"POST {path} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {ACCOUNT_KEY}",
        f"Idempotency-Key: {uuid6.uuid7()}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    )
    await stream.send_all(("\r\n".join(lines) + "\r\n\r\n").encode() + body[: len(body) // 2])
    while fleet.entries[0].body_memory.used_bytes == 0:
        await trio.sleep(0.01)
    return stream


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


class ArrivingBodyTest(testtools.TestCase):
    def check(self, path: str, body: dict[str, Any]) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            encoded = json.dumps(body).encode()
            stream = await send_half_of_request(fleet, path, encoded)
            shutdown = fleet.entries[0].graceful_shutdown
            shutdown.start("test")
            while shutdown.controller.admits_requests:
                await trio.sleep(0.01)
            self.assertEqual(DrainPhase.FINISHING, shutdown.controller.phase)
            await stream.send_all(encoded[len(encoded) // 2 :])
            response = b"".join([part async for part in stream])
            self.assertEqual(b"HTTP/1.1 200 ", response.partition(b"\r\n")[0])
            while shutdown.controller.phase is not DrainPhase.EXITED:
                await trio.sleep(0.01)

        run_with_fleet(test, plan_with_drain_bound(60.0))

    # The VM counted as idle, and exited before the body was complete.
    def test_a_request_whose_body_is_still_arriving_keeps_the_vm_alive(self) -> None:
        self.check("/v1/completions", {"model": DEMO_MODEL, "prompt": "x", "max_tokens": 5})

    # The same with the other endpoint.
    def test_a_booking_whose_body_is_still_arriving_keeps_the_vm_alive(self) -> None:
        self.check("/booking-office/bookings", {"reference": "late"})

    # The connection was closed without a response.
    def test_a_request_whose_body_is_incomplete_at_the_drain_bound_is_not_run(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            stream = await send_half_of_request(fleet, "/v1/completions", b"x" * 100)
            fleet.entries[0].graceful_shutdown.start("test")
            head, _, body = b"".join([part async for part in stream]).partition(b"\r\n\r\n")
            self.assertEqual(b"HTTP/1.1 503 ", head.partition(b"\r\n")[0])
            error = json.loads(body)["error"]
            self.assertEqual(int(ResultCode.VM_DRAINING), error["code"])
            self.assertEqual("not_run", error["run_state"])

        run_with_fleet(test, plan_with_drain_bound(DRAIN_BOUND_SECONDS))
