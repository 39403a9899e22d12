"""Formats and sends responses of backend servers."""

from collections.abc import Awaitable, Callable

import trio

from camphordrift.platform.soak._proxy import reset_connection
from camphordrift.platform.soak._records import STREAM_EVENTS, Execution, stream_event
from camphordrift.platform.soak._response_plans import Framing, ResponsePlan

#: Seconds between events of a stream, and until the start of a response.
EVENT_INTERVAL = 0.05


def format_head(status: str, headers: dict[str, str], framing: Framing, length: int = 0) -> bytes:
    """Returns status line and headers.

    Args:
        status: Status code and reason.
        headers: Values by header name.
        framing: How the end of the body is shown.
        length: Length of the body in bytes.

    """
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers.items())]
    if framing is Framing.LENGTH:
        lines.append(f"content-length: {length}")
    elif framing is Framing.CHUNKS:
        lines.append("transfer-encoding: chunked")
    return "\r\n".join([*lines, "", ""]).encode()


def format_part(content: bytes, framing: Framing) -> bytes:
    """Returns a part of a body; an empty part ends the body."""
    if framing is Framing.CHUNKS:
        return b"%x\r\n%b\r\n" % (len(content), content)
    return content


class Response:
    """Sends a successful response as planned, and records how it ends.

    Args:
        execution: The execution of the request.
        plan: How the response is sent.
        stream: Connection to the caller of the server.
        send: Sends data on a connection.

    """

    def __init__(
        self,
        execution: Execution,
        plan: ResponsePlan,
        stream: trio.SocketStream,
        send: Callable[[trio.SocketStream, bytes], Awaitable[None]],
    ) -> None:
        self._execution = execution
        self._plan = plan
        self._stream = stream
        self._send_data = send

    async def send_body(self, headers: dict[str, str]) -> bool:
        """Sends a response that is not a stream; returns whether the connection stays open."""
        execution, plan = self._execution, self._plan
        body = f"{execution.request_id} by {execution.server} at {execution.started_at}".encode()
        head = format_head("200 OK", headers, plan.framing, len(body))
        if plan.broken_event is not None:
            await self._break_off(head + body[:5])
            return False
        execution.response_body = body
        await self._send(head + body)
        return plan.framing is not Framing.CONNECTION

    async def send_stream(self, headers: dict[str, str], last_event_id: int) -> bool:
        """Sends the events after ``last_event_id``; returns whether the connection stays open."""
        plan = self._plan
        stream_headers = {**headers, "content-type": "text/event-stream"}
        await self._send(format_head("200 OK", stream_headers, plan.framing))
        for number in range(last_event_id + 1, STREAM_EVENTS + 1):
            event = stream_event(self._execution.request_id, number)
            if number == plan.broken_event:
                await self._break_off(b"" if plan.resets else format_part(event[:-4], plan.framing))
                return False
            await self._send(format_part(event, plan.framing))
            await trio.sleep(EVENT_INTERVAL)
        await self._send(format_part(b"", plan.framing))
        return plan.framing is not Framing.CONNECTION

    async def send_beginning(
        self, headers: dict[str, str], last_event_id: int, event_count: int
    ) -> None:
        """Sends ``event_count`` events at most after ``last_event_id``, and a part of the next."""
        stream_headers = {**headers, "content-type": "text/event-stream"}
        await self._send(format_head("200 OK", stream_headers, self._plan.framing))
        first = last_event_id + 1
        partial = min(first + event_count, STREAM_EVENTS)
        for number in range(first, partial):
            event = stream_event(self._execution.request_id, number)
            await self._send(format_part(event, self._plan.framing))
            await trio.sleep(EVENT_INTERVAL)
        event = stream_event(self._execution.request_id, partial)
        await self._send(format_part(event[:-4], self._plan.framing))

    async def _break_off(self, part: bytes) -> None:
        self._execution.broken_off = True
        await self._send(part)
        if self._plan.resets:
            reset_connection(self._stream)

    async def _send(self, data: bytes) -> None:
        await self._send_data(self._stream, data)
