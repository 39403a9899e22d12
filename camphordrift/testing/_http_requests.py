"""Requests over HTTP/1.1 for scripted servers, which write their answers byte by byte."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Optional

import h11
import trio


@dataclass(frozen=True)
class HttpRequest:
    """A whole request."""

    method: str
    target: str
    #: Lower-case names and values.
    headers: dict[str, str]
    body: bytes


#: Writes the answer; returns whether the connection goes on.
HttpRequestHandler = Callable[[HttpRequest, trio.SocketStream], Awaitable[bool]]


async def serve_requests(
    host: str,
    port: int,
    script: HttpRequestHandler,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Has a script answer requests on all connections until cancelled."""

    async def serve(stream: trio.SocketStream) -> None:
        await handle_requests(stream, script)

    listeners = await trio.open_tcp_listeners(port, host=host)
    task_status.started()
    await trio.serve_listeners(serve, listeners)


async def handle_requests(stream: trio.SocketStream, script: HttpRequestHandler) -> None:
    """Has a script answer the requests on a connection, one after the other, until either ends."""
    protocol = h11.Connection(h11.SERVER)
    try:
        while (request := await _next_request(protocol, stream)) is not None:
            if not await script(request, stream):
                return
            protocol = h11.Connection(h11.SERVER)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def _next_request(
    protocol: h11.Connection, stream: trio.SocketStream
) -> Optional[HttpRequest]:
    head: Optional[h11.Request] = None
    body = b""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some(65536)
            if not data and head is None:
                return None
            protocol.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {name.decode(): value.decode() for name, value in head.headers}
            return HttpRequest(head.method.decode(), head.target.decode(), headers, body)
        else:
            return None
