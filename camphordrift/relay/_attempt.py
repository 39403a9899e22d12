"""One sending of a request to one backend server."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Optional, Union

import h11
import trio

from camphordrift.relay._events import EventSplitter, StreamEvent
from camphordrift.relay._http_client import BrokenAnswerError, ConnectionPool, HttpConnection
from camphordrift.relay._http_server import CallerRequest
from camphordrift.relay._interfaces import HeaderFormat, Headers
from camphordrift.relay._values import BackendServer, SendFacts

#: Largest answer in bytes that is held back until it is whole.
MAX_WHOLE_ANSWER = 16 << 20

#: Seconds for which a connection stays usable if the server does not say.
DEFAULT_IDLE = 4.0

#: Bodies up to this size in bytes fit into the socket's buffer, so that sending them cannot wait
#: for a server that answers before it has read them.
SMALL_BODY = 8192


@dataclass(frozen=True)
class NotSent:
    """No byte of the request can have reached the server."""

    reason: str


@dataclass(frozen=True)
class Withheld:
    """The request was not sent, for reasons that are not the server's."""

    reason: str


@dataclass(frozen=True)
class Rejected:
    """The server said that it did not run the request."""

    status: int
    server_at_fault: Optional[str]


@dataclass(frozen=True)
class Broken:
    """The request may have run, and there is no whole answer."""

    reason: str
    #: Whether the server sent nothing for too long.
    silent: bool = False


@dataclass(frozen=True)
class Answered:
    """The server's whole answer, held back."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class Streamed:
    """The whole stream was passed on."""


AttemptResult = Union[NotSent, Withheld, Rejected, Broken, Answered, Streamed]


class EventSink:
    """Where the events of a stream go."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Takes the head of the answer; called once an event has arrived."""
        raise NotImplementedError

    async def take(self, events: list[StreamEvent]) -> None:
        """Takes whole events, in order."""
        raise NotImplementedError


@dataclass(frozen=True)
class AttemptTerms:
    """Bounds of one attempt, in seconds."""

    #: Until the head of the answer, or the first event of a stream.
    first_byte: float
    #: Between events of a stream.
    between_events: float


class Attempt:
    """Sends a request and reads its answer."""

    def __init__(
        self,
        request: CallerRequest,
        attempt_id: str,
        server: BackendServer,
        connections: ConnectionPool,
        header_format: HeaderFormat,
    ) -> None:
        self._request = request
        self._attempt_id = attempt_id
        self._server = server
        self._connections = connections
        self._format = header_format

    async def run(
        self,
        send_facts: Callable[[], Optional[SendFacts]],
        terms: AttemptTerms,
        fresh_connection: bool,
        sink: Optional[EventSink],
    ) -> AttemptResult:
        """Runs the attempt.

        Args:
            send_facts: Called right before the first byte goes out; ``None`` keeps the request
                back.
            terms: Bounds in time.
            fresh_connection: Whether the request must not meet a connection that was used before.
            sink: Takes the events of a stream; without one the answer is held back until whole.

        """
        server = self._server
        try:
            connection = await self._connections.acquire(server.host, server.port, fresh_connection)
        except OSError as error:
            return NotSent(str(error))
        idle = 0.0
        try:
            facts = send_facts()
            if facts is None:
                return Withheld("the request may no longer be sent")
            result, idle = await self._exchange(connection, facts, terms, sink)
            return result
        except (BrokenAnswerError, OSError) as error:
            return Broken(str(error))
        finally:
            self._connections.release(server.host, server.port, connection, idle)

    async def _exchange(
        self,
        connection: HttpConnection,
        facts: SendFacts,
        terms: AttemptTerms,
        sink: Optional[EventSink],
    ) -> tuple[AttemptResult, float]:
        headers = self._format.outgoing_headers(self._request.headers, facts)
        if len(self._request.body) <= SMALL_BODY:
            await self._send(connection, headers)
            return await self._receive(connection, terms, sink)
        # The server may answer before it has read the body, and may not read it at all.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_quietly, connection, headers)
            try:
                result = await self._receive(connection, terms, sink)
            except (BrokenAnswerError, OSError) as error:
                # Caught here, as an exception leaves a nursery only wrapped in a group.
                result = Broken(str(error)), 0.0
            nursery.cancel_scope.cancel()
        return result

    async def _send(self, connection: HttpConnection, headers: Headers) -> None:
        await connection.send(
            self._request.method, self._request.target, headers, self._request.body
        )

    async def _send_quietly(self, connection: HttpConnection, headers: Headers) -> None:
        try:
            await self._send(connection, headers)
        except OSError:
            # The reading side reports the broken connection, after an early answer if there is one.
            return

    async def _receive(
        self, connection: HttpConnection, terms: AttemptTerms, sink: Optional[EventSink]
    ) -> tuple[AttemptResult, float]:
        deadline = trio.current_time() + terms.first_byte
        with trio.move_on_at(deadline) as scope:
            head = await connection.receive_head()
        if scope.cancelled_caught:
            return Broken("no answer in time", silent=True), 0.0
        facts = self._format.answer_facts(list(head.headers))
        idle = DEFAULT_IDLE if facts.idle_timeout is None else facts.idle_timeout
        if facts.attempt_id not in (None, self._attempt_id):
            return Broken("an answer to another request"), 0.0
        if facts.not_run or head.status_code == 421:
            await self._drain(connection, deadline)
            return Rejected(head.status_code, facts.server_at_fault), idle
        success = 200 <= head.status_code < 300
        if success and not facts.signed:
            return Broken("an answer without a signature"), 0.0
        if success and facts.attempt_id is None:
            return Broken("an answer without its id"), 0.0
        if success and sink is not None:
            return await self._pass_events(connection, head, terms, deadline, sink), idle
        return await self._whole_answer(connection, head, deadline), idle

    async def _drain(self, connection: HttpConnection, deadline: float) -> None:
        """Reads the rest of an answer that nobody needs."""
        with trio.move_on_at(deadline):
            while await connection.receive_data() is not None:
                pass

    async def _whole_answer(
        self, connection: HttpConnection, head: h11.Response, deadline: float
    ) -> AttemptResult:
        body = bytearray()
        with trio.move_on_at(deadline) as scope:
            while (piece := await connection.receive_data()) is not None:
                body += piece
                if len(body) > MAX_WHOLE_ANSWER:
                    return Broken("an answer that is too large")
        if scope.cancelled_caught:
            return Broken("no whole answer in time", silent=True)
        return Answered(head.status_code, _end_to_end(head.headers), bytes(body))

    async def _pass_events(
        self,
        connection: HttpConnection,
        head: h11.Response,
        terms: AttemptTerms,
        deadline: float,
        sink: EventSink,
    ) -> AttemptResult:
        splitter = EventSplitter()
        begun = False
        while True:
            with trio.move_on_at(deadline) as scope:
                piece = await connection.receive_data()
            if scope.cancelled_caught:
                return Broken("no event in time", silent=True)
            if piece is None:
                return Broken("an unfinished event") if splitter.unfinished else Streamed()
            events = splitter.feed(piece)
            if not events:
                continue
            if not begun:
                begun = True
                await sink.begin(head.status_code, _end_to_end(head.headers))
            await sink.take(events)
            deadline = trio.current_time() + terms.between_events


#: Headers of an answer that concern one connection only, or its length, which is written anew.
_NOT_PASSED_ON = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"trailer", b"upgrade")
)


def _end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in headers if name not in _NOT_PASSED_ON]
