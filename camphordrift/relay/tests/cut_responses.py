"""Attempts on servers that end the connection somewhere in their response, for tests."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.relay.connections import (
    BodyBudget,
    ByteStream,
    CallerRequest,
    ConnectionPool,
    StreamEvent,
)
from camphordrift.relay.connections._connection_pool import OpenStream
from camphordrift.relay.model import ForwardingMetadata, Headers
from camphordrift.relay.peers._peer_messages import ConnectionEnd
from camphordrift.relay.requests._attempt import (
    Answered,
    Attempt,
    AttemptResult,
    EventSink,
    SilenceTimeouts,
)
from camphordrift.relay.tests.samples import SampleHeaders, server

#: How servers themselves end a connection.
ENDS = (ConnectionEnd.CLOSED, ConnectionEnd.RESET)

#: Id of the request's attempt.
ATTEMPT_ID = "a1"


@dataclass(frozen=True)
class SampleResponse:
    """A response that a server may cut.

    Args:
        name: What is special about it.
        head: Everything before its body, including informational responses.
        body: The body as it is sent.
        content: The body without its framing.
        is_framed: Whether the body has an end of its own.

    """

    name: str
    head: bytes
    body: bytes
    content: bytes
    is_framed: bool = True

    @property
    def data(self) -> bytes:
        """All bytes of the response."""
        return self.head + self.body

    def may_look_complete(self, cut: int, end: ConnectionEnd, is_stream: bool) -> bool:
        """Returns whether the bytes before ``cut`` and the end can be a complete response."""
        if self.is_framed:
            return cut == len(self.data)
        if cut < len(self.head) or end is not ConnectionEnd.CLOSED:
            return False
        sent = self.data[len(self.head) : cut]
        return not is_stream or sent.endswith(b"\n\n")


class CutStream(ByteStream):
    """A connection on which given data arrives, and then the end."""

    def __init__(self, pieces: Sequence[bytes], end: ConnectionEnd) -> None:
        #: Data that was not received yet.
        self.pieces = [piece for piece in pieces if piece]
        self._end = end
        #: Whether the next data has arrived before it is requested.
        self.has_arrived = True

    async def send_all(self, data: bytes) -> None:
        """Accepts all data."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Returns the next piece."""
        await trio.lowlevel.checkpoint()
        if self.pieces:
            return self.pieces.pop(0)
        if self._end is ConnectionEnd.RESET:
            raise trio.BrokenResourceError
        return b""

    def is_readable(self) -> bool:
        """Returns whether data or the end of the stream has arrived."""
        return self.has_arrived

    def abort(self) -> None:
        """Does nothing."""


class RecordingSink(EventSink):
    """Records the stream that a caller would get."""

    def __init__(self) -> None:
        self.content = b""
        self.has_ended = False

    async def start_response(self, status: int, headers: Headers) -> None:
        """Receives the head."""

    async def write_events(self, events: list[StreamEvent]) -> None:
        """Records the events."""
        self.content += b"".join(event.data for event in events)

    async def end_response(self) -> None:
        """Records the end."""
        self.has_ended = True


def stream_opener(stream: ByteStream) -> OpenStream:
    """Returns a function that opens a connection which exists already."""

    async def open_stream(host: str, port: int, timeout: float) -> ByteStream:
        await trio.lowlevel.checkpoint()
        return stream

    return open_stream


async def run_attempt(
    open_stream: OpenStream, sink: Optional[EventSink], budget: Optional[BodyBudget] = None
) -> AttemptResult:
    """Runs an attempt on a connection that ``open_stream`` opens."""
    return await run_attempt_on(ConnectionPool(1.0, open_stream), sink, budget=budget)


async def run_attempt_on(
    connections: ConnectionPool,
    sink: Optional[EventSink],
    attempt_id: str = ATTEMPT_ID,
    budget: Optional[BodyBudget] = None,
    body: bytes = b"",
) -> AttemptResult:
    """Runs an attempt on a connection of a pool, which may be one that was used before."""
    backend = server(0)
    headers = [(b"host", b"a.example"), (b"x-attempt", attempt_id.encode())]
    attempt = Attempt(
        CallerRequest(b"GET", b"/look/x", headers, body, trio.current_time()),
        attempt_id,
        backend,
        connections,
        SampleHeaders(),
        lambda status, metadata: None,
        None if budget is None else budget.open,
    )
    metadata = ForwardingMetadata(10.0, backend.id, None)
    timeouts = SilenceTimeouts(10.0, 10.0)
    return await attempt.run(lambda: metadata, timeouts, lambda: None, False, sink)


def received_content(result: AttemptResult, sink: Optional[RecordingSink]) -> bytes:
    """Returns the content that the caller gets."""
    if sink is not None:
        return sink.content
    return result.body if isinstance(result, Answered) else b""
