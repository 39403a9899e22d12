"""Tests of servers that stall, and send a byte now and then."""

import pytest
import testtools
import trio

from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    chunk,
    complete_stream,
    events,
    plain_response,
    plain_success,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import ScriptedServer
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: Seconds between two bytes; shorter than the timeouts after which a server counts as silent.
BYTE_INTERVAL = 0.2


async def _trickle(stream: trio.SocketStream, data: bytes) -> None:
    for position in range(len(data)):
        await stream.send_all(data[position : position + 1])
        await trio.sleep(BYTE_INTERVAL)


class TricklingServerTest(testtools.TestCase):
    """Operators of similar systems saw stalled responses that sent a byte now and then not end."""

    def test_a_plain_response_comes_from_another_server(self) -> None:
        async def trickles(request: HttpRequest, stream: trio.SocketStream) -> bool:
            head, _, body = plain_response(request, body=b"x" * 800).partition(b"\r\n\r\n")
            await stream.send_all(head + b"\r\n\r\n")
            try:
                await _trickle(stream, body)
            except trio.BrokenResourceError:
                return False
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            responses = [await relay.send_request("/look/x", f"a{n}") for n in range(2)]
            self.assertEqual([b"done"] * 2, [response.body for response in responses])

        run_scenario(scenario, trickles, plain_success, service="office")

    def test_a_stream_comes_from_another_server(self) -> None:
        async def trickles(request: HttpRequest, stream: trio.SocketStream) -> bool:
            try:
                await stream.send_all(stream_head(request))
                for byte in events(1, 5):
                    await stream.send_all(chunk(bytes([byte])))
                    await trio.sleep(BYTE_INTERVAL)
            except trio.BrokenResourceError:
                return False
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            responses = [await relay.send_request("/quick/x", f"a{n}") for n in range(2)]
            self.assertEqual([events(1, 5)] * 2, [response.body for response in responses])

        run_scenario(scenario, trickles, complete_stream)
