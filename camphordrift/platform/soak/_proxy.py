"""A loopback proxy that can delay, stall, refuse and reset its connections."""

import socket
import struct
from dataclasses import dataclass, field
from enum import Enum

import trio


class ProxyMode(Enum):
    """How a proxy treats data and connections."""

    PASS = "pass"
    DELAY = "delay"
    #: Forwards nothing. Connections stay open, and data is forwarded later unless a side resets.
    SILENCE = "silence"
    #: Forwards data only towards the target.
    ONE_WAY = "one_way"
    #: Resets open connections and each new one.
    RESET = "reset"


#: Seconds by which each chunk of data is delayed in mode ``DELAY``.
DELAY = 0.15

#: Seconds between checks of the mode while nothing is forwarded.
_POLL_INTERVAL = 0.02

#: Connections that fill the queue of a listener whose backlog is 0.
_QUEUED_CONNECTIONS = 4

#: Value of SO_LINGER with which closing a socket sends a reset.
_LINGER_ZERO = struct.pack("ii", 1, 0)


@dataclass
class Proxy:
    """Listens on one address and forwards connections to another."""

    host: str
    port: int
    target_host: str
    target_port: int
    mode: ProxyMode = ProxyMode.PASS
    #: Modes for the connections from single hosts, instead of ``mode``.
    host_modes: dict[str, ProxyMode] = field(default_factory=dict)
    #: Open streams of both sides, with the host that connected.
    _open_streams: dict[trio.SocketStream, str] = field(default_factory=dict)

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes the mode; ``RESET`` also resets the open connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for stream in list(self._open_streams):
                reset_connection(stream)

    def set_host_mode(self, host: str, mode: ProxyMode) -> None:
        """Changes the mode of the connections from one host; ``RESET`` resets the open ones."""
        self.host_modes[host] = mode
        if mode is ProxyMode.RESET:
            for stream, connected_host in list(self._open_streams.items()):
                if connected_host == host:
                    reset_connection(stream)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client: trio.SocketStream) -> None:
        if self.mode is ProxyMode.RESET:
            reset_connection(client)
            return
        try:
            # Fails if the client has closed the connection again.
            host = client.socket.getpeername()[0]
            target = await trio.open_tcp_stream(self.target_host, self.target_port)
        except OSError:
            reset_connection(client)
            return
        self._open_streams |= {client: host, target: host}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, target, host, True, nursery.cancel_scope)
                nursery.start_soon(self._pump, target, client, host, False, nursery.cancel_scope)
        finally:
            del self._open_streams[client], self._open_streams[target]
            reset_connection(client)
            reset_connection(target)

    async def _pump(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        host: str,
        towards_target: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(65536):
                await self._wait_until_passable(source, host, towards_target)
                await destination.send_all(data)
            # Forward an orderly close, so that the peer does not see a broken connection.
            await self._wait_until_passable(source, host, towards_target)
            await destination.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()

    async def _wait_until_passable(
        self, source: trio.SocketStream, host: str, towards_target: bool
    ) -> None:
        """Waits until data of ``source`` may be forwarded.

        Raises:
            trio.BrokenResourceError: The source reset the connection while its data was held back,
                which a network would then not deliver.

        """
        if self.mode is ProxyMode.DELAY:
            await trio.sleep(DELAY)
        while ProxyMode.SILENCE in (self.mode, self.host_modes.get(host)) or (
            self.mode is ProxyMode.ONE_WAY and not towards_target
        ):
            await trio.sleep(_POLL_INTERVAL)
            if _is_reset(source):
                raise trio.BrokenResourceError("the peer reset the connection")


def _is_reset(stream: trio.SocketStream) -> bool:
    """Returns whether a connection was closed here, or reset by the peer."""
    sock = stream.socket
    return sock.fileno() < 0 or sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def reset_connection(stream: trio.SocketStream) -> None:
    """Closes a connection with a reset."""
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        stream.socket.close()


class SilentAddress:
    """An address that answers no new connection, as its queue of connections is full."""

    def __init__(self, host: str) -> None:
        self._listener = socket.create_server((host, 0), backlog=0)
        self._queued = []
        for _ in range(_QUEUED_CONNECTIONS):
            queued = socket.socket()
            queued.setblocking(False)
            queued.connect_ex(self._listener.getsockname())
            self._queued.append(queued)

    def __str__(self) -> str:
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Closes the listener and the queued connections."""
        for item in (self._listener, *self._queued):
            item.close()
