"""Tests of endless responses whose receiver does not read: nobody on the way may keep the bytes."""

import tracemalloc

import pytest
import testtools
import trio

from camphordrift.relay.connections import READ_SIZE
from camphordrift.relay.peers._message_link import LinkBrokenError, MessageLink
from camphordrift.relay.peers._tunnels import open_tunnel
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    chunk,
    request_bytes,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import ScriptedServer
from camphordrift.relay.tests.test_tunnels import TIMEOUT, Network, run
from camphordrift.testing import HttpRequest, process_loopback_network

pytestmark = pytest.mark.sockets

#: Bytes that may be allocated meanwhile.
MAX_MEMORY = 8 << 20

#: Bytes that a server offers, more than the buffers of all sockets on the way hold.
OFFERED = 128 << 20

#: Seconds without progress after which a sender counts as blocked.
BLOCKED = 0.3


class OfferingServer:
    """Sends a block again and again, and counts the bytes that were taken."""

    def __init__(self, block: bytes) -> None:
        self._block = block
        self.sent = 0

    async def send(self, stream: trio.SocketStream) -> None:
        """Sends blocks until it has offered enough, or the connection ends."""
        try:
            while self.sent < OFFERED:
                await stream.send_all(self._block)
                self.sent += len(self._block)
        except trio.BrokenResourceError:
            return

    async def wait_until_blocked(self) -> None:
        """Waits until nothing more is taken."""
        before = -1
        while self.sent != before:
            before = self.sent
            await trio.sleep(BLOCKED)


class UnreadResponseTest(testtools.TestCase):
    def test_a_caller_that_does_not_read_its_stream(self) -> None:
        offering = OfferingServer(chunk(b"data: token\n\n" * 1000))

        async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request))
            await offering.send(stream)
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async with await relay.connect() as stream:
                tracemalloc.start()
                await stream.send_all(request_bytes("/quick/x"))
                while not offering.sent:
                    await trio.sleep(0.01)
                await offering.wait_until_blocked()
                peaks.append(tracemalloc.get_traced_memory()[1])
                tracemalloc.stop()

        peaks: list[int] = []
        run_scenario(scenario, answer)
        self.assertLess(offering.sent, OFFERED)
        self.assertLess(peaks[0], MAX_MEMORY)

    def test_a_vm_that_does_not_read_its_tunnel(self) -> None:
        offering = OfferingServer(b"x" * READ_SIZE)

        async def scenario(network: Network) -> None:
            tunnel = await open_tunnel(network.vm, network.server, TIMEOUT)
            tracemalloc.start()
            await offering.wait_until_blocked()
            peaks.append(tracemalloc.get_traced_memory()[1])
            tracemalloc.stop()
            self.assertEqual(READ_SIZE, len(await tunnel.receive_some()))
            tunnel.abort()

        peaks: list[int] = []
        run(offering.send, scenario)
        self.assertLess(offering.sent, OFFERED)
        self.assertLess(peaks[0], MAX_MEMORY)


class MessageLengthTest(testtools.TestCase):
    def test_a_length_over_the_limit_is_refused_before_the_message_is_read(self) -> None:
        async def main() -> None:
            host = f"{process_loopback_network()}.71"
            (listener,) = await trio.open_tcp_listeners(0, host=host)
            with trio.fail_after(5):
                sender = await trio.open_tcp_stream(*listener.socket.getsockname()[:2])
                receiver = await listener.accept()
                link = MessageLink(receiver, TIMEOUT)
                await sender.send_all(b"\xff\xff\xff\xff" + b"x" * 100)
                with testtools.ExpectedException(LinkBrokenError, ".*exceeds the limit.*"):
                    await link.read_next()

        trio.run(main)
