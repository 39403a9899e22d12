"""Runs clients of servers that send broken responses, for tests."""

from collections.abc import Awaitable, Callable

import trio
from returns import result

from camphordrift.backend_http import HttpCall, HttpConnections, HttpResponse
from camphordrift.testing import ConnectionScript, process_loopback_network

TIMEOUT = 5.0

Client = Callable[[HttpConnections, str], Awaitable[None]]


def run_client(script: ConnectionScript, client: Client) -> None:
    """Runs a client of a server."""

    async def main() -> None:
        host = f"{process_loopback_network()}.72"
        (listener,) = await trio.open_tcp_listeners(0, host=host)
        port = listener.socket.getsockname()[1]
        with trio.fail_after(2 * TIMEOUT):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, script, [listener])
                connections = HttpConnections()
                await client(connections, f"http://{host}:{port}")
                await connections.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


async def fetch(connections: HttpConnections, call: HttpCall) -> HttpResponse:
    return await connections.fetch(call, TIMEOUT)


async def fetch_gated(connections: HttpConnections, call: HttpCall) -> HttpResponse:
    return await connections.fetch_gated(call, TIMEOUT, lambda: result.Success(None))


async def read_stream(connections: HttpConnections, call: HttpCall) -> HttpResponse:
    async with connections.stream(call, TIMEOUT) as stream:
        body = b"".join([part async for part in stream.parts])
        return HttpResponse(stream.status, stream.headers, body)


#: Sends a call in one of the ways of :class:`HttpConnections`.
Send = Callable[[HttpConnections, HttpCall], Awaitable[HttpResponse]]

WAYS_TO_SEND: tuple[Send, ...] = (fetch, fetch_gated, read_stream)
