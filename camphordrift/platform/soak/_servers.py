"""Backend servers of the soak: engines that send streams, and servers of a plain service."""

import contextlib
from enum import Enum

import trio

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._records import STREAM_EVENTS, Execution, stream_event
from camphordrift.testing import HttpRequest, serve_requests


class ServerMode(Enum):
    """How a server responds."""

    #: Responds correctly.
    WELL = "well"
    #: Accepts requests and never responds.
    HANG = "hang"
    #: Truncates streams in the middle of an event, and other responses in the body.
    CUT = "cut"
    #: Refuses requests with status 503, without running them.
    FULL = "full"
    #: Runs requests and responds with status 500.
    FAIL = "fail"


#: Seconds between events of a stream, and until a response that is not a stream.
EVENT_INTERVAL = 0.05


class SoakServer:
    """One backend server; records each request that it runs."""

    def __init__(
        self, number: int, host: str, port: int, streams: bool, observations: Observations
    ) -> None:
        self.id = f"{'engine' if streams else 'office'}-{number}"
        self.host = host
        self.port = port
        self.streams = streams
        self.mode = ServerMode.WELL
        #: Whether another server replaces this one.
        self.replaced = False
        self._observations = observations

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        await serve_requests(self.host, self.port, self._handle, task_status)

    async def _handle(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        if request.headers.get("camphordrift-expect-instance") != self.id:
            await stream.send_all(self._head(request, b"421 Misdirected Request", not_run=True))
            return True
        if self.mode is ServerMode.FULL:
            await stream.send_all(self._head(request, b"503 Service Unavailable", not_run=True))
            return True
        execution = Execution(
            request_id=request.headers.get("camphordrift-attempt-id", ""),
            server=self.id,
            account=request.headers.get("camphordrift-tenant", ""),
            key_forwarded="camphordrift-credential" in request.headers,
            started_at=trio.current_time(),
        )
        self._observations.executions.append(execution)
        reusable = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_close, stream, nursery.cancel_scope)
            try:
                reusable = await self._respond(request, stream, execution)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                reusable = False
            nursery.cancel_scope.cancel()
        execution.ended_at = trio.current_time()
        return reusable

    async def _respond(
        self, request: HttpRequest, stream: trio.SocketStream, execution: Execution
    ) -> bool:
        if self.mode is ServerMode.HANG:
            await trio.sleep_forever()
        if self.mode is ServerMode.FAIL:
            await stream.send_all(self._head(request, b"500 Internal Server Error"))
            return True
        if self.streams:
            return await self._respond_with_stream(request, stream, execution)
        await trio.sleep(EVENT_INTERVAL)
        body = f"{execution.request_id} by {self.id} at {execution.started_at}".encode()
        head = self._head(request, b"200 OK", len(body))
        if self.mode is ServerMode.CUT:
            await stream.send_all(head + body[:5])
            return False
        execution.response_body = body
        await stream.send_all(head + body)
        return True

    async def _respond_with_stream(
        self, request: HttpRequest, stream: trio.SocketStream, execution: Execution
    ) -> bool:
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"camphordrift-engine-signature: "
            + self.id.encode()
            + b"\r\ntransfer-encoding: chunked\r\n"
            b"camphordrift-attempt-id: " + execution.request_id.encode() + b"\r\n\r\n"
        )
        last_event_id = int(request.headers.get("last-event-id", "0"))
        for number in range(last_event_id + 1, STREAM_EVENTS + 1):
            await trio.sleep(EVENT_INTERVAL)
            event = stream_event(execution.request_id, number)
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
        signature = b"camphordrift-engine-signature: " + self.id.encode()
        outcome_header = b"camphordrift-not-executed: 1" if not_run else signature
        return b"HTTP/1.1 %b\r\ncamphordrift-attempt-id: %b\r\n%b\r\ncontent-length: %d\r\n\r\n" % (
            status,
            attempt,
            outcome_header,
            length,
        )


async def _cancel_on_close(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    """Cancels the scope when the peer closes the connection; relays do not pipeline requests."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.receive_some(1)
    scope.cancel()
