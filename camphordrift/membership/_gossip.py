"""Selection of the records that messages carry, and the byte budget for urgent changes."""

import math
from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from camphordrift.membership._changes import GossipRecord, MembershipChange
from camphordrift.membership._records import MemberRecord
from camphordrift.membership._settings import MembershipSettings

#: Number of messages that carry a changed record, as a multiple of the binary logarithm of the
#: number of VMs.
RETRANSMIT_FACTOR = 3

#: Size in bytes of a message without its records: framing, message name, TCP and IP headers.
MESSAGE_OVERHEAD_BYTES = 110

#: Maximum size in bytes of an encoded record, as the push budget counts it.
MAXIMUM_RECORD_BYTES = 110


@dataclass
class _QueuedRecord:
    """A changed record that further messages will carry."""

    #: The newest record of the VM or backend server.
    record: GossipRecord

    #: Number of messages that will still carry the record.
    remaining_transmissions: int


class GossipQueue:
    """Queue of the changed records that messages to other VMs carry.

    Each change is sent a bounded number of times. Free space in a message is filled with known
    records in turn, so that a VM that missed a change receives it eventually.
    """

    def __init__(self, settings: MembershipSettings, now: float) -> None:
        self._settings = settings
        self._queued: dict[Hashable, _QueuedRecord] = {}
        self._repeat_start = 0
        self._push_budget_bytes = settings.push_burst_bytes
        self._refilled_at = now

    @property
    def length(self) -> int:
        """Number of changed records that further messages will carry."""
        return len(self._queued)

    def add(self, changes: Sequence[MembershipChange], vm_count: int) -> None:
        """Queues changed records, each in place of a queued one of the same VM or server."""
        transmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(vm_count + 1))
        for item in changes:
            self._queued[_subject(item.record)] = _QueuedRecord(item.record, transmissions)

    def next_batch(self, known: Sequence[MemberRecord]) -> tuple[GossipRecord, ...]:
        """Returns the records for one message, at most ``records_per_message``.

        ``known`` are the records that may be repeated in the free space of the message.
        """
        queued_records = self._next_queued(self._settings.records_per_message)
        remaining = self._settings.records_per_message - len(queued_records)
        repeated = self._next_repeated(known, min(remaining, self._settings.repeated_records))
        chosen = {_subject(record): record for record in (*repeated, *queued_records)}
        return tuple(chosen.values())

    def try_spend_push_budget(self, record_count: int, target_count: int, now: float) -> bool:
        """Reserves budget to send records to targets at once; returns whether enough was left.

        The budget is a token bucket of ``push_burst_bytes`` that is refilled with
        ``push_bytes_per_second``.
        """
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        refilled = self._push_budget_bytes + elapsed * self._settings.push_bytes_per_second
        self._push_budget_bytes = min(refilled, self._settings.push_burst_bytes)
        cost = target_count * (MESSAGE_OVERHEAD_BYTES + record_count * MAXIMUM_RECORD_BYTES)
        if cost > self._push_budget_bytes:
            return False
        self._push_budget_bytes -= cost
        return True

    def _next_queued(self, count: int) -> list[GossipRecord]:
        """Returns the records with the most transmissions left; counts one transmission of each."""
        order = sorted(self._queued.items(), key=lambda item: -item[1].remaining_transmissions)[
            :count
        ]
        for subject, queued in order:
            queued.remaining_transmissions -= 1
            if queued.remaining_transmissions <= 0:
                del self._queued[subject]
        return [queued.record for _, queued in order]

    def _next_repeated(self, known: Sequence[MemberRecord], count: int) -> list[GossipRecord]:
        if not known:
            return []
        start = self._repeat_start % len(known)
        self._repeat_start = start + count
        return [known[(start + step) % len(known)] for step in range(min(count, len(known)))]


def _subject(record: GossipRecord) -> Hashable:
    match record:
        case MemberRecord():
            return "vm", record.vm_id
        case _:
            return "server", record.server_id
