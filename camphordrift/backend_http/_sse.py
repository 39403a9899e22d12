"""Splits a body of server-sent events into the data of its events."""

#: An event longer than this is taken for a fault of the server.
MAX_EVENT_BYTES = 1_000_000


class EventTooLongError(Exception):
    """An event is longer than :data:`MAX_EVENT_BYTES`."""


class EventSplitter:
    """Collects bytes and returns the data of each event that is whole.

    Comments (lines that start with a colon) are keep-alives and are passed over.
    """

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the data of all events that ``data`` completes."""
        self._buffer = (self._buffer + data).replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        events = (_data_of(block) for block in blocks)
        return [event for event in events if event]


def _data_of(block: bytes) -> bytes:
    lines = (line for line in block.split(b"\n") if line.startswith(b"data:"))
    return b"\n".join(line.removeprefix(b"data:").removeprefix(b" ") for line in lines)
