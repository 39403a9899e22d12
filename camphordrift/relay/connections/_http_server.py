"""HTTP/1.1 connections from callers.

Implemented with h11 on trio streams instead of hypercorn, which lacks three features for single
connections: closing with a reset after an incomplete response, detecting that the caller
disconnected while its request waits, and limits that change with the configuration.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Optional, Union

import h11
import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections._body_budget import BodyBudget, BodyBudgetError, HeldBody
from camphordrift.relay.connections._byte_stream import abort, enable_dead_peer_detection
from camphordrift.relay.connections._connection_limit import ConnectionLimit
from camphordrift.relay.connections._parsing_pace import ParsingPace, TurnSchedule
from camphordrift.relay.model import CallerLimits, Headers

#: Maximum number of bytes that are read from a caller while a previous request is in progress.
MAX_READ_AHEAD_BYTES = 65536

#: Maximum size of a request line and headers in bytes, whatever the configuration permits.
MAX_HEAD_BYTES = 1 << 20

#: Maximum size in bytes of a complete response that is sent in one write with its head.
MAX_JOINED_RESPONSE_BYTES = 16384

#: Maximum number of fields of a request's head, and approximate number of bytes of memory that a
#: field takes besides its name and value.
MAX_HEADER_FIELDS, HEADER_FIELD_OVERHEAD = 256, 256

#: Statuses of responses that never have a body.
NO_CONTENT, NOT_MODIFIED = 204, 304

#: Seconds within which a caller must accept the data of one write.
WRITE_TIMEOUT = 20.0

#: Seconds for which the rest of a rejected request is read. Closing with unread data would reset
#: the connection, and the caller might not receive the error response.
REFUSAL_LINGER_TIMEOUT = 0.5

#: Maximum number of bytes that are read at once from a caller. As much may be held for each
#: connection beside what counts as a body.
CALLER_READ_SIZE = 16384


@dataclass(frozen=True)
class CallerRequest:
    """A request from a caller, received completely."""

    method: bytes
    target: bytes
    #: Pairs of lower-case name and value.
    headers: Headers
    body: bytes
    #: Time at which its last byte was read, by trio's clock.
    received_at: float

    @property
    def is_chunked(self) -> bool:
        """Whether the caller sent the body in chunks."""
        return self.header(b"transfer-encoding") is not None

    def header(self, name: bytes) -> Optional[bytes]:
        """Returns the value of a header; the last one if it occurs more than once."""
        return dict(self.headers).get(name)


class CallerGoneError(Exception):
    """The caller disconnected, or does not read its responses."""


class ResponseWriter:
    """Writes the response to one request.

    The body is left out of responses that must not have one, see :func:`may_have_body`.

    Args:
        connection: The connection to the caller.
        method: Method of the request.

    """

    def __init__(self, connection: "CallerConnection", method: bytes) -> None:
        self._connection = connection
        self._method = method
        self._started = False
        self._completed = False
        self._buffered = b""
        self._held: list[HeldBody] = []
        #: HTTP status of the response; 0 before it is known.
        self.status = 0

    @property
    def started(self) -> bool:
        """Whether the response has been started; its status cannot change any more."""
        return self._started

    @property
    def completed(self) -> bool:
        """Whether the complete response has been written."""
        return self._completed

    @property
    def is_cut(self) -> bool:
        """Whether a write ended early, so that nothing can be written any more."""
        return self._connection.is_cut

    def hold(self, body: HeldBody) -> HeldBody:
        """Makes the body of a server's response count until the request has ended."""
        self._held.append(body)
        return body

    def release(self) -> None:
        """Releases the bodies of servers' responses, as the request has ended."""
        for body in self._held:
            body.release()

    async def start(self, status: int, headers: Headers) -> None:
        """Sets status and headers; they are sent together with the first part of the body."""
        # As long as nothing was sent, a request that is cancelled can be answered otherwise.
        await trio.lowlevel.checkpoint_if_cancelled()
        self._started = True
        self.status = status
        self._buffered = self._connection.encode_head(status, headers)

    async def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        if may_have_body(self._method, self.status):
            self._buffered += self._connection.encode_data(data)
        encoded, self._buffered = self._buffered, b""
        await self._connection.write(encoded)

    async def end(self) -> None:
        """Completes the response."""
        encoded, self._buffered = self._buffered + self._connection.encode_end(), b""
        await self._connection.write(encoded)
        self._completed = True

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a complete response.

        The length of the body is added unless the headers state it, as in the response of a server
        to a HEAD request, or the response has no body and its length is not known.
        """
        states_length = any(name == b"content-length" for name, _ in headers)
        has_known_length = status != NO_CONTENT and (body or may_have_body(self._method, status))
        if has_known_length and not states_length:
            headers = [*headers, (b"content-length", b"%d" % len(body))]
        await self.start(status, headers)
        if body and may_have_body(self._method, status):
            if len(body) > MAX_JOINED_RESPONSE_BYTES:
                # Written without a copy behind the head.
                head, self._buffered = self._buffered, b""
                await self._connection.write(head)
                await self._connection.write(self._connection.encode_data(body))
            else:
                self._buffered += self._connection.encode_data(body)
        await self.end()


def may_have_body(method: bytes, status: int) -> bool:
    """Returns whether a response to a request may have a body (RFC 9112, section 6.3)."""
    return method != b"HEAD" and status not in (NO_CONTENT, NOT_MODIFIED)


Handler = Callable[[CallerRequest, ResponseWriter], Awaitable[None]]


class CallerConnection:
    """A connection from a caller; handles one request at a time.

    Args:
        stream: The connection.
        limits: Returns the limits in force.
        handle: Handles a request.
        close_after_response: Returns whether the connection ends with the next response.
        bodies: Bounds what the bodies of all connections hold in memory.
        connections: Bounds the number of connections.
        turns: Spaces the parsing of bodies in very small chunks on all connections.

    """

    def __init__(
        self,
        stream: trio.SocketStream,
        limits: Callable[[], CallerLimits],
        handle: Handler,
        close_after_response: Callable[[], bool],
        bodies: Optional[BodyBudget] = None,
        connections: Optional[ConnectionLimit] = None,
        turns: Optional[TurnSchedule] = None,
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._handle = handle
        self._close_after_response = close_after_response
        self._idle_scope = trio.CancelScope()
        self._closes_when_idle = False
        #: Cancel scope of the request in progress.
        self._request_scope: Optional[trio.CancelScope] = None
        self._protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._pace = ParsingPace(turns)
        self._read_ahead_bytes = 0
        self._is_cut = False
        self._current_request: Optional[CallerRequest] = None
        self._bodies = BodyBudget() if bodies is None else bodies
        #: Cancelled to close the connection in favour of others.
        self._scope = trio.CancelScope()
        limit = ConnectionLimit() if connections is None else connections
        self._open_connection = limit.add(close=self._scope.cancel)
        #: Cancel scope of the request that is being received.
        self._receive_scope = trio.CancelScope()

    @property
    def is_cut(self) -> bool:
        """Whether a write ended before all of its bytes were sent."""
        return self._is_cut

    @property
    def current_request(self) -> Optional[CallerRequest]:
        """The request that is being handled, or in whose handling an exception was raised."""
        return self._current_request

    async def serve(self) -> None:
        """Handles requests until one side closes the connection."""
        enable_dead_peer_detection(self._stream)
        try:
            with self._scope:
                while await self._serve_request():
                    self._protocol.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, CallerGoneError):
            pass
        finally:
            self._open_connection.remove()
            is_incomplete = self._is_cut or self._response_in_progress()
            (abort(self._stream) if is_incomplete else self._stream.socket.close())

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is being received or handled."""
        if self._protocol.their_state is h11.IDLE:
            self._closes_when_idle = True
            self._idle_scope.cancel()

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Encodes a status line and headers."""
        sent_headers = list(headers)
        if self._close_after_response() or self._protocol.their_state is not h11.DONE:
            sent_headers.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=sent_headers)
        return self._protocol.send(response) or b""

    def encode_data(self, data: bytes) -> bytes:
        """Encodes a part of a body."""
        return self._protocol.send(h11.Data(data=data)) or b""

    def encode_end(self) -> bytes:
        """Encodes the end of a body."""
        return self._protocol.send(h11.EndOfMessage()) or b""

    async def write(self, data: bytes) -> None:
        """Writes bytes to the caller.

        If the caller does not accept the data in time, the request in progress is cancelled, as if
        the caller had closed the connection. After a write that was cancelled, nothing is written
        any more, as it is unknown which bytes the caller has.

        Raises:
            CallerGoneError: The caller disconnected or did not accept the data in time, and no
                request is in progress, or an earlier write was cancelled.

        """
        if self._is_cut:
            raise CallerGoneError("an earlier write was cancelled")
        is_complete = False
        try:
            with trio.fail_after(WRITE_TIMEOUT):
                await self._stream.send_all(data)
            is_complete = True
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError) as error:
            if self._request_scope is not None:
                self._request_scope.cancel()
                await trio.lowlevel.checkpoint()
            raise CallerGoneError(
                "the caller disconnected or does not read the response"
            ) from error
        finally:
            self._is_cut = not is_complete

    def _response_in_progress(self) -> bool:
        return self._protocol.our_state is h11.SEND_BODY

    async def _serve_request(self) -> bool:
        body = self._bodies.open(give_way=lambda: self._receive_scope.cancel())
        try:
            return await self._serve_request_with(body)
        finally:
            body.release()

    async def _serve_request_with(self, body: HeldBody) -> bool:
        self._open_connection.set_idle()
        if not await self._wait_for_first_byte():
            return False
        self._open_connection.set_receiving()
        request = await self._read_request(body)
        if isinstance(request, _Refusal):
            body.release()
            await self._send_error(request)
            return False
        if request is None:
            return False
        self._open_connection.set_busy()
        self._current_request = request
        response = ResponseWriter(self, request.method)
        try:
            await self._handle_until_disconnect(request, response, body)
        finally:
            response.release()
        self._current_request = None
        if not response.completed:
            return False
        return self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE

    async def _handle_until_disconnect(
        self, request: CallerRequest, response: ResponseWriter, body: HeldBody
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._request_scope = nursery.cancel_scope
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope, body)
            await self._handle(request, response)
            nursery.cancel_scope.cancel()
        self._request_scope = None

    async def _cancel_on_disconnect(self, scope: trio.CancelScope, body: HeldBody) -> None:
        """Cancels the request when the caller closes the connection.

        Reads no further when the budget for bodies has no room for what it reads.
        """
        # Includes what followed the request before.
        self._read_ahead_bytes = len(self._protocol.trailing_data[0])
        if not body.read_ahead(self._read_ahead_bytes):
            return
        while self._read_ahead_bytes < MAX_READ_AHEAD_BYTES:
            try:
                data = await self._stream.receive_some(CALLER_READ_SIZE)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            self._read_ahead_bytes += len(data)
            self._protocol.receive_data(data)
            if not body.read_ahead(len(data)):
                return

    async def _read_request(self, body: HeldBody) -> Union[CallerRequest, "_Refusal", None]:
        """Returns a request whose first byte has arrived; ``None`` at end of stream."""
        limits = self._limits()
        # Exceptions end here, as their frames refer to data that was received.
        try:
            with trio.move_on_after(limits.header_timeout) as self._receive_scope:
                return await self._receive_request(limits, body)
        except h11.RemoteProtocolError as error:
            return _Refusal(error.error_status_hint or 400, str(error))
        except BodyBudgetError:
            return _NO_BODY_MEMORY
        if body.gave_way:
            return _NO_BODY_MEMORY
        return _Refusal(408, "the request was not received in time")

    async def _wait_for_first_byte(self) -> bool:
        """Returns whether a request began before the idle timeout."""
        if self._protocol.trailing_data[0]:
            return True
        idle_since = trio.current_time()
        # A new configuration may extend the timeout while the connection is idle.
        while (idle_until := idle_since + self._limits().idle_timeout) > trio.current_time():
            with trio.CancelScope(deadline=idle_until) as self._idle_scope:
                data = await self._stream.receive_some(CALLER_READ_SIZE)
                if not data:
                    return False
                self._protocol.receive_data(data)
                return True
            if self._closes_when_idle:
                return False
        return False

    async def _receive_request(
        self, limits: CallerLimits, body: HeldBody
    ) -> Optional[CallerRequest]:
        head: Optional[h11.Request] = None
        while True:
            event = await self._next_event(body)
            match event:
                case h11.Request():
                    head = event
                    if event.method == b"CONNECT":
                        raise h11.RemoteProtocolError(
                            "tunnels are not supported", error_status_hint=501
                        )
                    if _has_ambiguous_length(event.headers):
                        raise h11.RemoteProtocolError(
                            "both Transfer-Encoding and Content-Length are present",
                            error_status_hint=400,
                        )
                    if len(event.headers) > MAX_HEADER_FIELDS:
                        raise h11.RemoteProtocolError(
                            "the head has too many fields", error_status_hint=431
                        )
                    body.hold_head(_held_size(event.headers))
                    _check_body_size(_announced_length(event.headers), limits)
                case h11.Data():
                    body.append(event.data)
                    _check_body_size(body.content_size, limits)
                case h11.EndOfMessage() if head is not None:
                    return CallerRequest(
                        bytes(head.method),
                        bytes(head.target),
                        list(head.headers),
                        body.complete(),
                        trio.current_time(),
                    )
                case _:
                    return None
            # Not held until the next event has arrived.
            del event

    async def _next_event(self, body: HeldBody) -> h11.Event:
        while True:
            await self._pace.pause_between_turns()
            event = self._protocol.next_event()
            if isinstance(event, h11.Event):
                body.set_unparsed_size(0)
                if isinstance(event, h11.Data):
                    self._pace.record_event()
                return event
            unparsed_size = len(self._protocol.trailing_data[0])
            self._check_unparsed_size(unparsed_size)
            body.set_unparsed_size(unparsed_size)
            if self._protocol.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await self.write(self._protocol.send(continue_response) or b"")
            data = await self._stream.receive_some(CALLER_READ_SIZE)
            self._protocol.receive_data(data)
            self._pace.record_bytes(len(data))
            del data

    def _check_unparsed_size(self, size: int) -> None:
        """Raises an error if what h11 holds back exceeds the current limit of a head.

        It is an incomplete head, size line of a chunk or trailer, as parts of a body are never held
        back.
        """
        if size > self._limits().header_bytes:
            raise h11.RemoteProtocolError(
                "the headers, a chunk's size line or the trailers are too large",
                error_status_hint=431,
            )

    async def _send_error(self, refusal: "_Refusal") -> None:
        log_event(
            "request_unreadable",
            level=LogLevel.WARNING,
            status=refusal.status,
            reason=refusal.reason,
        )
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        if refusal.retry_after is not None:
            headers.append((b"retry-after", refusal.retry_after))
        response = h11.Response(status_code=refusal.status, headers=headers)
        encoded = self._protocol.send(response) or b""
        # Drops what was received and not parsed.
        self._protocol = h11.Connection(h11.SERVER)
        await self.write(encoded)
        with trio.move_on_after(REFUSAL_LINGER_TIMEOUT):
            await self._stream.send_eof()
            while await self._stream.receive_some(CALLER_READ_SIZE):
                pass


@dataclass(frozen=True)
class _Refusal:
    """The response to a request that was not received completely, and so did not run."""

    status: int
    reason: str
    #: Seconds after which the caller may try again.
    retry_after: Optional[bytes] = None


#: Refusal of a body for which there is no memory. Others end or give way by the time that it names.
_NO_BODY_MEMORY = _Refusal(503, "the memory for request bodies is used up", b"1")


def _has_ambiguous_length(headers: Headers) -> bool:
    names = [name for name, _ in headers]
    return b"transfer-encoding" in names and b"content-length" in names


def _held_size(headers: Headers) -> int:
    """Returns the approximate number of bytes of memory that headers take."""
    return sum(len(name) + len(value) + HEADER_FIELD_OVERHEAD for name, value in headers)


def _announced_length(headers: Headers) -> int:
    """Returns the length of the body as the headers state it; 0 if they do not.

    h11 has checked that it is a number.
    """
    return max((int(value) for name, value in headers if name == b"content-length"), default=0)


def _check_body_size(size: int, limits: CallerLimits) -> None:
    if size > limits.body_bytes:
        raise h11.RemoteProtocolError("the request body is too large", error_status_hint=413)
