"""Backend servers of the soak: engines that write streams, and plain ones."""

import contextlib
from enum import Enum

import trio

from camphordrift.platform.soak._observations import STREAM_EVENTS, Ledger, Run, stream_event
from camphordrift.testing import HttpRequest, serve_requests


class ServerMode(Enum):
    """How a server answers."""

    WELL = "well"
    #: Takes requests and says nothing.
    HANG = "hang"
    #: Breaks streams off in the middle of an event, and plain answers in the body.
    CUT = "cut"
    #: Says that it has no room.
    FULL = "full"
    #: Fails the requests that it ran.
    FAIL = "fail"


#: Seconds between events of a stream, and for a plain answer.
PAUSE = 0.05


class SoakServer:
    """One backend server."""

    def __init__(self, server_id: str, host: str, port: int, streams: bool, ledger: Ledger) -> None:
        self.id = server_id
        self.host = host
        self.port = port
        self.streams = streams
        self.mode = ServerMode.WELL
        #: Whether the server has been told to leave.
        self.leaving = False
        self._ledger = ledger

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        await serve_requests(self.host, self.port, self._answer, task_status)

    async def _answer(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        if request.headers.get("camphordrift-expect-instance") != self.id:
            await stream.send_all(self._head(request, b"421 Misdirected Request", not_run=True))
            return True
        if self.mode is ServerMode.FULL:
            await stream.send_all(self._head(request, b"503 Service Unavailable", not_run=True))
            return True
        run = Run(
            attempt=request.headers.get("camphordrift-attempt-id", ""),
            server=self.id,
            account=request.headers.get("camphordrift-tenant", ""),
            key_passed="camphordrift-credential" in request.headers,
            started=trio.current_time(),
        )
        self._ledger.runs.append(run)
        goes_on = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_until_closed, stream, nursery.cancel_scope)
            try:
                goes_on = await self._write(request, stream, run)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                goes_on = False
            nursery.cancel_scope.cancel()
        run.ended = trio.current_time()
        return goes_on

    async def _write(self, request: HttpRequest, stream: trio.SocketStream, run: Run) -> bool:
        if self.mode is ServerMode.HANG:
            await trio.sleep_forever()
        if self.mode is ServerMode.FAIL:
            await stream.send_all(self._head(request, b"500 Internal Server Error"))
            return True
        if self.streams:
            return await self._write_stream(request, stream, run)
        await trio.sleep(PAUSE)
        answer = f"{run.attempt} by {self.id} at {run.started}".encode()
        head = self._head(request, b"200 OK", len(answer))
        if self.mode is ServerMode.CUT:
            await stream.send_all(head + answer[:5])
            return False
        run.answer = answer
        await stream.send_all(head + answer)
        return True

    async def _write_stream(
        self, request: HttpRequest, stream: trio.SocketStream, run: Run
    ) -> bool:
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"camphordrift-engine-signature: soak\r\ntransfer-encoding: chunked\r\n"
            b"camphordrift-attempt-id: " + run.attempt.encode() + b"\r\n\r\n"
        )
        last = int(request.headers.get("last-event-id", "0"))
        for number in range(last + 1, STREAM_EVENTS + 1):
            await trio.sleep(PAUSE)
            event = stream_event(run.attempt, number)
            if self.mode is ServerMode.CUT and number == STREAM_EVENTS // 2:
                event = event[:-4]
                await stream.send_all(b"%x\r\n%b\r\n" % (len(event), event))
                return False
            await stream.send_all(b"%x\r\n%b\r\n" % (len(event), event))
        await stream.send_all(b"0\r\n\r\n")
        return True

    def _head(
        self, request: HttpRequest, status: bytes, length: int = 0, not_run: bool = False
    ) -> bytes:
        attempt = request.headers.get("camphordrift-attempt-id", "").encode()
        mark = (
            b"camphordrift-not-executed: 1" if not_run else b"camphordrift-engine-signature: soak"
        )
        return b"HTTP/1.1 %b\r\ncamphordrift-attempt-id: %b\r\n%b\r\ncontent-length: %d\r\n\r\n" % (
            status,
            attempt,
            mark,
            length,
        )


async def _until_closed(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    """Ends the work when the other side closes; a relay sends nothing ahead."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.receive_some(1)
    scope.cancel()
