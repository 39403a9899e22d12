"""A server that responds to a request early and resets the connection, for tests."""

import socket
from dataclasses import dataclass

import trio

from camphordrift.relay.connections import abort

#: Body of a request that does not fit into the buffers of a connection.
UNBUFFERED_BODY = b"q" * 2_000_000

#: Receive buffer in bytes of the server's connections.
_RECEIVE_BUFFER = 4096

#: Seconds between a response and the reset, in which the client gets the response.
_RESET_DELAY = 0.05


@dataclass(frozen=True)
class EarlyReset:
    """Responds as soon as a request begins, reads no further, and resets the connection."""

    #: The bytes of the response that are sent.
    response: bytes
    #: Whether the server ends its side of the connection regularly before the reset.
    ends_first: bool = False

    async def __call__(self, stream: trio.SocketStream) -> None:
        """Serves one connection."""
        await self.serve(stream)

    async def serve(self, stream: trio.SocketStream) -> bool:
        """Serves one connection; returns whether there was a request."""
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
        try:
            if not await stream.receive_some(1):
                return False
        except trio.BrokenResourceError:
            return False
        await stream.send_all(self.response)
        if self.ends_first:
            await stream.send_eof()
        await trio.sleep(_RESET_DELAY)
        abort(stream)
        return True
