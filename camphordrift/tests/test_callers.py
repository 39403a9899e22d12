"""Tests of callers that disconnect, stall or use a common client, over real sockets."""

import json

import testtools
import trio
from openai import APIError, AsyncOpenAI

from camphordrift.backend_http import HttpConnections
from camphordrift.demo import DEMO_MODEL, DemoFleet
from camphordrift.tests.fleet_client import KEY, run_with_fleet


def client_of(fleet: DemoFleet) -> AsyncOpenAI:
    """Returns an unmodified client of the first entry VM."""
    address = fleet.plan.entries[0].listen.callers
    return AsyncOpenAI(base_url=f"http://{address}/v1", api_key=KEY, max_retries=0)


async def open_stream(fleet: DemoFleet) -> trio.SocketStream:
    """Returns a bare connection to the first entry VM."""
    address = fleet.plan.entries[0].listen.callers
    return await trio.open_tcp_stream(address.host, address.port)


def head(content_length: int) -> bytes:
    """Returns the header section of a completion request."""
    lines = (
        "POST /v1/completions HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {KEY}",
        f"Content-Length: {content_length}",
        "Connection: close",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def running_requests(fleet: DemoFleet) -> int:
    """Returns how many requests the engines run."""
    engines = fleet.standins.engines
    return sum(engines.state(each).load_now().running_requests for each in engines.engine_ids)


class OpenAiClientTest(testtools.TestCase):
    def test_streams_a_chat(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            async with client_of(fleet) as client:
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

    def test_sees_a_failure_in_the_middle_of_a_stream_as_an_error(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            async def read_all() -> None:
                async with client_of(fleet) as client:
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
                await read_all()

        run_with_fleet(test)


class DisconnectTest(testtools.TestCase):
    def test_a_caller_that_goes_away_cancels_the_work_on_the_engine(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            body = json.dumps(
                {"model": DEMO_MODEL, "prompt": "x", "max_tokens": 100_000, "stream": True}
            ).encode()
            stream = await open_stream(fleet)
            await stream.send_all(head(len(body)) + body)
            self.assertIn(b"200", await stream.receive_some(1000))
            self.assertEqual(1, running_requests(fleet))
            await stream.aclose()
            while running_requests(fleet):
                await trio.sleep(0.01)

        run_with_fleet(test)

    def test_a_body_that_stays_half_sent_is_refused_in_time(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            stream = await open_stream(fleet)
            await stream.send_all(head(1000) + b'{"model": ')
            answer = b"".join([part async for part in stream])
            self.assertIn(b" 408 ", answer.split(b"\r\n")[0] + b" ")
            self.assertIn(b"not_run", answer)

        run_with_fleet(test)

    def test_a_caller_that_leaves_in_its_body_gives_its_memory_back(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            memory = fleet.entries[0].body_memory
            stream = await open_stream(fleet)
            await stream.send_all(head(10_000) + b"x" * 5_000)
            while memory.used_bytes == 0:
                await trio.sleep(0.01)
            await stream.aclose()
            while memory.used_bytes:
                await trio.sleep(0.01)

        run_with_fleet(test)
