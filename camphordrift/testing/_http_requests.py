"""A minimal HTTP/1.1 server for tests: it parses requests; a handler writes raw responses."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Optional

import h11
import trio


@dataclass(frozen=True)
class HttpRequest:
    """A complete HTTP request."""

    method: str
    target: str
    #: Values by lower-case header name; of a repeated header, the last value.
    headers: dict[str, str]
    body: bytes


#: Writes the raw response to the stream; returns whether to keep the connection open.
HttpRequestHandler = Callable[[HttpRequest, trio.SocketStream], Awaitable[bool]]


#: Serves one connection.
ConnectionScript = Callable[[trio.SocketStream], Awaitable[None]]


async def serve_requests(
    host: str,
    port: int,
    handler: HttpRequestHandler,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts connections and handles their requests until cancelled."""

    async def serve(stream: trio.SocketStream) -> None:
        await handle_requests(stream, handler)

    listeners = await trio.open_tcp_listeners(port, host=host)
    task_status.started()
    await trio.serve_listeners(serve, listeners)


async def handle_requests(stream: trio.SocketStream, handler: HttpRequestHandler) -> None:
    """Handles requests on a connection until the peer closes it or the handler returns False."""
    protocol = h11.Connection(h11.SERVER)
    try:
        while (request := await _next_request(protocol, stream)) is not None:
            if not await handler(request, stream):
                return
            protocol = h11.Connection(h11.SERVER)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


def respond_with(*responses: bytes) -> ConnectionScript:
    """Returns a script that sends one response after each request, and closes the connection."""

    async def serve(stream: trio.SocketStream) -> None:
        unsent = list(responses)

        async def respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(unsent.pop(0))
            return bool(unsent)

        await handle_requests(stream, respond)
        await stream.aclose()

    return serve


async def _next_request(
    protocol: h11.Connection, stream: trio.SocketStream
) -> Optional[HttpRequest]:
    request: Optional[h11.Request] = None
    body = b""
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some(65536)
            if not data and request is None:
                return None
            protocol.receive_data(data)
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            headers = {name.decode(): value.decode() for name, value in request.headers}
            return HttpRequest(request.method.decode(), request.target.decode(), headers, body)
        else:
            return None
