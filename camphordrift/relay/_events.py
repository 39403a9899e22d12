"""Splits a stream of server-sent events into whole events."""

from dataclasses import dataclass
from typing import Optional

_EVENT_END = b"\n\n"


@dataclass(frozen=True)
class StreamEvent:
    """One whole event, as its bytes came."""

    data: bytes
    #: Value of the event's id line; ``None`` without one.
    id: Optional[int]


class EventSplitter:
    """Collects bytes and gives out whole events; an unfinished one is kept back."""

    def __init__(self) -> None:
        self._partial_event = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an event that has not ended are held."""
        return bool(self._partial_event)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes in; returns the events that are whole now."""
        *complete, self._partial_event = (self._partial_event + data).split(_EVENT_END)
        return [StreamEvent(part + _EVENT_END, _event_id(part)) for part in complete]


def _event_id(event: bytes) -> Optional[int]:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
