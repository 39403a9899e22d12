"""Applies the lease stream, and acquires and renews this process's leases."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Optional

import trio
from returns import result

from camphordrift.clocks import ClockReading
from camphordrift.leases._acquisition import record_to_append
from camphordrift.leases._keeper import LeaseKeeper, LeaseSettings, LeaseTerm
from camphordrift.leases._records import (
    LEASE_STREAM,
    LeaseHolder,
    LeaseName,
    LeaseRecord,
    encode_lease_record,
)
from camphordrift.leases._table import LeaseTable
from camphordrift.platform_log import LogRecord
from camphordrift.record_log import RecordLog
from camphordrift.results import Failure

#: Maximum number of seconds between checks of whether a lease must be requested or renewed.
_CHECK_INTERVAL_SECONDS = 1.0

#: Timeout of one append in seconds.
_APPEND_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True)
class LeaseState:
    """One lease in the state dump."""

    #: Name of the lease.
    name: str

    #: VM of the newest holder by the log; ``None`` if no holder is known.
    holder_vm: Optional[str]

    #: Fencing number of the newest holder.
    fencing_number: Optional[int]

    #: Time at which the lease expires by the log's clock, in seconds since 1970.
    expires_at: Optional[float]

    #: Whether this process may send orders under the lease now.
    held_here: bool


class LeaseRunner:
    """Acquires and renews leases for this process while :meth:`run` runs.

    Example::

        runner = LeaseRunner(log, holder, (LeaseName("engine-orders"),), LeaseSettings(), ...)
        nursery.start_soon(runner.run)
        permission = runner.authorize(LeaseName("engine-orders"))
    """

    def __init__(
        self,
        log: RecordLog,
        holder: LeaseHolder,
        names: Sequence[LeaseName],
        settings: LeaseSettings,
        wall_clock: Callable[[], float],
        jitter: random.Random,
    ) -> None:
        self._log = log
        self._settings = settings
        self._wall_clock = wall_clock
        self._jitter = jitter
        self._table = LeaseTable()
        self._keepers = {name: LeaseKeeper(name, holder, settings) for name in names}
        self._appended = 0

    @property
    def appended_count(self) -> int:
        """Number of lease records that were passed to the log, including failed appends."""
        return self._appended

    def authorize(self, name: LeaseName) -> result.Result[LeaseTerm, Failure]:
        """Permits one order to be sent now; fails if this process does not hold the lease."""
        return self._keepers[name].authorize(self.read_clocks())

    def record_superseded(self, name: LeaseName) -> None:
        """Drops a lease because a backend server reported a later holder."""
        self._keepers[name].record_superseded()

    def read_clocks(self) -> ClockReading:
        """Returns the current time by both clocks."""
        return ClockReading(monotonic=trio.current_time(), wall=self._wall_clock())

    async def run(self) -> None:
        """Applies the lease stream, and acquires and renews leases, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._log.follow, LEASE_STREAM, self._apply_record, self._table.record_gap
            )
            for keeper in self._keepers.values():
                nursery.start_soon(self._maintain_lease, keeper)

    async def release_all(self) -> None:
        """Releases all leases for a graceful shutdown; call it when no order is in flight."""
        for keeper in self._keepers.values():
            record = keeper.step_down(self.read_clocks())
            if record is not None:
                await self._append_record(record)

    def dump_state(self) -> tuple[LeaseState, ...]:
        """Returns the state of all leases for the state dump."""
        return tuple(self._state_of(keeper) for keeper in self._keepers.values())

    async def _maintain_lease(self, keeper: LeaseKeeper) -> None:
        while True:
            now = self.read_clocks()
            drift_seconds = self._settings.max_clock_drift_seconds
            record = record_to_append(keeper, self._table, now, drift_seconds)
            if record is not None:
                await self._append_record(record)
            await trio.sleep(_CHECK_INTERVAL_SECONDS * self._jitter.uniform(0.5, 1.0))

    async def _append_record(self, record: LeaseRecord) -> None:
        self._appended += 1
        deadline = trio.current_time() + _APPEND_TIMEOUT_SECONDS
        await self._log.append(LEASE_STREAM, encode_lease_record(record), deadline)

    def _apply_record(self, record: LogRecord) -> None:
        decision = self._table.apply(record)
        if decision is not None and decision.name in self._keepers:
            self._keepers[decision.name].apply_decision(decision, self.read_clocks())

    def _state_of(self, keeper: LeaseKeeper) -> LeaseState:
        holding = self._table.latest_holding(keeper.name)
        return LeaseState(
            name=keeper.name,
            holder_vm=None if holding is None else holding.holder.vm_id,
            fencing_number=None if holding is None else holding.fencing_number,
            expires_at=None if holding is None else holding.expires_at,
            held_here=isinstance(self.authorize(keeper.name), result.Success),
        )
