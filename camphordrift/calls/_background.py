"""Appends records that must reach the log sometime, without holding a caller up."""

import random

import trio
from returns import result

from camphordrift.calls._partitions import claim_partition, claim_stream
from camphordrift.calls._record_codec import encode_call_record
from camphordrift.calls._records import OutcomeRecord, VoidRecord
from camphordrift.record_log import RecordLog

#: Records that may wait; above this no further claim is made.
MAX_PENDING_RECORDS = 2000

#: Time given to one append, in seconds.
_APPEND_TIMEOUT_SECONDS = 5.0

#: The first delay between two tries, in seconds; it doubles up to the largest.
_FIRST_DELAY_SECONDS = 0.2
_LARGEST_DELAY_SECONDS = 5.0


class BackgroundAppender:
    """Retries outcomes and voids until the log has taken them.

    A record may be appended twice if an answer is lost; the fold ignores the second.
    """

    def __init__(self, log: RecordLog, jitter: random.Random) -> None:
        self._log = log
        self._jitter = jitter
        self._pending: dict[str, OutcomeRecord | VoidRecord] = {}
        self._unstarted: list[OutcomeRecord | VoidRecord] = []
        self._arrived = trio.Event()
        self._emptied = trio.Event()
        self._emptied.set()
        self._retries = 0

    @property
    def pending_count(self) -> int:
        """Records that the log has not taken yet."""
        return len(self._pending)

    @property
    def retry_count(self) -> int:
        """How often an append was tried again."""
        return self._retries

    @property
    def is_full(self) -> bool:
        """True if no further claims should be made until the log takes records again."""
        return len(self._pending) >= MAX_PENDING_RECORDS

    def add(self, record: OutcomeRecord | VoidRecord) -> None:
        """Takes a record over. Does not wait."""
        self._pending[record.record_id] = record
        self._unstarted.append(record)
        self._arrived.set()
        if self._emptied.is_set():
            self._emptied = trio.Event()

    async def wait_until_empty(self) -> None:
        """Waits until the log has taken every record."""
        while self._pending:
            await self._emptied.wait()

    async def run(self) -> None:
        """Appends what was added, for ever."""
        async with trio.open_nursery() as nursery:
            while True:
                for record in self._take_unstarted():
                    nursery.start_soon(self._append_until_taken, record)
                await self._arrived.wait()

    def _take_unstarted(self) -> list[OutcomeRecord | VoidRecord]:
        records = self._unstarted
        self._unstarted = []
        self._arrived = trio.Event()
        return records

    async def _append_until_taken(self, record: OutcomeRecord | VoidRecord) -> None:
        stream = claim_stream(claim_partition(record.key))
        payload = encode_call_record(record)
        delay = _FIRST_DELAY_SECONDS
        while True:
            deadline = trio.current_time() + _APPEND_TIMEOUT_SECONDS
            match await self._log.append(stream, payload, deadline):
                case result.Success(_):
                    break
            self._retries += 1
            await trio.sleep(delay * self._jitter.uniform(0.5, 1.0))
            delay = min(delay * 2, _LARGEST_DELAY_SECONDS)
        del self._pending[record.record_id]
        if not self._pending:
            self._emptied.set()
