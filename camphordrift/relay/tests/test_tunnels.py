"""Tests of connections to servers through another VM, over sockets."""

from collections.abc import Awaitable, Callable

import pytest
import testtools
import trio

from camphordrift.relay.connections._byte_stream import (
    ByteStream,
    PathBrokenError,
    SocketByteStream,
    abort,
    connect,
)
from camphordrift.relay.model._settings import Address
from camphordrift.relay.peers import _tunnels
from camphordrift.relay.peers._message_link import LinkBrokenError, MessageLink
from camphordrift.relay.peers._peer_messages import OpenTunnel
from camphordrift.relay.peers._tunnels import (
    TunnelRefusedError,
    TunnelServer,
    TunnelStream,
    open_tunnel,
)
from camphordrift.testing import ConnectionScript, process_loopback_network

pytestmark = pytest.mark.sockets

TIMEOUT = 2.0

#: Larger than all buffers on the way.
LARGE = b"large" * 1_000_000


class Network:
    """A backend server and the VM between it and the test."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery
        self._vm_scope = trio.CancelScope()
        self._vm_streams: list[trio.SocketStream] = []
        self.tunnels = TunnelServer(self._is_listed, self._connect)

    async def start(self, script: ConnectionScript) -> None:
        """Starts a server that runs a script on each connection, and the VM."""
        self.server = await self._listen(script)
        self.vm = await self._listen(self._serve_vm)

    def stop_vm(self) -> None:
        """Ends the VM in between."""
        for stream in self._vm_streams:
            stream.socket.close()

    async def _listen(self, script: ConnectionScript) -> Address:
        host = f"{process_loopback_network()}.70"
        listeners = await trio.open_tcp_listeners(0, host=host)
        self._nursery.start_soon(trio.serve_listeners, script, listeners)
        return Address(*listeners[0].socket.getsockname()[:2])

    async def _serve_vm(self, stream: trio.SocketStream) -> None:
        self._vm_streams.append(stream)
        link = MessageLink(stream, TIMEOUT)
        try:
            request = await link.read_next()
            assert isinstance(request, OpenTunnel)
            await self.tunnels.serve(stream, link, request)
        except* (LinkBrokenError, trio.ClosedResourceError):
            pass
        finally:
            stream.socket.close()

    def _is_listed(self, address: Address) -> bool:
        return address == self.server

    async def _connect(self, address: Address, timeout: float) -> ByteStream:
        return SocketByteStream(await connect(address.host, address.port, timeout))


def run(
    script: ConnectionScript,
    scenario: Callable[[Network], Awaitable[None]],
    hang_timeout: float = 10.0,
) -> None:
    """Runs a scenario with a server and a VM; fails if it takes more than some seconds."""

    async def main() -> None:
        with trio.fail_after(hang_timeout):
            async with trio.open_nursery() as nursery:
                network = Network(nursery)
                await network.start(script)
                await scenario(network)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def echo(stream: trio.SocketStream) -> None:
    """Sends back what arrives."""
    async for data in stream:
        await stream.send_all(data)


async def receive_exactly(stream: ByteStream, count: int) -> bytes:
    """Receives a number of bytes."""
    data = b""
    while len(data) < count:
        chunk = await stream.receive_some(65536)
        assert chunk
        data += chunk
    return data


class TunnelTest(testtools.TestCase):
    def test_large_data_crosses_in_both_directions_at_the_same_time(self) -> None:
        async def scenario(network: Network) -> None:
            tunnel = await open_tunnel(network.vm, network.server, TIMEOUT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(tunnel.send_all, LARGE)
                received = await receive_exactly(tunnel, len(LARGE))
            self.assertEqual(len(LARGE), len(received))
            self.assertTrue(received == LARGE)

        run(echo, scenario)

    def test_the_end_of_the_servers_connection_is_the_end_of_the_stream(self) -> None:
        async def closes(stream: trio.SocketStream) -> None:
            await stream.send_all(b"last")
            await stream.aclose()

        async def scenario(network: Network) -> None:
            tunnel = await open_tunnel(network.vm, network.server, TIMEOUT)
            self.assertEqual(b"last", await receive_exactly(tunnel, 4))
            self.assertEqual(b"", await tunnel.receive_some())
            self.assertTrue(tunnel.is_readable())

        run(closes, scenario)

    def test_a_reset_of_the_server_is_not_taken_for_its_regular_end(self) -> None:
        """Guards against a truncated response without length that looks complete."""

        async def resets(stream: trio.SocketStream) -> None:
            await stream.send_all(b"first")
            await trio.sleep(0.1)
            abort(stream)

        async def scenario(network: Network) -> None:
            tunnel = await open_tunnel(network.vm, network.server, TIMEOUT)
            self.assertEqual(b"first", await receive_exactly(tunnel, 5))
            for _ in range(2):
                try:
                    await tunnel.receive_some()
                except trio.BrokenResourceError:
                    continue
                self.fail("the reset was not reported")

        run(resets, scenario)

    def test_an_early_response_arrives_although_the_request_is_not_read(self) -> None:
        async def responds_early(stream: trio.SocketStream) -> None:
            await stream.send_all(b"early")
            await stream.send_eof()
            await trio.sleep(5.0)

        async def scenario(network: Network) -> None:
            tunnel = await open_tunnel(network.vm, network.server, TIMEOUT)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(tunnel.send_all, LARGE)
                await trio.sleep(0.2)
                self.assertEqual(b"early", await receive_exactly(tunnel, 5))
                self.assertEqual(b"", await tunnel.receive_some())
                nursery.cancel_scope.cancel()

        run(responds_early, scenario)

    def test_the_loss_of_the_vm_in_between_is_not_taken_for_the_servers_end(self) -> None:
        """A server that did not crash accuses no request."""

        async def scenario(network: Network) -> None:
            tunnel = await open_tunnel(network.vm, network.server, TIMEOUT)
            network.stop_vm()
            error = await _error_of(tunnel.receive_some())
            self.assertIsInstance(error, PathBrokenError)

        run(echo, scenario)

    def test_the_server_sees_at_once_that_the_tunnel_was_closed(self) -> None:
        closed = trio.Event()

        async def waits(stream: trio.SocketStream) -> None:
            try:
                await stream.receive_some(1)
            except trio.BrokenResourceError:
                closed.set()

        async def scenario(network: Network) -> None:
            tunnel = await open_tunnel(network.vm, network.server, TIMEOUT)
            self.assertEqual(1, network.tunnels.count)
            tunnel.abort()
            with trio.fail_after(1.0):
                await closed.wait()
            while network.tunnels.count:
                await trio.sleep(0.01)

        run(waits, scenario)

    def test_an_idle_tunnel_is_readable_only_after_data_has_arrived(self) -> None:
        async def scenario(network: Network) -> None:
            tunnel = await open_tunnel(network.vm, network.server, TIMEOUT)
            self.assertFalse(tunnel.is_readable())
            await tunnel.send_all(b"x")
            while not tunnel.is_readable():
                await trio.sleep(0.01)

        run(echo, scenario)


class RefusalTest(testtools.TestCase):
    def test_only_listed_servers_are_connected(self) -> None:
        async def scenario(network: Network) -> None:
            error = await _error_of(open_tunnel(network.vm, network.vm, TIMEOUT))
            self.assertIsInstance(error, TunnelRefusedError)
            self.assertEqual(0, network.tunnels.count)

        run(echo, scenario)

    def test_the_number_of_tunnels_is_bounded(self) -> None:
        self.patch(_tunnels, "MAX_TUNNELS", 1)

        async def scenario(network: Network) -> None:
            await open_tunnel(network.vm, network.server, TIMEOUT)
            error = await _error_of(open_tunnel(network.vm, network.server, TIMEOUT))
            self.assertIsInstance(error, TunnelRefusedError)

        run(echo, scenario)

    def test_a_vm_that_stops_opens_no_tunnel_and_keeps_open_ones(self) -> None:
        async def scenario(network: Network) -> None:
            tunnel = await open_tunnel(network.vm, network.server, TIMEOUT)
            network.tunnels.stop()
            error = await _error_of(open_tunnel(network.vm, network.server, TIMEOUT))
            self.assertIsInstance(error, TunnelRefusedError)
            await tunnel.send_all(b"still")
            self.assertEqual(b"still", await receive_exactly(tunnel, 5))

        run(echo, scenario)

    def test_a_server_that_refuses_is_told_from_a_vm_without_a_path(self) -> None:
        async def scenario(network: Network) -> None:
            network.server = Address(network.server.host, 9)
            error = await _error_of(open_tunnel(network.vm, network.server, TIMEOUT))
            assert isinstance(error, TunnelRefusedError)
            self.assertTrue(error.server_refused)

        run(echo, scenario)

    def test_a_vm_that_does_not_run_refuses(self) -> None:
        async def scenario(network: Network) -> None:
            nowhere = Address(network.vm.host, 9)
            error = await _error_of(open_tunnel(nowhere, network.server, TIMEOUT))
            assert isinstance(error, TunnelRefusedError)
            self.assertFalse(error.server_refused)

        run(echo, scenario)


async def _error_of(call: Awaitable[bytes | TunnelStream]) -> OSError:
    try:
        await call
    except OSError as error:
        return error
    raise AssertionError("no error")
