"""Splits a stream of server-sent events into the data of its events."""

#: Maximum size of an event in bytes. A longer event is treated as a fault of the server.
MAX_EVENT_BYTES = 1_000_000


class EventTooLongError(Exception):
    """An event is longer than :data:`MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splits the received parts of a stream into events.

    Comments (lines that start with a colon) are keep-alives and are ignored.
    """

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the data of each event that they complete.

        Raises :class:`EventTooLongError` if the incomplete event exceeds the size limit.
        """
        self._buffer = (self._buffer + data).replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        events = (_event_data(block) for block in blocks)
        return [event for event in events if event]


def _event_data(block: bytes) -> bytes:
    lines = (line for line in block.split(b"\n") if line.startswith(b"data:"))
    return b"\n".join(line.removeprefix(b"data:").removeprefix(b" ") for line in lines)
