"""Chooses which records go into the next message, within a budget of bytes."""

import math
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from camphordrift.membership._changes import News, NewsRecord
from camphordrift.membership._records import MemberRecord
from camphordrift.membership._settings import MembershipSettings

#: How often a record is passed on, as a multiple of the logarithm of the number of VMs.
TRANSMISSIONS_FACTOR = 3

#: What a message costs besides its records, in bytes: framing, names, TCP and IP headers.
MESSAGE_BYTES = 110

#: What a record costs at most, in bytes.
RECORD_BYTES = 110


@dataclass
class _Queued:
    """A record that is still passed on."""

    #: The record.
    record: NewsRecord

    #: In how many messages it still goes.
    transmissions: int


class GossipQueue:
    """Passes each change on a few times, and repeats old records with what room is left."""

    def __init__(self, settings: MembershipSettings, now: float) -> None:
        self._settings = settings
        self._queued: dict[Hashable, _Queued] = {}
        self._repeat_from = 0
        self._push_bytes = settings.push_burst_bytes
        self._refilled_at = now

    @property
    def length(self) -> int:
        """Records that are still passed on."""
        return len(self._queued)

    def add(self, news: Sequence[News], vm_count: int) -> None:
        """Queues changes; a newer record of the same subject replaces the older one."""
        transmissions = TRANSMISSIONS_FACTOR * math.ceil(math.log2(vm_count + 1))
        for item in news:
            self._queued[_subject(item.record)] = _Queued(item.record, transmissions)

    def take(self, known: Sequence[MemberRecord]) -> tuple[NewsRecord, ...]:
        """Returns the records for one message; ``known`` are those that may be repeated."""
        fresh = self._take_queued(self._settings.records_per_message)
        room = self._settings.records_per_message - len(fresh)
        repeated = self._repeat(known, min(room, self._settings.repeated_records))
        chosen = {_subject(record): record for record in (*repeated, *fresh)}
        return tuple(chosen.values())

    def try_push(self, record_count: int, target_count: int, now: float) -> bool:
        """Takes the cost of telling some records at once from the budget, if it is there."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        refilled = self._push_bytes + elapsed * self._settings.push_bytes_per_second
        self._push_bytes = min(refilled, self._settings.push_burst_bytes)
        cost = target_count * (MESSAGE_BYTES + record_count * RECORD_BYTES)
        if cost > self._push_bytes:
            return False
        self._push_bytes -= cost
        return True

    def _take_queued(self, count: int) -> list[NewsRecord]:
        """Takes the records that were passed on least often."""
        order = sorted(self._queued.items(), key=lambda item: -item[1].transmissions)[:count]
        for subject, queued in order:
            queued.transmissions -= 1
            if queued.transmissions <= 0:
                del self._queued[subject]
        return [queued.record for _, queued in order]

    def _repeat(self, known: Sequence[MemberRecord], count: int) -> list[NewsRecord]:
        if not known:
            return []
        start = self._repeat_from % len(known)
        self._repeat_from = start + count
        return [known[(start + step) % len(known)] for step in range(min(count, len(known)))]


def _subject(record: NewsRecord) -> Hashable:
    match record:
        case MemberRecord():
            return "vm", record.vm_id
        case _:
            return "server", record.server_id
