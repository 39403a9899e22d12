"""Tests of callers that disconnect, stall or use the OpenAI client library, over real sockets."""

import json
from dataclasses import replace

import testtools
import trio
from openai import APIError, AsyncOpenAI

from camphordrift.backend_http import HttpConnections
from camphordrift.demo import DEMO_MODEL, DemoFleet, DemoPlan
from camphordrift.tests.fleet_client import ACCOUNT_KEY, isolated_plan, run_with_fleet

#: Body timeout in the test of an incomplete body; short, since the test waits for it, in seconds.
BODY_TIMEOUT_SECONDS = 1.0


def plan_with_short_body_timeout() -> DemoPlan:
    """Returns a plan whose entry VMs wait only briefly for a request body."""
    plan = isolated_plan()
    limits = replace(plan.entries[0].limits, body_timeout_seconds=BODY_TIMEOUT_SECONDS)
    return replace(plan, entries=tuple(replace(entry, limits=limits) for entry in plan.entries))


def open_ai_client(fleet: DemoFleet) -> AsyncOpenAI:
    """Returns an unmodified OpenAI client for the first entry VM."""
    address = fleet.plan.entries[0].listen.callers
    return AsyncOpenAI(base_url=f"http://{address}/v1", api_key=ACCOUNT_KEY, max_retries=0)


async def open_stream(fleet: DemoFleet) -> trio.SocketStream:
    """Returns a TCP connection to the callers' port of the first entry VM."""
    address = fleet.plan.entries[0].listen.callers
    return await trio.open_tcp_stream(address.host, address.port)


def request_head(content_length: int) -> bytes:
    """Returns the request line and headers of a completion request."""
    lines = (
        "POST /v1/completions HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {ACCOUNT_KEY}",
        f"Content-Length: {content_length}",
        "Connection: close",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def running_requests(fleet: DemoFleet) -> int:
    """Returns the number of requests that run on all engines."""
    engines = fleet.standins.engines
    return sum(
        engines.state(engine_id).load_now().running_requests for engine_id in engines.engine_ids
    )


class OpenAiClientTest(testtools.TestCase):
    def test_streams_a_chat(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            async with open_ai_client(fleet) as client:
                stream = await client.chat.completions.create(
                    model=DEMO_MODEL,
                    messages=[{"role": "user", "content": "How is a rip current left?"}],
                    max_tokens=12,
                    stream=True,
                )
                words = [
                    choice.delta.content or "" async for event in stream for choice in event.choices
                ]
            self.assertEqual(12, len("".join(words).split()))

        run_with_fleet(test)

    def test_a_failure_during_a_stream_is_raised_as_an_error(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            async def read_stream() -> None:
                async with open_ai_client(fleet) as client:
                    stream = await client.completions.create(
                        model=DEMO_MODEL,
                        prompt="Describe the towing.",
                        max_tokens=400,
                        stream=True,
                        extra_headers={"Camphordrift-Timeout-Seconds": "3"},
                    )
                    async for event in stream:
                        if event.choices:
                            for engine_id in fleet.standins.engines.engine_ids:
                                fleet.standins.engines.kill(engine_id)

            with self.assertRaises(APIError):
                await read_stream()

        run_with_fleet(test)


class DisconnectTest(testtools.TestCase):
    def test_a_disconnect_cancels_the_request_on_the_engine(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            body = json.dumps(
                {"model": DEMO_MODEL, "prompt": "x", "max_tokens": 100_000, "stream": True}
            ).encode()
            stream = await open_stream(fleet)
            await stream.send_all(request_head(len(body)) + body)
            self.assertIn(b"200", await stream.receive_some(1000))
            self.assertEqual(1, running_requests(fleet))
            await stream.aclose()
            while running_requests(fleet):
                await trio.sleep(0.01)

        run_with_fleet(test)

    def test_an_incomplete_body_is_refused_after_the_timeout(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            stream = await open_stream(fleet)
            await stream.send_all(request_head(1000) + b'{"model": ')
            response = b"".join([part async for part in stream])
            self.assertIn(b" 408 ", response.split(b"\r\n")[0] + b" ")
            self.assertIn(b"not_run", response)

        run_with_fleet(test, plan_with_short_body_timeout())

    def test_a_disconnect_during_the_body_frees_its_memory(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            memory = fleet.entries[0].body_memory
            stream = await open_stream(fleet)
            await stream.send_all(request_head(10_000) + b"x" * 5_000)
            while memory.used_bytes == 0:
                await trio.sleep(0.01)
            await stream.aclose()
            while memory.used_bytes:
                await trio.sleep(0.01)

        run_with_fleet(test)
