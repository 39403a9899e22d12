"""A loopback proxy that delays, resets, silences and cuts the connections that cross it."""

import socket
import struct
from dataclasses import dataclass, field
from enum import Enum

import trio


class ProxyMode(Enum):
    """What happens to bytes that cross a proxy."""

    PASS = "pass"
    DELAY = "delay"
    #: Nothing crosses; connections stay open, and the bytes cross later unless a side resets.
    SILENCE = "silence"
    #: Only bytes towards the target cross.
    ONE_WAY = "one_way"
    #: Connections are reset, and new ones refused.
    RESET = "reset"


#: Seconds by which bytes are held back.
DELAY = 0.15

#: Seconds between looks at the mode while nothing crosses.
_LOOK_INTERVAL = 0.02

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class Proxy:
    """Listens on one address and passes bytes to another."""

    host: str
    port: int
    target_host: str
    target_port: int
    mode: ProxyMode = ProxyMode.PASS
    _open: set[trio.SocketStream] = field(default_factory=set)

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes what happens to bytes; a reset ends the open connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for stream in list(self._open):
                _reset(stream)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        if self.mode is ProxyMode.RESET:
            _reset(near)
            return
        try:
            far = await trio.open_tcp_stream(self.target_host, self.target_port)
        except OSError:
            _reset(near)
            return
        self._open |= {near, far}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, True, nursery.cancel_scope)
                nursery.start_soon(self._pump, far, near, False, nursery.cancel_scope)
        finally:
            self._open -= {near, far}
            _reset(near)
            _reset(far)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        inwards: bool,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(65536):
                await self._hold(inwards)
                await sink.send_all(data)
            # A quiet end passes on as one, so that it is not taken for a broken connection.
            await self._hold(inwards)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()

    async def _hold(self, inwards: bool) -> None:
        if self.mode is ProxyMode.DELAY:
            await trio.sleep(DELAY)
        while self.mode is ProxyMode.SILENCE or (self.mode is ProxyMode.ONE_WAY and not inwards):
            await trio.sleep(_LOOK_INTERVAL)


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.socket.close()
