"""State machine of the appends of one stream: waiting, in flight, or with an unknown outcome."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Optional

from returns import result

from camphordrift.platform_log._envelope import RecordId
from camphordrift.results import Failure, ResultCode, RunState

#: Seconds after which callers should retry an append that was guaranteed to have no effect.
RETRY_AFTER_SECONDS = 1.0


class AppendState(Enum):
    """The progress of appending one record."""

    #: Not sent, or refused by the service; guaranteed not to be in the log.
    WAITING = "waiting"

    #: Sent; the writer waits for the response.
    IN_FLIGHT = "in_flight"

    #: The response was lost, so it is unknown whether the record is in the log.
    UNSURE = "unsure"

    #: In the log at a known offset.
    APPENDED = "appended"

    #: Not confirmed as appended when the caller stopped waiting.
    ABANDONED = "abandoned"


@dataclass
class PendingAppend:
    """A record that a caller wants to append."""

    #: Id of the record.
    record_id: RecordId

    #: The record's encoded envelope, as it is sent to the log service.
    encoded: bytes

    #: Whether the record is waiting, in flight, unsure, appended or abandoned.
    state: AppendState = AppendState.WAITING

    #: The record's offset in the stream, once known.
    offset: Optional[int] = None

    #: The reason why the record is still ``WAITING``; reported if the caller's deadline passes.
    last_refusal: ResultCode = ResultCode.LOG_UNAVAILABLE


@dataclass
class AppendQueue:
    """The records that callers want to append to one stream.

    Only a record in ``WAITING`` may be reported as not appended. A record whose response was lost
    never returns to that state, because its append can still take effect.
    """

    #: Maximum number of records in one batch.
    batch_records: int

    #: Maximum number of bytes in one batch, unless a single record is larger.
    batch_bytes: int

    _waiting: list[PendingAppend] = field(default_factory=list)

    @property
    def waiting_count(self) -> int:
        """Number of records in ``WAITING``."""
        return len(self._waiting)

    def add(self, record_id: RecordId, encoded: bytes) -> PendingAppend:
        """Adds a record to the end of the queue."""
        pending = PendingAppend(record_id, encoded)
        self._waiting.append(pending)
        return pending

    def take_batch(self) -> tuple[PendingAppend, ...]:
        """Removes and returns the records to append next, oldest first, marked ``IN_FLIGHT``.

        A record larger than ``batch_bytes`` is returned in a batch of its own.
        """
        size = 0
        count = 0
        for pending in self._waiting[: self.batch_records]:
            size += len(pending.encoded)
            if count and size > self.batch_bytes:
                break
            count += 1
        batch = tuple(self._waiting[:count])
        del self._waiting[:count]
        for pending in batch:
            pending.state = AppendState.IN_FLIGHT
        return batch

    def on_budget_spent(self) -> None:
        """Sets this VM's append budget as the reason why the waiting records are delayed."""
        for pending in self._waiting:
            pending.last_refusal = ResultCode.LOG_APPEND_BUDGET_SPENT

    def on_appended(self, batch: tuple[PendingAppend, ...], first_offset: int) -> None:
        """Marks the records of a batch as appended, at consecutive offsets."""
        for index, pending in enumerate(batch):
            mark_appended(pending, first_offset + index)

    def on_refused(self, batch: tuple[PendingAppend, ...], code: ResultCode) -> None:
        """Returns a batch that is guaranteed not to be appended to the front of the queue."""
        returned = [pending for pending in batch if pending.state is AppendState.IN_FLIGHT]
        for pending in returned:
            pending.state = AppendState.WAITING
            pending.last_refusal = code
        self._waiting[:0] = returned

    def on_unsure(self, batch: tuple[PendingAppend, ...]) -> None:
        """Marks the outcome of a batch as unknown."""
        for pending in batch:
            if pending.state is AppendState.IN_FLIGHT:
                pending.state = AppendState.UNSURE

    def final_result(self, pending: PendingAppend) -> result.Result[int, Failure]:
        """Returns the caller's result and abandons the record unless it was appended.

        Called once, when the record was appended or the caller's deadline has passed.
        """
        if pending.offset is not None:
            return result.Success(pending.offset)
        was_waiting = pending.state is AppendState.WAITING
        self.abandon(pending)
        if was_waiting:
            return result.Failure(_not_appended_failure(pending.last_refusal))
        return result.Failure(
            Failure(
                ResultCode.LOG_APPEND_UNSURE,
                "the log service did not confirm whether the record was appended",
            )
        )

    def abandon(self, pending: PendingAppend) -> None:
        """Abandons a record, so that it is not sent, or not sent again."""
        if pending.state is AppendState.WAITING:
            self._waiting.remove(pending)
        if pending.state is not AppendState.APPENDED:
            pending.state = AppendState.ABANDONED


def mark_appended(pending: PendingAppend, offset: int) -> None:
    """Marks a record as appended at ``offset``, unless its caller has abandoned it."""
    if pending.state is AppendState.ABANDONED:
        return
    pending.state = AppendState.APPENDED
    pending.offset = offset


def _not_appended_failure(code: ResultCode) -> Failure:
    details = {
        ResultCode.LOG_APPEND_BUDGET_SPENT: "this VM's append budget is exhausted",
        ResultCode.LOG_UNAVAILABLE: "the log service did not accept the record",
    }
    return Failure(
        code,
        details[code],
        retry_after_seconds=RETRY_AFTER_SECONDS,
        run_state_override=RunState.NOT_RUN,
    )
