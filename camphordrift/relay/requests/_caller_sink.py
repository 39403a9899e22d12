"""Forwards events of a streamed response to the caller."""

from collections.abc import Awaitable, Callable
from typing import Optional

import trio

from camphordrift.relay.connections import ResponseWriter, StreamEvent, parse_event_id
from camphordrift.relay.model import Headers
from camphordrift.relay.requests._attempt import EventSink, StreamMismatchError

#: Number of gaps between events that are sampled at the start of each attempt; the shortest of them
#: is reported to the engine scheduler as the time of one engine iteration.
SAMPLED_GAPS = 4

#: Maximum number of bytes that the events which an attempt holds back may take; with more, it
#: continues the stream.
MAX_HELD_BACK_BYTES = 1 << 20

#: Approximate number of bytes of memory that an event takes besides its data.
EVENT_OVERHEAD_BYTES = 256


class CallerStream:
    """The event stream to a caller; gets each event at most once and in order, across attempts.

    Args:
        response: The response to the caller.
        resume_id: Id of the last event that the caller already has; ``None`` or not a number if it
            does not resume an earlier stream.

    """

    def __init__(self, response: ResponseWriter, resume_id: Optional[str]) -> None:
        self._response = response
        self._last_event_id: Optional[int] = None
        if resume_id is not None:
            self._last_event_id = parse_event_id(resume_id.encode())
        self._forwarded_any = False
        #: Status and media type of the response that started the stream.
        self._started_as: Optional[tuple[int, Optional[bytes]]] = None
        #: Whether the place of the last event in the stream is known, so that another server can
        #: continue after it.
        self.is_resumable = True
        #: Held while an attempt writes, so that the events of two attempts are not interleaved.
        self.lock = trio.Lock()

    @property
    def last_event_id(self) -> Optional[int]:
        """Id of the last event forwarded to the caller; ``None`` before the first one."""
        return self._last_event_id if self._forwarded_any else None

    def accepts(self, status: int, headers: Headers) -> bool:
        """Returns whether a response can start the stream, or continue it as it was started."""
        return self._started_as in (None, (status, _media_type(headers)))

    async def start(self, status: int, headers: Headers) -> None:
        """Starts the response, unless an earlier attempt has started it."""
        if not self._response.started:
            self._started_as = status, _media_type(headers)
            await self._response.start(status, headers)

    def select_new(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Returns the events that the caller does not have yet."""
        return [event for event in events if self._is_new(event)]

    async def write(self, events: list[StreamEvent]) -> None:
        """Forwards events that the caller does not have yet."""
        ids = [event.id for event in events if event.id is not None]
        # Set before writing: an attempt that is sent meanwhile resumes after these events. They are
        # written completely, or nothing is written after them.
        self._last_event_id = ids[-1] if ids else self._last_event_id
        self._forwarded_any = True
        for event in events:
            self.is_resumable = event.id is not None or (self.is_resumable and event.is_comment)
        await self._response.write(b"".join(event.data for event in events))

    def _is_new(self, event: StreamEvent) -> bool:
        return event.id is None or self._last_event_id is None or event.id > self._last_event_id


class CallerEventSink(EventSink):
    """Forwards the events of one attempt to the caller's stream.

    Events that arrive while it is not the attempt's turn are held back. They are forwarded as soon
    as it is, or when the response is complete: then no other attempt can be faster.

    Args:
        stream: The caller's stream.
        claim_stream: Called before anything is forwarded, with whether the response is complete. It
            is cancelled if another attempt has continued the stream in the meantime.
        has_turn: Returns whether the attempt may forward events now. :meth:`resume` is called when
            it may again.
        on_arrival: Called when events arrive, whether they are forwarded or not.

    """

    def __init__(
        self,
        stream: CallerStream,
        claim_stream: Callable[[bool], Awaitable[None]],
        has_turn: Callable[[], bool],
        on_arrival: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._claim_stream = claim_stream
        self._has_turn = has_turn
        self._on_arrival = on_arrival
        self._held_back: list[StreamEvent] = []
        self._held_back_bytes = 0
        #: Interrupts :meth:`receive`.
        self._receive_scope = trio.CancelScope()
        self._status = 0
        self._headers: Headers = ()
        #: Whether another attempt has forwarded events before this one.
        self._is_resumption = False
        #: Time of the attempt's first event, by trio's clock.
        self.first_event_at: Optional[float] = None
        #: Longest gap between events in seconds; ``None`` before the second event.
        self.longest_gap: Optional[float] = None
        self._gaps: list[float] = []
        self._last_event_at = 0.0
        #: Called with the number of events that have arrived.
        self.on_events: Callable[[int], None] = lambda count: None
        #: Called when the first event of the attempt arrives.
        self.on_first_event: Callable[[], None] = lambda: None
        #: Called with the seconds of the shortest of the attempt's first gaps between events.
        self.on_shortest_gap: Callable[[float], None] = lambda gap: None
        #: Called when the response is complete, before the last of it is forwarded.
        self.on_complete: Callable[[], None] = lambda: None
        #: Called with the seconds of each gap, and the number of events that ended it.
        self.on_gap: Callable[[float, int], None] = lambda gap, event_count: None

    @property
    def last_event_id(self) -> Optional[int]:
        """Id of the last event forwarded to the caller; ``None`` before the first one."""
        return self._stream.last_event_id

    async def start_response(self, status: int, headers: Headers) -> None:
        # The caller's response starts with the first event that is forwarded, as another attempt
        # may still be the first to have one.
        if not self._stream.accepts(status, headers):
            raise StreamMismatchError(f"a response with status {status} cannot continue the stream")
        self._is_resumption = self._stream.last_event_id is not None
        self._status, self._headers = status, headers
        self.first_event_at = self._last_event_at = trio.current_time()
        self.on_first_event()

    async def receive(self, receive: Callable[[], Awaitable[Optional[bytes]]]) -> Optional[bytes]:
        if not self._held_back:
            return await receive()
        if not self._has_turn():
            with trio.CancelScope() as self._receive_scope:
                return await receive()
        await self._forward([])
        return b""

    def resume(self) -> None:
        """Forwards the events that were held back, as it is the attempt's turn again."""
        self._receive_scope.cancel()

    async def write_events(self, events: list[StreamEvent]) -> None:
        if self._is_resumption and any(e.id is None and not e.is_comment for e in events):
            raise StreamMismatchError("an event without an id cannot continue the stream")
        self._on_arrival()
        self._record_gap(len(events))
        self.on_events(len(events))
        await self._forward(events)

    async def end_response(self) -> None:
        self.on_complete()
        async with self._stream.lock:
            await self._claim_stream(True)
            await self._stream.start(self._status, self._headers)
            if new := self._take_new([]):
                await self._stream.write(new)

    async def _forward(self, events: list[StreamEvent]) -> None:
        """Forwards events after those that were held back, or holds them back as well."""
        async with self._stream.lock:
            if not self._has_turn() and self._hold_back(events):
                return
            if new := self._take_new(events):
                await self._claim_stream(False)
                await self._stream.start(self._status, self._headers)
                await self._stream.write(new)

    def _hold_back(self, events: list[StreamEvent]) -> bool:
        """Holds events back; returns ``False`` if they are too many."""
        size = self._held_back_bytes
        size += sum(len(event.data) + EVENT_OVERHEAD_BYTES for event in events)
        if size > MAX_HELD_BACK_BYTES:
            return False
        self._held_back += events
        self._held_back_bytes = size
        return True

    def _take_new(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Returns those of the events, and of the ones held back, that the caller does not have."""
        new = self._stream.select_new(self._held_back + events)
        self._held_back, self._held_back_bytes = [], 0
        return new

    def _record_gap(self, event_count: int) -> None:
        now = trio.current_time()
        gap, self._last_event_at = now - self._last_event_at, now
        if gap <= 0:
            return
        self.longest_gap = max(self.longest_gap or 0.0, gap)
        if len(self._gaps) < SAMPLED_GAPS:
            self._gaps.append(gap / event_count)
            if len(self._gaps) == SAMPLED_GAPS:
                self.on_shortest_gap(min(self._gaps))
        self.on_gap(gap, event_count)


def _media_type(headers: Headers) -> Optional[bytes]:
    for name, value in headers:
        if name == b"content-type":
            return value.partition(b";")[0].strip().lower()
    return None
