"""The interface to the log of claims and leases."""

from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from camphordrift.platform_log import LogRecord
from camphordrift.results import Failure

#: Takes the next record of a stream. Does not wait.
RecordHandler = Callable[[LogRecord], None]

#: Learns that records were dropped before they were handed on. Does not wait.
GapHandler = Callable[[], None]


class RecordLog(Protocol):
    """Appends to, follows and reads streams whose records are folded."""

    async def append(self, stream: str, payload: bytes, deadline: float) -> Result[int, Failure]:
        """Appends one record, in a batch with others, and returns its offset.

        ``deadline`` is a time of the loop's clock. A failure whose run state is ``NOT_RUN`` means
        that the record is not in the log and never will be.
        """
        ...

    async def follow(self, stream: str, on_record: RecordHandler, on_gap: GapHandler) -> None:
        """Hands on every record that is kept, in order, for ever.

        Calls ``on_gap`` before the next record if the log dropped records that were not handed on.
        """
        ...

    async def read_record(
        self, stream: str, offset: int, deadline: float
    ) -> Result[LogRecord, Failure]:
        """Reads one record."""
        ...
