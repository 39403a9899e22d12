"""Appends records to the log in the background, so that the caller's response is not delayed."""

import random

import trio
from returns import result

from camphordrift.calls._partitions import claim_stream, partition_of_key
from camphordrift.calls._record_codec import encode_call_record
from camphordrift.calls._records import OutcomeRecord, VoidRecord
from camphordrift.record_log import RecordLog

#: Maximum number of pending records; at this number no further claims are made.
MAX_PENDING_RECORDS = 2000

#: Timeout in seconds of one append.
_APPEND_TIMEOUT_SECONDS = 5.0

#: Seconds before the first retry; the delay doubles with each retry up to the maximum.
_INITIAL_DELAY_SECONDS = 0.2
_MAX_DELAY_SECONDS = 5.0


class BackgroundAppender:
    """Appends outcome records and void records, which cancel unused claims.

    An append that fails is retried with exponential backoff until the log has stored the record.
    A record may be appended twice if a response is lost; the ledger ignores the second copy.
    """

    def __init__(self, log: RecordLog, jitter: random.Random) -> None:
        self._log = log
        self._jitter = jitter
        self._pending: dict[str, OutcomeRecord | VoidRecord] = {}
        self._unstarted: list[OutcomeRecord | VoidRecord] = []
        self._record_added = trio.Event()
        self._all_stored = trio.Event()
        self._all_stored.set()
        self._retries = 0

    @property
    def pending_count(self) -> int:
        """Number of records that the log has not stored yet."""
        return len(self._pending)

    @property
    def retry_count(self) -> int:
        """Number of failed appends since the start of the process; each is retried."""
        return self._retries

    @property
    def is_full(self) -> bool:
        """True if no further calls should be claimed until the log stores records again."""
        return len(self._pending) >= MAX_PENDING_RECORDS

    def add(self, record: OutcomeRecord | VoidRecord) -> None:
        """Queues a record for appending. Does not wait."""
        self._pending[record.record_id] = record
        self._unstarted.append(record)
        self._record_added.set()
        if self._all_stored.is_set():
            self._all_stored = trio.Event()

    async def wait_until_empty(self) -> None:
        """Waits until the log has stored every record."""
        while self._pending:
            await self._all_stored.wait()

    async def run(self) -> None:
        """Appends queued records until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for record in self._pop_unstarted():
                    nursery.start_soon(self._append_with_retries, record)
                await self._record_added.wait()

    def _pop_unstarted(self) -> list[OutcomeRecord | VoidRecord]:
        records = self._unstarted
        self._unstarted = []
        self._record_added = trio.Event()
        return records

    async def _append_with_retries(self, record: OutcomeRecord | VoidRecord) -> None:
        stream = claim_stream(partition_of_key(record.key))
        payload = encode_call_record(record)
        delay = _INITIAL_DELAY_SECONDS
        while True:
            deadline = trio.current_time() + _APPEND_TIMEOUT_SECONDS
            match await self._log.append(stream, payload, deadline):
                case result.Success(_):
                    break
            self._retries += 1
            await trio.sleep(delay * self._jitter.uniform(0.5, 1.0))
            delay = min(delay * 2, _MAX_DELAY_SECONDS)
        del self._pending[record.record_id]
        if not self._pending:
            self._all_stored.set()
