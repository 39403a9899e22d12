"""Tests of servers that name how many requests per second they take from all VMs together."""

import pytest
import testtools
import trio

from camphordrift.relay.tests.relay_harness import (
    CallerResponse,
    RelayFleet,
    RelayHarness,
    chunk,
    events,
    run_fleet_scenario,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import ScriptedServer, attempt_id_of
from camphordrift.testing import HttpRequest, HttpRequestHandler

pytestmark = pytest.mark.sockets

#: Window in seconds in which requests to a limited server are counted.
WINDOW = 4.0

#: Seconds of the requests of a scenario.
DURATION = 6.0


def allowed(limit: float) -> float:
    """Returns the requests that a server may get in a window, by the statement of the users."""
    return 1.5 * limit * WINDOW + 5


def names_limit(limit: float, times: list[float]) -> HttpRequestHandler:
    """Returns a script that names a limit, and records when each request arrives."""

    async def script(request: HttpRequest, stream: trio.SocketStream) -> bool:
        times.append(trio.current_time())
        line = b"x-limit: %g\r\n" % limit
        if request.target.startswith("/quick/"):
            head = stream_head(request).replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n")
            await stream.send_all(head + chunk(events(1, 5)) + b"0\r\n\r\n")
        else:
            head = b"HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 4\r\n" + line
            attempt = f"x-attempt: {attempt_id_of(request)}\r\n\r\n".encode()
            await stream.send_all(head + attempt + b"done")
        return True

    return script


def busiest_window(times: list[float]) -> int:
    """Returns the largest number of requests in any window."""
    return max(sum(start <= at < start + WINDOW for at in times) for start in times)


async def send_at_intervals(
    relay: RelayHarness, path: str, interval: float, responses: list[CallerResponse]
) -> None:
    """Sends requests without waiting for the responses."""

    async def send(number: int) -> None:
        responses.append(await relay.send_request(path, f"{path}{number}", x_patience="2"))

    ends_at = trio.current_time() + DURATION
    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < ends_at:
            nursery.start_soon(send, number)
            number += 1
            await trio.sleep(interval)


class FleetTest(testtools.TestCase):
    def check(self, path: str, service: str) -> None:
        times: list[float] = []
        responses: list[CallerResponse] = []

        async def scenario(fleet: RelayFleet) -> None:
            relays = await fleet.start_all(3)
            async with trio.open_nursery() as nursery:
                for number, relay in enumerate(relays):
                    # Each VM sends less than the limit.
                    nursery.start_soon(send_at_intervals, relay, f"{path}{number}", 0.2, responses)

        run_fleet_scenario(scenario, names_limit(6.0, times), service=service)
        self.assertLessEqual(busiest_window(times), allowed(6.0))
        for response in responses:
            if response.status != 200:
                self.assertEqual(503, response.status)
                self.assertGreater(float(response.headers["retry-after"]), 0.0)

    def test_vms_together_keep_the_limit_of_an_engine(self) -> None:
        self.check("/quick/", "engines")

    def test_vms_together_keep_the_limit_of_a_plain_server(self) -> None:
        self.check("/look/", "office")


class ResponseTest(testtools.TestCase):
    def check(self, path: str, service: str) -> None:
        times: list[float] = []

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            await relay.send_request(path + "first", "first")
            responses: list[CallerResponse] = []

            async def send(number: int) -> None:
                attempt = f"a{number}"
                responses.append(await relay.send_request(path, attempt, x_patience="2"))

            began_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(send, number)
            elapsed = trio.current_time() - began_at
            refused = [response for response in responses if response.status != 200]
            # At one request per second, ten of twelve cannot be served within two seconds.
            self.assertGreaterEqual(len(refused), 10)
            waits = sorted(float(response.headers["retry-after"]) for response in refused)
            # Those that return then are not too many either. Each wait counts from its own refusal,
            # and all refusals are made within the elapsed time.
            self.assertGreaterEqual(waits[-1] - waits[0] + elapsed, len(refused) - 1.1)

        run_scenario(scenario, names_limit(1.0, times), service=service)
        self.assertLessEqual(busiest_window(times), allowed(1.0))

    def test_requests_that_an_engine_cannot_take_in_time_are_refused(self) -> None:
        self.check("/quick/", "engines")

    def test_requests_that_a_plain_server_cannot_take_in_time_are_refused(self) -> None:
        self.check("/look/", "office")
