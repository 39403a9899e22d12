"""A single attempt to send a request to one backend server."""

from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Optional, TypeVar, Union

import h11
import trio

from camphordrift.relay.connections import (
    BodyBudget,
    BodyBudgetError,
    BrokenAnswerError,
    CallerRequest,
    ConnectionEndedError,
    ConnectionPool,
    EventSplitter,
    EventTooLongError,
    HeldBody,
    HttpConnection,
    NoPathError,
    PathBrokenError,
    StreamEvent,
    may_have_body,
)
from camphordrift.relay.model import (
    BackendServer,
    ForwardingMetadata,
    HeaderFormat,
    Headers,
    ResponseMetadata,
)

#: Maximum size in bytes of a response that is buffered until it is complete.
MAX_BUFFERED_RESPONSE_BYTES = 4 << 20

#: Seconds for which an idle connection is reused if the server states no keep-alive timeout.
DEFAULT_IDLE_TIMEOUT = 4.0

#: Seconds within which the rest of a rejection must arrive; its connection is closed otherwise.
DISCARD_TIMEOUT = 0.1

#: Minimum seconds without data after which a server counts as silent, whatever the route's targets.
MIN_SILENCE = 0.1

#: Request bodies up to this size in bytes fit into the socket's send buffer. Sending them cannot
#: block on a server that responds before it has read the body.
SOCKET_BUFFERED_BODY_BYTES = 8192

#: Maximum number of bytes of a stream that are split into events before other tasks get their turn.
MAX_PART_BYTES = 2048

#: Bytes of a response that is no stream after which its server does not count as silent. A stalled
#: server may still send a byte now and then.
MIN_PROGRESS_BYTES = 1024


@dataclass(frozen=True)
class NotSent:
    """No connection was established; nothing was sent."""

    reason: str
    #: Whether the server may be sound, as this VM may have lost its paths.
    has_no_path: bool = False


@dataclass(frozen=True)
class Withheld:
    """The relay did not send the request, although the server did not fail.

    Its deadline passed, its key is no longer valid, the server or a helper engine is draining,
    pauses, was removed or is in an evacuated zone, or a helper engine made no memory reservation.
    """

    reason: str


@dataclass(frozen=True)
class Rejected:
    """The server stated that it did not execute the request."""

    status: int
    server_at_fault: Optional[str]


@dataclass(frozen=True)
class Broken:
    """The request may have been executed, but there is no complete and valid response."""

    reason: str
    #: Whether the server ended the connection, as it does when it crashes. A server that sent
    #: something else than a valid response has not crashed.
    connection_closed: bool = False


@dataclass(frozen=True)
class Answered:
    """A complete response, buffered and not yet sent to the caller."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class Streamed:
    """The complete event stream was forwarded to the caller."""


AttemptResult = Union[NotSent, Withheld, Rejected, Broken, Answered, Streamed]


class StreamMismatchError(Exception):
    """A response cannot continue the stream that the caller already has a part of."""


class EventSink:
    """Receives the events of a streamed response."""

    async def start_response(self, status: int, headers: Headers) -> None:
        """Receives status and headers; called once, when the first event has arrived.

        Raises:
            StreamMismatchError: The response is of another kind than the stream.

        """
        raise NotImplementedError

    async def write_events(self, events: list[StreamEvent]) -> None:
        """Receives complete events in order.

        Raises:
            StreamMismatchError: The place of an event in the stream is unknown.

        """
        raise NotImplementedError

    async def receive(self, receive: Callable[[], Awaitable[Optional[bytes]]]) -> Optional[bytes]:
        """Returns what ``receive`` returns.

        A sink that holds events back may interrupt it to forward them, and return no bytes.
        """
        return await receive()

    async def end_response(self) -> None:
        """Called when the response is complete, possibly without any event."""
        raise NotImplementedError


@dataclass(frozen=True)
class SilenceTimeouts:
    """Seconds after which a server that sends nothing counts as silent.

    A silent server may have crashed, or continue later.
    """

    #: Time to the complete response, or to the first event of a stream.
    first_event: float
    #: Time between two events of a stream, or two parts of another response.
    between_events: float


_Received = TypeVar("_Received")


class _SilenceTimer:
    """Waits for data of a server, and reports each time that it has been silent for a timeout."""

    def __init__(self, timeout: float, on_silence: Callable[[], None]) -> None:
        self._on_silence = on_silence
        self.restart(timeout)

    def restart(self, timeout: float) -> None:
        """Starts to wait for the next data with the given timeout in seconds."""
        self._timeout = max(timeout, MIN_SILENCE)
        self._deadline = trio.current_time() + self._timeout

    async def receive(self, receive: Callable[[], Awaitable[_Received]]) -> _Received:
        """Returns what ``receive`` returns; calls it again after a silence."""
        while True:
            with trio.move_on_at(self._deadline):
                return await receive()
            self._on_silence()
            self.restart(self._timeout)


class Attempt:
    """Sends a request to a server and receives the response.

    Args:
        request: The caller's request.
        attempt_id: Id of the caller's attempt.
        server: The server.
        connections: Connections to backend servers.
        header_format: Format of the headers.
        on_response: Called with status and metadata when the head of a response has arrived.
        open_body: Opens the body of the response, which counts against the budget for responses
            until the request has ended, and gets what to call if it must give way. Without it
            the budget is unlimited.

    """

    def __init__(
        self,
        request: CallerRequest,
        attempt_id: str,
        server: BackendServer,
        connections: ConnectionPool,
        header_format: HeaderFormat,
        on_response: Callable[[int, ResponseMetadata], None],
        open_body: Optional[Callable[[Callable[[], None]], HeldBody]] = None,
    ) -> None:
        self._request = request
        self._attempt_id = attempt_id
        self._server = server
        self._connections = connections
        self._header_format = header_format
        self._on_response = on_response
        self._open_body = BodyBudget().open if open_body is None else open_body

    async def run(
        self,
        prepare_send: Callable[[], Optional[ForwardingMetadata]],
        timeouts: SilenceTimeouts,
        on_silence: Callable[[], None],
        force_new_connection: bool,
        sink: Optional[EventSink],
    ) -> AttemptResult:
        """Sends the request and returns the result of the attempt.

        Args:
            prepare_send: Called immediately before the first byte is sent; returns the metadata to
                forward, or ``None`` if the request must not be sent any more.
            timeouts: When the server counts as silent.
            on_silence: Called each time the server has been silent for its timeout. The attempt
                goes on until it is cancelled.
            force_new_connection: Whether to open a new connection instead of reusing one. The
                server may close a reused connection while the request is on its way, which leaves
                unknown whether the request was executed.
            sink: Receives the events of a stream; without one the response is buffered until it is
                complete.

        """
        server = self._server
        try:
            connection = await self._connections.acquire(
                server.host, server.port, force_new_connection
            )
        except OSError as error:
            return NotSent(str(error), isinstance(error, NoPathError))
        idle_timeout = 0.0
        try:
            metadata = prepare_send()
            if metadata is None:
                return Withheld(
                    "the deadline passed, the key is not valid any more, or the server is draining "
                    "or pauses or is in an evacuated zone"
                )
            timer = _SilenceTimer(timeouts.first_event, on_silence)
            result, idle_timeout = await self._exchange(
                connection, metadata, timer, timeouts.between_events, sink
            )
            return result
        except (BrokenAnswerError, OSError) as error:
            return _broken(error)
        finally:
            self._connections.release(server.host, server.port, connection, idle_timeout)

    async def _exchange(
        self,
        connection: HttpConnection,
        metadata: ForwardingMetadata,
        timer: _SilenceTimer,
        event_timeout: float,
        sink: Optional[EventSink],
    ) -> tuple[AttemptResult, float]:
        headers = self._header_format.outgoing_headers(self._request.headers, metadata)
        request = self._request
        parts = connection.encode(request.method, request.target, headers, request.body)
        if len(request.body) <= SOCKET_BUFFERED_BODY_BYTES:
            await connection.send(parts)
            return await self._receive(connection, timer, event_timeout, sink)
        # Sends and receives concurrently: the server may respond before it has read the body, and
        # may never read it.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_ignoring_errors, connection, parts)
            try:
                result = await self._receive(connection, timer, event_timeout, sink)
            except (BrokenAnswerError, OSError) as error:
                # Caught here because exceptions leave a nursery only inside an exception group.
                result = _broken(error), 0.0
            nursery.cancel_scope.cancel()
        return result

    async def _send_ignoring_errors(
        self, connection: HttpConnection, parts: Sequence[bytes]
    ) -> None:
        try:
            await connection.send(parts)
        except OSError:
            # The receiving side reports the broken connection, or returns an early response.
            return

    async def _receive(
        self,
        connection: HttpConnection,
        timer: _SilenceTimer,
        event_timeout: float,
        sink: Optional[EventSink],
    ) -> tuple[AttemptResult, float]:
        held = self._open_body(connection.close)
        result: Optional[AttemptResult] = None
        try:
            result, idle_timeout = await self._receive_held(
                connection, timer, event_timeout, sink, held
            )
            return result, idle_timeout
        except (BodyBudgetError, BrokenAnswerError, OSError):
            if not held.gave_way:
                raise
            return Broken("the memory for responses is used up"), 0.0
        finally:
            if not isinstance(result, Answered):
                held.release()

    async def _receive_held(
        self,
        connection: HttpConnection,
        timer: _SilenceTimer,
        event_timeout: float,
        sink: Optional[EventSink],
        held: HeldBody,
    ) -> tuple[AttemptResult, float]:
        head = await timer.receive(lambda: connection.receive_head(held.resize))
        held.resize(0)
        metadata = self._header_format.response_metadata(list(head.headers))
        self._on_response(head.status_code, metadata)
        idle_timeout = (
            DEFAULT_IDLE_TIMEOUT if metadata.idle_timeout is None else metadata.idle_timeout
        )
        if metadata.attempt_id not in (None, self._attempt_id):
            return Broken("the response belongs to another request"), 0.0
        if metadata.attempt_id is None and connection.is_reused:
            # Also if it is a rejection: the server may run the request all the same.
            return Broken("the response may be a late copy of one to another request"), 0.0
        if metadata.not_run or head.status_code == 421:
            await self._discard_body(connection)
            return Rejected(head.status_code, metadata.server_at_fault), idle_timeout
        success = 200 <= head.status_code < 300
        if success and not metadata.signed:
            return Broken("the response has no signature"), 0.0
        if success and metadata.attempt_id is None:
            return Broken("the response has no attempt id"), 0.0
        result: AttemptResult
        if success and sink is not None:
            result = await self._forward_events(connection, head, timer, event_timeout, sink, held)
        else:
            result = await self._receive_complete_response(
                connection, head, timer, event_timeout, held
            )
        return result, idle_timeout

    async def _discard_body(self, connection: HttpConnection) -> None:
        """Reads and drops the rest of a response, so that the connection can be reused."""
        with trio.move_on_after(DISCARD_TIMEOUT):
            while await connection.receive_data() is not None:
                pass

    async def _receive_complete_response(
        self,
        connection: HttpConnection,
        head: h11.Response,
        timer: _SilenceTimer,
        event_timeout: float,
        held: HeldBody,
    ) -> AttemptResult:
        progress = 0
        while (chunk := await timer.receive(connection.receive_data)) is not None:
            held.append(chunk)
            del chunk
            if held.size >= progress + MIN_PROGRESS_BYTES:
                progress = held.size
                timer.restart(event_timeout)
            if held.size > MAX_BUFFERED_RESPONSE_BYTES:
                return Broken("the response is too large to buffer")
        headers = _end_to_end_headers(head.headers)
        method, status = self._request.method, head.status_code
        if status != HTTPStatus.NO_CONTENT and not may_have_body(method, status):
            # The length is that of the body which the response to another request would have. One
            # of status 204 must not state it (RFC 9110, section 8.6).
            headers += [item for item in head.headers if item[0] == b"content-length"]
        return Answered(head.status_code, headers, held.complete())

    async def _forward_events(
        self,
        connection: HttpConnection,
        head: h11.Response,
        timer: _SilenceTimer,
        event_timeout: float,
        sink: EventSink,
        held: HeldBody,
    ) -> AttemptResult:
        splitter = EventSplitter()
        try:
            started = await self._forward_complete_events(
                connection, head, timer, event_timeout, sink, splitter, held
            )
            if splitter.has_partial_event:
                return Broken("stream ended mid-event", connection_closed=not _is_framed(head))
            if not started:
                if not _is_framed(head):
                    return Broken("the stream ended before its first event", connection_closed=True)
                await sink.start_response(head.status_code, _end_to_end_headers(head.headers))
        except (EventTooLongError, StreamMismatchError) as error:
            return Broken(str(error))
        await sink.end_response()
        return Streamed()

    async def _forward_complete_events(
        self,
        connection: HttpConnection,
        head: h11.Response,
        timer: _SilenceTimer,
        event_timeout: float,
        sink: EventSink,
        splitter: EventSplitter,
        held: HeldBody,
    ) -> bool:
        """Forwards events until the end of the response; returns whether there was one."""
        started = False

        async def receive() -> Optional[bytes]:
            return await timer.receive(connection.receive_data)

        while (chunk := await sink.receive(receive)) is not None:
            if not chunk:
                # The time that it took to write to the caller is not the server's.
                timer.restart(event_timeout)
            for part in _parts(chunk):
                events = splitter.feed(part)
                held.resize(splitter.partial_size)
                if not events:
                    continue
                if not started:
                    started = True
                    await sink.start_response(head.status_code, _end_to_end_headers(head.headers))
                await sink.write_events(events)
                timer.restart(event_timeout)
        return started


def _parts(chunk: bytes) -> Iterator[bytes]:
    """Cuts a chunk into parts, as it may consist of very many and very short events."""
    for start in range(0, len(chunk), MAX_PART_BYTES):
        yield chunk[start : start + MAX_PART_BYTES]


def _broken(error: Exception) -> Broken:
    match error:
        case ConnectionEndedError():
            connection_closed = True
        case BrokenAnswerError() | PathBrokenError():
            connection_closed = False
        case _:
            connection_closed = True
    return Broken(str(error), connection_closed)


def _is_framed(head: h11.Response) -> bool:
    """Returns whether the headers show where the body ends; otherwise the connection's end does."""
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in head.headers)


#: Response headers that apply to a single connection, and the length, which is set anew when the
#: response is sent to the caller.
_HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"trailer", b"upgrade")
)


def _end_to_end_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in headers if name not in _HOP_BY_HOP_HEADERS]
