"""Tests of VMs that together keep the bound on requests to cold servers."""

from bisect import bisect_left
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
import testtools
import trio

from camphordrift.relay.model import Configuration, Service
from camphordrift.relay.tests.relay_harness import (
    CallerResponse,
    RelayFleet,
    RelayHarness,
    chunk,
    complete_stream,
    events,
    run_fleet_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import CONFIGURATION, COSTS, attempt_id_of
from camphordrift.testing import HttpRequest, HttpRequestHandler

pytestmark = pytest.mark.sockets

#: Requests per second that a cold server takes.
RATE = 4.0

#: Seconds between reads of the directory, with a margin.
READ_TIME = 1.2

COLD_CONFIGURATION: Configuration = replace(
    CONFIGURATION,
    version=CONFIGURATION.version + 1,
    services={
        "engines": Service("engines", 264, COSTS, 5.0, RATE),
        "office": Service("office", 100, None, 5.0, RATE),
    },
)


def most_in_a_second(times: list[float]) -> int:
    """Returns the largest number of requests within any second."""
    ordered = sorted(times)
    return max((bisect_left(ordered, at + 1.0) - i for i, at in enumerate(ordered)), default=0)


def counted(times: list[float], headers: bytes = b"") -> HttpRequestHandler:
    """Returns a script that records when each request arrives, and adds headers to responses."""

    async def script(request: HttpRequest, stream: trio.SocketStream) -> bool:
        times.append(trio.current_time())
        if request.target.startswith("/quick/"):
            head = stream_head(request).replace(b"\r\n\r\n", b"\r\n" + headers + b"\r\n")
            await stream.send_all(head + chunk(events(1, 5)) + b"0\r\n\r\n")
        else:
            head = b"HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 4\r\n" + headers
            attempt = f"x-attempt: {attempt_id_of(request)}\r\n\r\n".encode()
            await stream.send_all(head + attempt + b"done")
        return True

    return script


async def send_for(
    relays: list[RelayHarness],
    path: str,
    seconds: float,
    interval: float,
    responses: list[CallerResponse],
) -> None:
    """Sends requests to the relays by turns, without waiting for the responses."""

    async def send(number: int) -> None:
        relay = relays[number % len(relays)]
        responses.append(await relay.send_request(path, f"{path}{number}", x_patience="5"))

    async with trio.open_nursery() as nursery:
        for number in range(int(seconds / interval)):
            nursery.start_soon(send, number)
            await trio.sleep(interval)


def cold_servers_of(relay: RelayHarness) -> set[str]:
    return set(relay.process._request_limits.cold.ids(trio.current_time()))


async def make_cold(fleet: RelayFleet, relays: list[RelayHarness], left: float) -> None:
    """Rewrites the entry of the first server, and waits until all VMs know that it is cold."""
    item = fleet.servers[0]
    item.entry = replace(item.entry, cold_left=left)
    relays[0].register_server(item)
    while not all(cold_servers_of(relay) == {item.entry.id} for relay in relays):
        await trio.sleep(0.01)


def run(
    scenario: Callable[[RelayFleet, list[RelayHarness]], Awaitable[None]],
    *scripts: HttpRequestHandler,
    service: str = "engines",
    configuration: Configuration = COLD_CONFIGURATION,
) -> None:
    async def main(fleet: RelayFleet) -> None:
        relays = await fleet.start_all(3)
        relays[0].publish(configuration)
        for relay in relays:
            await relay.wait_for_version(configuration.version)
        await scenario(fleet, relays)

    run_fleet_scenario(main, *scripts, service=service)


class ColdAgainTest(testtools.TestCase):
    def check(self, path: str, service: str) -> None:
        cold: list[float] = []
        warm: list[float] = []
        responses: list[CallerResponse] = []

        async def scenario(fleet: RelayFleet, relays: list[RelayHarness]) -> None:
            await make_cold(fleet, relays, 30.0)
            await send_for(relays, path, 3.0, 0.02, responses)

        run(scenario, counted(cold), counted(warm), service=service)
        self.assertLessEqual(most_in_a_second(cold), RATE * 1.5 + 5)
        self.assertEqual({200}, {response.status for response in responses})
        self.assertEqual(len(responses), len(cold) + len(warm))

    def test_engines(self) -> None:
        self.check("/quick/", "engines")

    def test_plain_servers(self) -> None:
        self.check("/look/", "office")

    def test_the_only_engine_is_used_up_to_its_rate(self) -> None:
        times: list[float] = []
        responses: list[CallerResponse] = []

        async def scenario(fleet: RelayFleet, relays: list[RelayHarness]) -> None:
            await make_cold(fleet, relays, 10.0)
            await send_for(relays, "/quick/", 4.0, 0.1, responses)

        run(scenario, counted(times))
        self.assertLessEqual(most_in_a_second(times), RATE * 1.5 + 5)
        self.assertGreaterEqual(len(times), RATE * 3)
        for response in responses:
            if response.status != 200:
                self.assertEqual(503, response.status)
                self.assertGreater(float(response.headers["retry-after"]), 0.0)

    def test_a_response_tells_all_vms(self) -> None:
        times: list[float] = []

        async def scenario(fleet: RelayFleet, relays: list[RelayHarness]) -> None:
            await relays[2].send_request("/quick/a", "a")
            while not all(cold_servers_of(relay) for relay in relays):
                await trio.sleep(0.01)

        run(scenario, counted(times, b"x-cold: 4\r\n"))

    def test_a_vm_that_starts_later_is_told(self) -> None:
        async def scenario(fleet: RelayFleet, relays: list[RelayHarness]) -> None:
            await make_cold(fleet, relays, 8.0)
            late = await fleet.start()
            while not cold_servers_of(late):
                await trio.sleep(0.01)

        run(scenario, complete_stream)


class StartTest(testtools.TestCase):
    def test_an_engine_that_restarts_in_traffic_is_cold(self) -> None:
        async def scenario(fleet: RelayFleet, relays: list[RelayHarness]) -> None:
            item = fleet.servers[0]
            item.entry = replace(item.entry, started_ms=item.entry.started_ms + 5000)
            relays[0].register_server(item)
            while not all(cold_servers_of(relay) == {item.entry.id} for relay in relays):
                await trio.sleep(0.01)
            page = await relays[1].metrics_page()
            self.assertIn("camphordrift_relay_cold_servers 1.0", page)

        run(scenario, complete_stream, complete_stream)


class OffTest(testtools.TestCase):
    def test_servers_are_not_cold_unless_their_service_says_so(self) -> None:
        times: list[float] = []
        configuration = replace(CONFIGURATION, version=CONFIGURATION.version + 1)
        responses: list[CallerResponse] = []

        async def scenario(fleet: RelayFleet, relays: list[RelayHarness]) -> None:
            item = fleet.servers[0]
            item.entry = replace(item.entry, cold_left=9.0)
            relays[0].register_server(item)
            await trio.sleep(READ_TIME)
            await send_for(relays, "/quick/", 1.0, 0.02, responses)
            self.assertEqual([set()] * 3, list(map(cold_servers_of, relays)))

        run(scenario, counted(times, b"x-cold: 9\r\n"), configuration=configuration)
        self.assertEqual(50, len(times))
        self.assertEqual({200}, {response.status for response in responses})
