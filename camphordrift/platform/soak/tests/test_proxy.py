"""Tests of the proxy that disrupts connections."""

from collections.abc import Awaitable, Callable

import pytest
import testtools
import trio

from camphordrift.platform.soak._proxy import Proxy, ProxyMode, reset_connection
from camphordrift.testing import process_loopback_network

pytestmark = pytest.mark.sockets

#: Seconds after which data or a reset has arrived at the proxy.
ARRIVAL_TIME = 0.2

#: Timeout of a test in seconds.
TEST_TIMEOUT = 20.0


class HeldBackDataTest(testtools.TestCase):
    """Guards against requests that a server gets although their sender had given them up.

    In the soak, a server began to work for a caller 9 s after it had left, when a path that had
    hung delivered its request.
    """

    def test_data_whose_sender_has_reset_the_connection_is_not_delivered(self) -> None:
        async def scenario(proxy: Proxy, client: trio.SocketStream) -> None:
            reset_connection(client)
            await trio.sleep(ARRIVAL_TIME)
            proxy.set_host_mode(self.host, ProxyMode.PASS)

        self.assertEqual(b"", self._received(scenario))

    def test_data_is_delivered_once_the_path_is_back(self) -> None:
        async def scenario(proxy: Proxy, client: trio.SocketStream) -> None:
            proxy.set_host_mode(self.host, ProxyMode.PASS)
            await client.send_eof()

        self.assertEqual(b"request", self._received(scenario))

    def _received(self, scenario: Callable[[Proxy, trio.SocketStream], Awaitable[None]]) -> bytes:
        """Returns what arrives of a request that is sent while the path hangs."""
        self.host = f"{process_loopback_network()}.1"
        received = bytearray()
        ended = trio.Event()

        async def serve(stream: trio.SocketStream) -> None:
            try:
                async for data in stream:
                    received.extend(data)
            except trio.BrokenResourceError:
                # The client's reset was passed on.
                pass
            ended.set()

        async def main() -> None:
            with trio.fail_after(TEST_TIMEOUT):
                async with trio.open_nursery() as nursery:
                    (target,) = await trio.open_tcp_listeners(0, host=self.host)
                    (unused,) = await trio.open_tcp_listeners(0, host=self.host)
                    port = unused.socket.getsockname()[1]
                    await unused.aclose()
                    nursery.start_soon(trio.serve_listeners, serve, [target])
                    proxy = Proxy(self.host, port, *target.socket.getsockname())
                    await nursery.start(proxy.run)
                    client = await trio.open_tcp_stream(self.host, port, local_address=self.host)
                    proxy.set_host_mode(self.host, ProxyMode.SILENCE)
                    await client.send_all(b"request")
                    await trio.sleep(ARRIVAL_TIME)
                    await scenario(proxy, client)
                    await ended.wait()
                    nursery.cancel_scope.cancel()

        trio.run(main)
        return bytes(received)
