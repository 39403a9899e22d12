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
        # Set before writing, as events that may have reached the caller must not be sent again.
        self._last_event_id = ids[-1] if ids else self._last_event_id
        self._forwarded_any = True
        for event in events:
            self.is_resumable = event.id is not None or (self.is_resumable and event.is_comment)
        await self._response.write(b"".join(event.data for event in events))

    def _is_new(self, event: StreamEvent) -> bool:
        return event.id is None or self._last_event_id is None or event.id > self._last_event_id


class CallerEventSink(EventSink):
    """Forwards the events of one attempt to the caller's stream.

    Args:
        stream: The caller's stream.
        claim_stream: Called before anything is forwarded. It is cancelled if another attempt has
            continued the stream in the meantime.
        has_turn: Returns whether the attempt may forward events now.
        wait_for_turn: Waits until it may.

    """

    def __init__(
        self,
        stream: CallerStream,
        claim_stream: Callable[[], Awaitable[None]],
        has_turn: Callable[[], bool],
        wait_for_turn: Callable[[], Awaitable[None]],
    ) -> None:
        self._stream = stream
        self._claim_stream = claim_stream
        self._has_turn = has_turn
        self._wait_for_turn = wait_for_turn
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

    async def write_events(self, events: list[StreamEvent]) -> None:
        if self._is_resumption and any(e.id is None and not e.is_comment for e in events):
            raise StreamMismatchError("an event without an id cannot continue the stream")
        self._record_gap(len(events))
        self.on_events(len(events))
        while not await self._forward(events):
            await self._wait_for_turn()

    async def _forward(self, events: list[StreamEvent]) -> bool:
        """Forwards events; returns whether it was the attempt's turn."""
        async with self._stream.lock:
            if not self._has_turn():
                return False
            if new := self._stream.select_new(events):
                await self._claim_stream()
                await self._stream.start(self._status, self._headers)
                await self._stream.write(new)
        return True

    async def end_response(self) -> None:
        async with self._stream.lock:
            await self._claim_stream()
            await self._stream.start(self._status, self._headers)

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
