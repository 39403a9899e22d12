"""The interface of the log service, independent of the transport protocol."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


class LogUnavailableError(Exception):
    """The service did not accept the request; an append that raises this had no effect."""


class AppendRefusedError(LogUnavailableError):
    """The service's append rate limit is exceeded; the append had no effect."""


class AppendUnsureError(Exception):
    """The response to an append was lost; it may or may not have taken effect."""


class OffsetTruncatedError(Exception):
    """The requested offset is older than the oldest retained record.

    ``first_offset`` is the oldest retained offset.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"the oldest retained offset is {first_offset}")
        self.first_offset = first_offset


@dataclass(frozen=True)
class LogRecord:
    """One record of a stream."""

    #: The record's offset in the stream; offsets of consecutive records differ by one.
    offset: int

    #: The bytes that were appended: the record's encoded envelope.
    payload: bytes

    #: When the service accepted the record, in Unix seconds on the service's clock.
    appended_at: float


@dataclass(frozen=True)
class ReadBatch:
    """The records that one read returned, and the end of the stream at that time."""

    #: Records in offset order.
    records: tuple[LogRecord, ...]

    #: The offset that the next appended record will have.
    end_offset: int


class LogTransport(Protocol):
    """Appends records to streams of the log service, and reads them.

    A stream is named by a short string such as ``configuration``. Implemented by the HTTP client
    and the in-memory stand-in.
    """

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends ``payloads`` atomically and returns the offset of the first.

        It counts as one append towards the service's rate limit.

        Raises ``LogUnavailableError`` or ``AppendRefusedError`` if nothing was appended, and
        ``AppendUnsureError`` if the response was lost.
        """
        ...

    async def read(self, stream: str, from_offset: int, max_records: int) -> ReadBatch:
        """Reads up to ``max_records`` records, starting at ``from_offset``.

        Raises ``LogUnavailableError`` if the service does not respond, and
        ``OffsetTruncatedError`` if ``from_offset`` is no longer retained.
        """
        ...
