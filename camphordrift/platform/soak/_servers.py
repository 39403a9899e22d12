"""Backend servers of the soak: engines that send streams, and servers of a plain service."""

import contextlib
import time
import zlib
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Optional

import msgspec
import trio

from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._prompts import (
    find_crashing_body,
    find_crashing_part,
    parse_parts,
)
from camphordrift.platform.soak._proxy import reset_connection
from camphordrift.platform.soak._records import STREAM_EVENTS, Arrival, Crash, Execution
from camphordrift.platform.soak._response_plans import Framing, ServerMode, plan_response
from camphordrift.platform.soak._responses import EVENT_INTERVAL, Response, format_head
from camphordrift.testing import HttpRequest, handle_requests

#: Requests per second that a server takes from all VMs together while it names a limit.
REQUEST_LIMIT = 1.5

#: Minimum number of seconds between two times in which a server sends nothing.
SILENCE_INTERVAL = 0.5


class SoakServer:
    """One backend server; records each request that it runs."""

    def __init__(
        self, number: int, host: str, port: int, streams: bool, observations: Observations
    ) -> None:
        self.name = f"{'engine' if streams else 'office'}-{number}"
        #: Id of the current process of the server; each start has its own.
        self.id = self.name
        #: Start of the current process in milliseconds since 1970.
        self.born = _unix_milliseconds()
        self.host = host
        self.port = port
        self.streams = streams
        #: Availability zone; each zone has servers of both services.
        self.zone = f"z{number // 2 % 2}"
        self.mode = ServerMode.WELL
        #: Whether another server replaces this one.
        self.replaced = False
        self._running: list[Execution] = []
        self._connections: set[trio.SocketStream] = set()
        self._process = trio.CancelScope()
        self._restarts = 0
        #: Whether the server says in its responses that it leaves.
        self.leaving = False
        self._pause_ends_at = float("-inf")
        self._limit: Optional[float] = None
        self._limited_since = float("inf")
        self._silent_until = float("-inf")
        self._cold_since = self._cold_until = float("-inf")
        self._observations = observations

    @property
    def cold_left(self) -> float:
        """Seconds for which the server is still cold."""
        return max(0.0, self._cold_until - trio.current_time())

    def become_cold(self, seconds: float) -> None:
        """Makes the server cold for some seconds, unless it is."""
        if not self.cold_left:
            self._cold_since = trio.current_time()
            self._cold_until = self._cold_since + seconds

    def fall_silent(self, seconds: float) -> None:
        """Delays everything that the server sends until ``seconds`` have passed.

        Does nothing if the server has just been silent, as a sound server is not silent for long.
        """
        now = trio.current_time()
        if now >= self._silent_until + SILENCE_INTERVAL:
            self._silent_until = now + seconds

    def turn_away(self, seconds: float) -> None:
        """Refuses all requests for some seconds, and says for how long."""
        self._pause_ends_at = max(self._pause_ends_at, trio.current_time() + seconds)

    async def limit_requests(self, seconds: float) -> None:
        """Names a limit of requests in all responses for some seconds, unless it does already."""
        if self._limit is not None:
            return
        self._limit, self._limited_since = REQUEST_LIMIT, trio.current_time()
        await trio.sleep(seconds)
        self._limit = None

    async def run(self, on_listening: Callable[[], None]) -> None:
        """Serves until the server crashes.

        Args:
            on_listening: Called when the server accepts connections.

        """
        with self._process:
            listeners = await trio.open_tcp_listeners(self.port, host=self.host)
            on_listening()
            await trio.serve_listeners(self._serve_connection, listeners)

    def prepare_restart(self) -> None:
        """Gives the server a new id, under which :meth:`run` starts it again."""
        self._restarts += 1
        self.id = f"{self.name}.{self._restarts}"
        self.born = _unix_milliseconds()
        self._process = trio.CancelScope()

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self._connections.add(stream)
        try:
            await handle_requests(stream, self._handle)
        finally:
            self._connections.remove(stream)

    async def _crash(self, cause: str) -> None:
        """Resets all connections and ends :meth:`run`."""
        self._observations.crashes.append(Crash(self.id, cause, trio.current_time()))
        for execution in self._running:
            execution.broken_off = True
        for stream in self._connections:
            reset_connection(stream)
        self._process.cancel()
        await trio.sleep_forever()

    async def _handle(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        if request.target == "/v1/report":
            await self._report(stream)
            return True
        if request.headers.get("camphordrift-expect-instance") != self.id:
            await self._refuse(request, stream, "421 Misdirected Request")
            return True
        now = trio.current_time()
        request_id = request.headers.get("camphordrift-attempt-id", "")
        arrival = Arrival(
            request_id,
            self.id,
            now,
            limit=self._limit,
            limited_since=self._limited_since,
            cold_since=self._cold_since if self.cold_left else None,
        )
        self._observations.arrivals.append(arrival)
        if now < self._pause_ends_at:
            arrival.pause_ends_at = self._pause_ends_at
            pause = f"{self._pause_ends_at - now:.2f}"
            await self._refuse(request, stream, "503 Service Unavailable", {"retry-after": pause})
            arrival.refused_at = trio.current_time()
            return True
        if self.mode is ServerMode.FULL:
            await self._refuse(request, stream, "503 Service Unavailable")
            return True
        return await self._execute(request, stream)

    async def _report(self, stream: trio.SocketStream) -> None:
        content = msgspec.json.encode({"Running": len(self._running), "Queued": 0})
        head = format_head(
            "200 OK",
            {
                "content-type": "application/json",
                "camphordrift-cold-ms": f"{self.cold_left * 1000:.0f}",
                **self._notices(),
            },
            Framing.LENGTH,
            len(content),
        )
        await self._send(stream, head + content)

    async def _refuse(
        self,
        request: HttpRequest,
        stream: trio.SocketStream,
        status: str,
        extra_headers: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        headers = {
            **_identity(request),
            **self._notices(),
            **extra_headers,
            "camphordrift-not-executed": "1",
        }
        await self._send(stream, format_head(status, headers, Framing.LENGTH))

    async def _execute(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        execution = Execution(
            request_id=request.headers.get("camphordrift-attempt-id", ""),
            server=self.id,
            account=request.headers.get("camphordrift-tenant", ""),
            key_forwarded="camphordrift-credential" in request.headers,
            started_at=trio.current_time(),
        )
        self._observations.executions.append(execution)
        self._running.append(execution)
        reusable = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_close, stream, nursery.cancel_scope)
                try:
                    reusable = await self._respond(request, stream, execution)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    reusable = False
                nursery.cancel_scope.cancel()
        finally:
            self._running.remove(execution)
            execution.ended_at = trio.current_time()
        return reusable

    async def _respond(
        self, request: HttpRequest, stream: trio.SocketStream, execution: Execution
    ) -> bool:
        if self.mode is ServerMode.HANG:
            await trio.sleep_forever()
        headers = {
            **_identity(request),
            **self._notices(),
            "camphordrift-engine-signature": self.id,
        }
        execution.leaving = self.leaving
        if self.mode is ServerMode.FAIL:
            await self._send(
                stream, format_head("500 Internal Server Error", headers, Framing.LENGTH)
            )
            return True
        await trio.sleep(EVENT_INTERVAL)
        plan = plan_response(self.mode, execution.request_id, self.id, self.streams)
        response = Response(execution, plan, stream, self._send)
        last_event_id = int(request.headers.get("last-event-id", "0"))
        crash_cause = self._find_crash_cause(request)
        if crash_cause is not None:
            # Half of the engines that crash have sent a part of the stream, of any length.
            draw = zlib.crc32(execution.request_id.encode())
            if self.streams and draw % 2:
                await response.send_beginning(headers, last_event_id, draw // 2 % STREAM_EVENTS)
            await self._crash(crash_cause)
        if self.streams:
            return await response.send_stream(headers, last_event_id)
        return await response.send_body(headers)

    def _find_crash_cause(self, request: HttpRequest) -> Optional[str]:
        parts = parse_parts(request.headers.get("camphordrift-prompt-prefix", ""))
        crashing_part = find_crashing_part(parts) if self.streams else None
        return crashing_part or find_crashing_body(request.body)

    def _notices(self) -> dict[str, str]:
        """Returns the headers in which the server announces what concerns further requests."""
        notices = {"server-leaving": "1"} if self.leaving else {}
        return notices if self._limit is None else {**notices, "server-limit": f"{self._limit:g}"}

    async def _send(self, stream: trio.SocketStream, data: bytes) -> None:
        while (remaining := self._silent_until - trio.current_time()) > 0:
            await trio.sleep(remaining)
        await stream.send_all(data)


def _identity(request: HttpRequest) -> dict[str, str]:
    """Returns the header by which a response names its request."""
    return {"camphordrift-attempt-id": request.headers.get("camphordrift-attempt-id", "")}


def _unix_milliseconds() -> int:
    return int(time.time() * 1000)


async def _cancel_on_close(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    """Cancels the scope when the peer closes the connection; relays do not pipeline requests."""
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.receive_some(1)
    scope.cancel()
