"""Interface to the log that holds the records of claims and leases."""

from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from camphordrift.platform_log import LogRecord
from camphordrift.results import Failure

#: Called with the next record of a stream. Must not block.
RecordHandler = Callable[[LogRecord], None]

#: Called when the log dropped records that were not delivered. Must not block.
GapHandler = Callable[[], None]


class RecordLog(Protocol):
    """Appends to, follows and reads streams whose records are applied in offset order."""

    async def append(self, stream: str, payload: bytes, deadline: float) -> Result[int, Failure]:
        """Appends one record, in a batch with others, and returns its offset.

        ``deadline`` is a time in seconds of the event loop's clock. A failure whose run state is
        ``NOT_RUN`` means that the record is not in the log and never will be.
        """
        ...

    async def follow(self, stream: str, on_record: RecordHandler, on_gap: GapHandler) -> None:
        """Delivers every retained record in offset order, until cancelled.

        Calls ``on_gap`` before the next record if the log dropped records that were not delivered.
        """
        ...

    async def read_record(
        self, stream: str, offset: int, deadline: float
    ) -> Result[LogRecord, Failure]:
        """Reads one record.

        Fails with ``LOG_OFFSET_TRUNCATED`` if the log does not have it, and with
        ``LOG_UNAVAILABLE`` if there is no response before ``deadline``.
        """
        ...
