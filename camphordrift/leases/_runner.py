"""Keeps leases: follows the leases' stream, acquires and renews."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Optional

import trio
from returns import result

from camphordrift.clocks import TwoClocks
from camphordrift.leases._asking import record_to_append
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

#: How often a process looks whether it has to ask, in seconds.
_CHECK_SECONDS = 1.0

#: Time given to one append, in seconds.
_APPEND_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True)
class LeaseState:
    """What a state dump shows of one lease."""

    #: The lease.
    name: str

    #: The VM that holds it by the log; ``None`` if nobody ever did.
    holder_vm: Optional[str]

    #: The newest fencing number.
    fencing_number: Optional[int]

    #: When it ends by the log's clock, in seconds since 1970.
    expires_at: Optional[float]

    #: True if this process may act under it now.
    held_here: bool


class LeaseRunner:
    """Keeps some leases for this process as long as :meth:`run` runs.

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
        """Records given to the log since the start of the process."""
        return self._appended

    def authorize(self, name: LeaseName) -> result.Result[LeaseTerm, Failure]:
        """Permits one order under the lease to be sent now."""
        return self._keepers[name].authorize(self.read_clocks())

    def record_superseded(self, name: LeaseName) -> None:
        """Learns from a backend server that a later holder exists."""
        self._keepers[name].record_superseded()

    def read_clocks(self) -> TwoClocks:
        """Returns this moment by both clocks."""
        return TwoClocks(monotonic=trio.current_time(), wall=self._wall_clock())

    async def run(self) -> None:
        """Follows the stream, acquires and renews, for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._log.follow, LEASE_STREAM, self._fold, self._table.record_gap)
            for keeper in self._keepers.values():
                nursery.start_soon(self._keep, keeper)

    async def release_all(self) -> None:
        """Ends all leases before a planned stop; call it once every order is answered."""
        for keeper in self._keepers.values():
            record = keeper.step_down(self.read_clocks())
            if record is not None:
                await self._append(record)

    def dump_state(self) -> tuple[LeaseState, ...]:
        """Returns what a state dump shows."""
        return tuple(self._state_of(keeper) for keeper in self._keepers.values())

    async def _keep(self, keeper: LeaseKeeper) -> None:
        while True:
            now = self.read_clocks()
            drift_seconds = self._settings.max_clock_drift_seconds
            record = record_to_append(keeper, self._table, now, drift_seconds)
            if record is not None:
                await self._append(record)
            await trio.sleep(_CHECK_SECONDS * self._jitter.uniform(0.5, 1.0))

    async def _append(self, record: LeaseRecord) -> None:
        self._appended += 1
        deadline = trio.current_time() + _APPEND_TIMEOUT_SECONDS
        await self._log.append(LEASE_STREAM, encode_lease_record(record), deadline)

    def _fold(self, record: LogRecord) -> None:
        verdict = self._table.apply(record)
        if verdict is not None and verdict.name in self._keepers:
            self._keepers[verdict.name].apply_decision(verdict, self.read_clocks())

    def _state_of(self, keeper: LeaseKeeper) -> LeaseState:
        holding = self._table.holding(keeper.name)
        return LeaseState(
            name=keeper.name,
            holder_vm=None if holding is None else holding.holder.vm_id,
            fencing_number=None if holding is None else holding.fencing_number,
            expires_at=None if holding is None else holding.expires_at,
            held_here=isinstance(self.authorize(keeper.name), result.Success),
        )
