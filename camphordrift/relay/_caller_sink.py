"""Passes a stream's events on to the caller."""

from collections.abc import Callable
from typing import Optional

import trio

from camphordrift.relay._attempt import EventSink
from camphordrift.relay._events import StreamEvent
from camphordrift.relay._interfaces import Headers
from camphordrift.relay._request_progress import RequestProgress

#: Pauses between events after which the shortest of them is reported.
PAUSES_SEEN = 4


class CallerSink(EventSink):
    """Passes events on to the caller, each once and in order."""

    def __init__(self, progress: RequestProgress) -> None:
        self._answer = progress.answer
        self._last_id: Optional[int] = None
        given = progress.facts.last_event_id
        if given is not None and given.isdigit():
            self._last_id = int(given)
        self._passed = False
        #: Moment of the first event of the newest attempt.
        self.first_event_at: Optional[float] = None
        #: Longest pause between events in seconds; ``None`` before the second one.
        self.longest_pause: Optional[float] = None
        self._pauses: list[float] = []
        self._last_event_at = 0.0
        #: Called when the first event of an attempt arrives.
        self.on_first_event: Callable[[], None] = lambda: None
        #: Called with the shortest of an attempt's first pauses between events, in seconds.
        self.on_pauses: Callable[[float], None] = lambda pause: None

    @property
    def last_id(self) -> Optional[int]:
        """The last event that the caller has, if this relay or the caller knows."""
        return self._last_id if self._passed else None

    async def begin(self, status: int, headers: Headers) -> None:
        self.first_event_at = self._last_event_at = trio.current_time()
        self._pauses = []
        self.on_first_event()
        if not self._answer.started:
            await self._answer.start(status, headers)

    async def take(self, events: list[StreamEvent]) -> None:
        self._note_pause()
        new = [event for event in events if self._is_new(event)]
        if not new:
            return
        ids = [event.id for event in new if event.id is not None]
        # Noted first: what may have reached the caller must not be sent again.
        self._last_id = ids[-1] if ids else self._last_id
        self._passed = True
        await self._answer.write(b"".join(event.data for event in new))

    def _note_pause(self) -> None:
        now = trio.current_time()
        if now > self._last_event_at:
            self.longest_pause = max(self.longest_pause or 0.0, now - self._last_event_at)
        if now > self._last_event_at and len(self._pauses) < PAUSES_SEEN:
            self._pauses.append(now - self._last_event_at)
            if len(self._pauses) == PAUSES_SEEN:
                self.on_pauses(min(self._pauses))
        self._last_event_at = now

    def _is_new(self, event: StreamEvent) -> bool:
        return event.id is None or self._last_id is None or event.id > self._last_id
