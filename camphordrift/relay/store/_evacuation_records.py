"""Reads the operator's records that evacuate availability zones.

They are in the topic of the configuration, so the reads of the configuration return them as well.
"""

from collections.abc import Callable, Iterable
from typing import Optional

from camphordrift.relay.model import Batch, KeyedRecord
from camphordrift.relay.servers import ZoneEvacuations, ZoneStatement

#: Seconds after the first read of a restored store in which the lack of an evacuation proves
#: nothing. The operator writes again within about two seconds (PROTOCOL.md); the rest is a margin
#: for reading it.
REWRITE_PERIOD = 3.0


class EvacuationRecords:
    """Turns records into statements, and passes on those that the VM does not know.

    A zone is taken back by a record without a value, or by a snapshot that lacks the zone's record.
    A store that was restored from an older copy may lack an evacuation that it had acknowledged, or
    contain an earlier removal instead. For :data:`REWRITE_PERIOD` after its first read of the
    restored store, a VM therefore takes back no zone whose evacuation it knows from before.

    Args:
        key_prefix: What the records' keys have before the name of the zone.
        delay: Maximum seconds after the acknowledgement of a record until it is in force.
        evacuations: What this VM knows, also from other VMs.
        on_statements: Called with new statements; merges them into ``evacuations``.

    """

    def __init__(
        self,
        key_prefix: str,
        delay: float,
        evacuations: ZoneEvacuations,
        on_statements: Callable[[list[ZoneStatement]], None],
    ) -> None:
        self._key_prefix = key_prefix
        self.delay = delay
        self._evacuations = evacuations
        self._on_statements = on_statements
        #: Positions of the zones' newest records with a value that this VM itself has read.
        self._read_positions: dict[str, tuple[int, int]] = {}
        #: Era of the last batch, and when the first read of that era began.
        self._era: Optional[int] = None
        self._era_read_at = float("inf")

    def apply_batch(self, batch: Batch, is_snapshot: bool, read_started: float) -> bool:
        """Applies the records of a read; returns whether the next read must be a snapshot.

        It must if another VM told of an evacuation of which this VM has read no record, although it
        has read all records since. The record may have been removed before that.

        Args:
            batch: The records.
            is_snapshot: Whether they are the newest ones of all keys.
            read_started: Time of the read, in seconds of a monotonic clock.

        """
        if batch.era != self._era:
            self._era, self._era_read_at = batch.era, read_started
        if is_snapshot:
            self._read_positions.clear()
        is_settled = read_started >= self._era_read_at + REWRITE_PERIOD
        for record in sorted(batch.records, key=lambda item: item.offset):
            self._apply_record(record, batch.era, is_settled)
        if not batch.complete:
            return False
        unread = [item for item in self._unread(batch) if is_settled or item.era == batch.era]
        if not is_snapshot:
            return bool(unread)
        end = batch.next_offset - 1
        self._state([ZoneStatement(item.zone, False, batch.era, end) for item in unread])
        return False

    def _apply_record(self, record: KeyedRecord, era: int, is_settled: bool) -> None:
        zone = record.key.removeprefix(self._key_prefix)
        if zone in (record.key, ""):
            return
        statement = ZoneStatement(zone, bool(record.value), era, record.offset)
        if statement.evacuated:
            self._read_positions[zone] = statement.position
            self._state([statement])
            return
        self._read_positions.pop(zone, None)
        if any(
            known.zone == zone and known.evacuated and (is_settled or known.era == era)
            for known in self._evacuations.statements
        ):
            self._state([statement])

    def _unread(self, batch: Batch) -> Iterable[ZoneStatement]:
        """Yields evacuations that a read up to this point should have shown, but has not."""
        for known in self._evacuations.statements:
            is_covered = known.position < (batch.era, batch.next_offset)
            was_read = self._read_positions.get(known.zone) == known.position
            if known.evacuated and is_covered and not was_read:
                yield known

    def _state(self, statements: list[ZoneStatement]) -> None:
        if statements:
            self._on_statements(statements)
