"""What the log service offers, without saying how it is reached."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


class LogUnavailableError(Exception):
    """The service did not take the request; an append that raises this had no effect."""


class AppendRefusedError(LogUnavailableError):
    """The service is over its rate of appends; the append had no effect."""


class AppendUnsureError(Exception):
    """The answer to an append was lost; it may or may not have taken effect."""


class OffsetTruncatedError(Exception):
    """The offset asked for is older than the service keeps.

    ``first_offset`` is the oldest offset still kept.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the oldest offset still kept is {first_offset}")
        self.first_offset = first_offset


@dataclass(frozen=True)
class LogRecord:
    """One record of a stream."""

    #: Its place in the stream; grows by one from record to record.
    offset: int

    #: The bytes as they were appended.
    payload: bytes

    #: When the service took it, in seconds since 1970 by the service's clock.
    appended_at: float


@dataclass(frozen=True)
class ReadBatch:
    """The answer to a read."""

    #: Records in the order of their offsets.
    records: tuple[LogRecord, ...]

    #: The offset that the next append to the stream will have.
    end_offset: int


class LogTransport(Protocol):
    """The log service's interface.

    A stream is named by a short string such as ``configuration``. The implementations are the HTTP
    client and the stand-in in memory.
    """

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends ``payloads`` together, all or none, and returns the offset of the first.

        It counts as one append towards the service's rate.

        Raises ``LogUnavailableError`` or ``AppendRefusedError`` if nothing was appended, and
        ``AppendUnsureError`` if the answer was lost.
        """
        ...

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads up to ``max_records`` records from ``from_offset`` on.

        Raises ``LogUnavailableError`` if the service does not answer, and
        ``OffsetTruncatedError`` if ``from_offset`` is no longer kept.
        """
        ...
