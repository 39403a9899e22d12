"""The decisions on appends that wait, are under way, or have lost their answer."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Optional

from returns import result

from camphordrift.platform_log._envelope import RecordId
from camphordrift.results import Failure, ResultCode, RunState

#: When to ask again after an append that surely did not happen, in seconds.
RETRY_AFTER_SECONDS = 1.0


class AppendState(Enum):
    """How far one append has come."""

    #: Surely not in the log.
    WAITING = "waiting"

    #: Sent, no answer yet.
    IN_FLIGHT = "in_flight"

    #: Sent, and the answer was lost.
    UNSURE = "unsure"

    #: In the log.
    APPENDED = "appended"

    #: Nobody waits for it any more.
    ABANDONED = "abandoned"


@dataclass
class PendingAppend:
    """One caller's record on its way into the log."""

    #: The record's id.
    record_id: RecordId

    #: The envelope, encoded.
    encoded: bytes

    #: How far it has come.
    state: AppendState = AppendState.WAITING

    #: Where it stands in the stream, once known.
    offset: Optional[int] = None

    #: Why it last went back to waiting.
    last_refusal: ResultCode = ResultCode.LOG_UNAVAILABLE


@dataclass
class AppendQueue:
    """The appends of one stream.

    Only a record in ``WAITING`` may be reported as surely not appended: a record whose answer was
    lost never returns to that state, because it can still take effect.
    """

    #: The most records and bytes of one batch.
    batch_records: int
    batch_bytes: int

    _waiting: list[PendingAppend] = field(default_factory=list)

    @property
    def waiting_count(self) -> int:
        """Records that are not under way."""
        return len(self._waiting)

    def add(self, record_id: RecordId, encoded: bytes) -> PendingAppend:
        """Takes a record in."""
        pending = PendingAppend(record_id, encoded)
        self._waiting.append(pending)
        return pending

    def take_batch(self) -> tuple[PendingAppend, ...]:
        """Returns the records to append next, oldest first, and marks them as under way."""
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
        """Notes why the records still wait."""
        for pending in self._waiting:
            pending.last_refusal = ResultCode.LOG_APPEND_BUDGET_SPENT

    def on_appended(self, batch: tuple[PendingAppend, ...], first_offset: int) -> None:
        """Notes that the batch is in the log."""
        for index, pending in enumerate(batch):
            settle(pending, first_offset + index)

    def on_refused(self, batch: tuple[PendingAppend, ...], code: ResultCode) -> None:
        """Puts a batch that surely was not appended back in front."""
        returned = [pending for pending in batch if pending.state is AppendState.IN_FLIGHT]
        for pending in returned:
            pending.state = AppendState.WAITING
            pending.last_refusal = code
        self._waiting[:0] = returned

    def on_unsure(self, batch: tuple[PendingAppend, ...]) -> None:
        """Notes that the batch may or may not be in the log."""
        for pending in batch:
            if pending.state is AppendState.IN_FLIGHT:
                pending.state = AppendState.UNSURE

    def conclude(self, pending: PendingAppend) -> result.Result[int, Failure]:
        """Returns what the caller is told, at the latest at its deadline; it is final."""
        if pending.offset is not None:
            return result.Success(pending.offset)
        was_waiting = pending.state is AppendState.WAITING
        self.abandon(pending)
        if was_waiting:
            return result.Failure(_not_appended(pending.last_refusal))
        return result.Failure(
            Failure(ResultCode.LOG_APPEND_UNSURE, "the log did not say whether it took the record")
        )

    def abandon(self, pending: PendingAppend) -> None:
        """Gives a record up; it is not sent (again)."""
        if pending.state is AppendState.WAITING:
            self._waiting.remove(pending)
        if pending.state is not AppendState.APPENDED:
            pending.state = AppendState.ABANDONED


def settle(pending: PendingAppend, offset: int) -> None:
    """Notes where a record stands; the first place counts."""
    if pending.state is AppendState.ABANDONED:
        return
    pending.state = AppendState.APPENDED
    pending.offset = offset


def _not_appended(code: ResultCode) -> Failure:
    details = {
        ResultCode.LOG_APPEND_BUDGET_SPENT: "this VM's appends per second are used up",
        ResultCode.LOG_UNAVAILABLE: "the log service did not take the record",
    }
    return Failure(
        code,
        details[code],
        retry_after_seconds=RETRY_AFTER_SECONDS,
        run_state_override=RunState.NOT_RUN,
    )
