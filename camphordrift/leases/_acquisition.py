"""Decides when a process requests a lease, so that a waiting process appends few records."""

from typing import Optional

from camphordrift.clocks import ClockReading
from camphordrift.leases._keeper import LeaseKeeper
from camphordrift.leases._records import LeaseRecord
from camphordrift.leases._table import Holding, LeaseTable


def record_to_append(
    keeper: LeaseKeeper, table: LeaseTable, now: ClockReading, max_clock_drift_seconds: float
) -> Optional[LeaseRecord]:
    """Returns the record to append now; ``None`` while another process certainly holds the lease.

    The table is used only to avoid appending records that would be rejected. Whether a record takes
    effect is decided by its position in the log.
    """
    holding = table.latest_holding(keeper.name)
    if keeper.term is None and _held_by_another(keeper, holding, now, max_clock_drift_seconds):
        return None
    return keeper.next_record(now)


def _held_by_another(
    keeper: LeaseKeeper,
    holding: Optional[Holding],
    now: ClockReading,
    max_clock_drift_seconds: float,
) -> bool:
    if holding is None or holding.released or holding.holder == keeper.holder:
        return False
    return now.wall < holding.expires_at + max_clock_drift_seconds
