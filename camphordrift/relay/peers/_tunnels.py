"""Connections to servers through another VM, for VMs that lost their own paths to them.

The VM in between connects to the server and forwards bytes in both directions. The request, its
response and all decisions remain those of the VM that opened the tunnel.
"""

from collections.abc import Awaitable, Callable
from typing import Optional

import trio

from camphordrift.event_log import log_event
from camphordrift.relay.connections import (
    READ_SIZE,
    ByteStream,
    PathBrokenError,
    abort,
    connect,
    enable_dead_peer_detection,
)
from camphordrift.relay.model import Address
from camphordrift.relay.peers._message_link import LinkBrokenError, MessageLink
from camphordrift.relay.peers._peer_messages import (
    ConnectionEnd,
    OpenTunnel,
    TunnelData,
    TunnelEnded,
    TunnelOpened,
    TunnelRefused,
)

#: Maximum number of tunnels of other VMs at the same time; each takes two file descriptors.
MAX_TUNNELS = 600

#: Maximum number of seconds until the other VM closes a tunnel whose server closed the connection.
END_TIMEOUT = 1.0


class TunnelRefusedError(OSError):
    """The other VM has no connection to the server either, or does not answer.

    Args:
        reason: Why there is no tunnel.
        server_refused: Whether the other VM reached the server's host, which refused to connect.

    """

    def __init__(self, reason: str, server_refused: bool = False) -> None:
        super().__init__(reason)
        self.server_refused = server_refused


class TunnelStream(ByteStream):
    """A connection to a server through another VM."""

    def __init__(self, stream: trio.SocketStream, link: MessageLink) -> None:
        self._stream = stream
        self._link = link
        self._end: Optional[ConnectionEnd] = None

    async def send_all(self, data: bytes) -> None:
        """Sends data; raises :class:`PathBrokenError` if the other VM is gone."""
        try:
            for start in range(0, len(data), READ_SIZE):
                self._link.send(TunnelData(data[start : start + READ_SIZE]))
                await self._link.write_once()
        except LinkBrokenError as error:
            raise PathBrokenError(f"the VM between here and the server is gone: {error}") from error

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Returns the next data; nothing if the server closed the connection.

        Raises:
            trio.BrokenResourceError: The server reset the connection.
            PathBrokenError: The other VM is gone, or lost the connection to the server.

        """
        while self._end is None:
            # Many short messages may have been read at once.
            await trio.lowlevel.checkpoint()
            try:
                message = await self._link.receive()
            except LinkBrokenError as error:
                reason = f"the VM between here and the server is gone: {error}"
                raise PathBrokenError(reason) from error
            match message:
                case TunnelData(content) if content:
                    return content
                case TunnelEnded(end):
                    self._end = end
        match self._end:
            case ConnectionEnd.CLOSED:
                return b""
            case ConnectionEnd.RESET:
                raise trio.BrokenResourceError("the server reset the connection")
            case ConnectionEnd.LOST:
                raise PathBrokenError("the other VM lost its connection to the server")

    def is_readable(self) -> bool:
        """Returns whether data or the end of the stream has arrived."""
        return self._end is not None or self._link.has_unread or self._stream.socket.is_readable()

    def abort(self) -> None:
        """Closes the tunnel, so that the other VM closes its connection with a reset."""
        abort(self._stream)


async def open_tunnel(vm: Address, server: Address, timeout: float) -> TunnelStream:
    """Opens a connection to a server through the VM at the given address.

    Raises:
        TunnelRefusedError: There is no such connection within ``timeout`` seconds.

    """
    try:
        with trio.fail_after(timeout):
            stream = await connect(vm.host, vm.port, timeout)
            try:
                return await _request_tunnel(stream, server, timeout)
            except BaseException:
                abort(stream)
                raise
    except trio.TooSlowError as error:
        raise TunnelRefusedError("no response of the other VM in time") from error
    except TunnelRefusedError:
        raise
    except OSError as error:
        raise TunnelRefusedError(str(error)) from error


async def _request_tunnel(
    stream: trio.SocketStream, server: Address, timeout: float
) -> TunnelStream:
    link = MessageLink(stream, timeout)
    link.send(OpenTunnel(server, timeout))
    try:
        await link.write_once()
        # The VM introduces itself first, as to a follower.
        while not isinstance(message := await link.receive(), (TunnelOpened, TunnelRefused)):
            pass
    except LinkBrokenError as error:
        raise TunnelRefusedError(str(error)) from error
    if isinstance(message, TunnelRefused):
        raise TunnelRefusedError(message.reason, message.server_refused)
    return TunnelStream(stream, link)


class TunnelServer:
    """Opens connections to servers for other VMs.

    Args:
        may_connect: Returns whether an address is that of a listed server whose zone is not
            evacuated.
        connect_directly: Connects to a server over this VM's own path.

    """

    def __init__(
        self,
        may_connect: Callable[[Address], bool],
        connect_directly: Callable[[Address, float], Awaitable[ByteStream]],
    ) -> None:
        self._may_connect = may_connect
        self._connect_directly = connect_directly
        #: Number of tunnels that are open.
        self.count = 0
        self._is_stopping = False

    def stop(self) -> None:
        """Refuses new tunnels, because this VM is about to stop."""
        self._is_stopping = True

    async def serve(
        self, stream: trio.SocketStream, link: MessageLink, request: OpenTunnel
    ) -> None:
        """Serves a tunnel until one side closes it.

        Raises:
            LinkBrokenError: The VM that requested the tunnel closed it.

        """
        enable_dead_peer_detection(stream)
        if self._is_stopping or self.count >= MAX_TUNNELS or not self._may_connect(request.server):
            await _refuse(
                link, "the VM stops, has too many tunnels, or lists no usable server there"
            )
            return
        self.count += 1
        try:
            await self._connect_and_forward(link, request)
        finally:
            self.count -= 1

    async def _connect_and_forward(self, link: MessageLink, request: OpenTunnel) -> None:
        try:
            server = await self._connect_directly(request.server, request.timeout)
        except OSError as error:
            await _refuse(link, str(error), isinstance(error, ConnectionRefusedError))
            return
        await _forward(link, server)


async def _forward(link: MessageLink, server: ByteStream) -> None:
    try:
        link.send(TunnelOpened())
        await link.write_once()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_forward_to_server, link, server)
            await _forward_to_vm(server, link)
            # Closing with unread data would reset the tunnel, and the end might not arrive.
            await trio.sleep(END_TIMEOUT)
            nursery.cancel_scope.cancel()
    finally:
        server.abort()


async def _refuse(link: MessageLink, reason: str, server_refused: bool = False) -> None:
    log_event("tunnel_refused", reason=reason)
    link.send(TunnelRefused(reason, server_refused))
    await link.write_once()


async def _forward_to_server(link: MessageLink, server: ByteStream) -> None:
    while True:
        message = await link.receive()
        if isinstance(message, TunnelData):
            try:
                await server.send_all(message.content)
            except (trio.BrokenResourceError, trio.ClosedResourceError, PathBrokenError):
                # The other direction reports the end, after what the server sent before it.
                continue


async def _forward_to_vm(server: ByteStream, link: MessageLink) -> None:
    end: Optional[ConnectionEnd] = None
    while end is None:
        try:
            data = await server.receive_some(READ_SIZE)
            end = None if data else ConnectionEnd.CLOSED
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            end = ConnectionEnd.RESET
        except PathBrokenError:
            end = ConnectionEnd.LOST
        link.send(TunnelData(data) if end is None else TunnelEnded(end))
        await link.write_once()
