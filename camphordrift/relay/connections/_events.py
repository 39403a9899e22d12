"""Parser that splits a byte stream of server-sent events into single events."""

from dataclasses import dataclass
from typing import Optional

_EVENT_END = b"\n\n"

#: Maximum size of an event in bytes. An event has a few tokens.
MAX_EVENT_BYTES = 1 << 20

#: Largest id of an event after which a stream can be continued.
MAX_EVENT_ID = 2**63 - 1


class EventTooLongError(Exception):
    """An event exceeds the maximum size."""


@dataclass(frozen=True)
class StreamEvent:
    """A complete event, with its bytes unchanged."""

    data: bytes
    #: Value of the event's ``id`` field; ``None`` if it is missing or no number in its bounds.
    id: Optional[int]

    @property
    def is_comment(self) -> bool:
        """Whether the event has nothing but comments, which keep a connection alive."""
        return all(line.startswith(b":") for line in self.data.splitlines() if line)


class EventSplitter:
    """Buffers received bytes and returns complete events; a partial event stays buffered."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        #: Length of the buffered bytes that contain no end of an event.
        self._searched = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    @property
    def partial_size(self) -> int:
        """Number of bytes of the incomplete event that is buffered; 0 if there is none."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds received bytes and returns the events that they complete.

        Raises:
            EventTooLongError: The event that the bytes do not complete is too long.

        """
        self._buffer += data
        # The end may have begun in the bytes that were searched before.
        position = max(0, self._searched - len(_EVENT_END) + 1)
        events, start = [], 0
        while (found := self._buffer.find(_EVENT_END, position)) >= 0:
            position = found + len(_EVENT_END)
            event = bytes(self._buffer[start:position])
            events.append(StreamEvent(event, _event_id(event)))
            start = position
        del self._buffer[:start]
        self._searched = len(self._buffer)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"event of more than {MAX_EVENT_BYTES} bytes")
        return events


def _event_id(event: bytes) -> Optional[int]:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return parse_event_id(line[3:].strip())
    return None


def parse_event_id(text: bytes) -> Optional[int]:
    """Returns the id of an event; ``None`` if it is not a number up to :data:`MAX_EVENT_ID`."""
    if not text.isdigit() or len(text) > len(str(MAX_EVENT_ID)):
        return None
    event_id = int(text)
    return event_id if event_id <= MAX_EVENT_ID else None
