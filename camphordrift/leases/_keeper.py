"""Tracks whether this process holds one lease and may send orders, and when to renew the lease."""

from dataclasses import dataclass
from typing import Optional

from returns import result

from camphordrift.clocks import ClockReading
from camphordrift.leases._records import (
    MAX_LEASE_SECONDS,
    FencingNumber,
    LeaseAction,
    LeaseHolder,
    LeaseName,
    LeaseRecord,
    new_lease_record_id,
)
from camphordrift.leases._table import LeaseDecision
from camphordrift.results import Failure, ResultCode

#: Maximum number of records of one lease that await a decision. Older records are forgotten, and
#: decisions on them are ignored.
_MAX_PENDING_RECORDS = 8


@dataclass(frozen=True)
class LeaseSettings:
    """Durations of leases. Raises ``ValueError`` if they contradict each other."""

    #: Duration of a lease in seconds, by the log's clock.
    duration_seconds: float = 15.0

    #: Maximum number of seconds by which the log's clock and a VM's clock may drift apart during
    #: one lease.
    max_clock_drift_seconds: float = 1.0

    #: The holder renews the lease once fewer than this many seconds remain.
    renew_before_seconds: float = 9.0

    #: Maximum number of seconds until an order that was sent takes effect; later it never does.
    order_settle_seconds: float = 10.0

    def __post_init__(self) -> None:
        usable = self.duration_seconds - self.max_clock_drift_seconds
        if not 0 < self.renew_before_seconds < usable:
            raise ValueError(
                "renew_before_seconds must be above 0 and below duration less clock drift"
            )
        if self.duration_seconds > MAX_LEASE_SECONDS:
            raise ValueError(f"duration_seconds must not exceed {MAX_LEASE_SECONDS}")


@dataclass(frozen=True)
class LeaseTerm:
    """The period from acquiring a lease to its end, renewals included."""

    #: Sent with every order, so that servers can reject orders of earlier holders.
    fencing_number: FencingNumber

    #: Time until which the holder may send orders.
    usable_until: ClockReading

    #: Time from which orders of earlier holders cannot take effect any more.
    settled_at: ClockReading


@dataclass(frozen=True)
class _PendingRecord:
    """A record that awaits a decision."""

    #: The record as it was returned for appending.
    record: LeaseRecord

    #: When the record was created; the lease cannot have begun earlier.
    created_at: ClockReading


class LeaseKeeper:
    """Decides whether this process holds a lease, counted from the creation of its request.

    The log appends the record after the process created it, so by the log's clock the lease expires
    no earlier than ``created_at`` plus its duration. The keeper subtracts the maximum clock drift.
    After a VM was suspended, at least one of the process's two clocks shows that the lease has
    expired.

    Call :meth:`authorize` right before each order is sent.
    """

    def __init__(self, name: LeaseName, holder: LeaseHolder, settings: LeaseSettings) -> None:
        self._name = name
        self._holder = holder
        self._settings = settings
        self._pending: dict[str, _PendingRecord] = {}
        self._term: Optional[LeaseTerm] = None

    @property
    def name(self) -> LeaseName:
        """Name of the lease."""
        return self._name

    @property
    def holder(self) -> LeaseHolder:
        """The process for which this keeper requests the lease."""
        return self._holder

    @property
    def term(self) -> Optional[LeaseTerm]:
        """The newest granted term, which may have expired; ``None`` if there is none."""
        return self._term

    def authorize(self, now: ClockReading) -> result.Result[LeaseTerm, Failure]:
        """Returns the term under which an order may be sent now; fails if the lease is not held."""
        if self._term is None:
            detail = f"this VM does not hold the lease {self._name}"
            return result.Failure(Failure(ResultCode.LEASE_HELD_BY_OTHER, detail))
        if now.is_past(self._term.usable_until):
            detail = f"the lease {self._name} expired before the order was sent"
            return result.Failure(Failure(ResultCode.LEASE_LAPSED, detail))
        return result.Success(self._term)

    def next_record(self, now: ClockReading) -> Optional[LeaseRecord]:
        """Returns the record to append now, which acquires or renews; ``None`` if none is due."""
        if self._term is not None and now.is_past(self._term.usable_until):
            self._term = None
        if self._term is None:
            return self._new_pending_record(LeaseAction.ACQUIRE, None, now)
        renew_from = self._term.usable_until.plus(-self._settings.renew_before_seconds)
        if not now.is_past(renew_from):
            return None
        return self._new_pending_record(LeaseAction.RENEW, self._term.fencing_number, now)

    def step_down(self, now: ClockReading) -> Optional[LeaseRecord]:
        """Gives up the lease; returns the record that releases it, if it is still held.

        Call this only when no order is in flight.
        """
        term, self._term = self._term, None
        self._pending.clear()
        if term is None or now.is_past(term.usable_until):
            return None
        return self._new_record(LeaseAction.RELEASE, term.fencing_number)

    def record_superseded(self) -> None:
        """Drops the lease because a backend server reported a later holder."""
        self._term = None
        self._pending.clear()

    def apply_decision(self, decision: LeaseDecision, now: ClockReading) -> None:
        """Applies the decision on a record of this process; ignores decisions on other records."""
        pending = self._pending.pop(decision.record_id, None)
        if pending is None:
            return
        if decision.granted and decision.holding is not None:
            self._term = self._new_term(decision.holding.fencing_number, pending, decision, now)
        elif self._term is not None and pending.record.fencing_number == self._term.fencing_number:
            self._term = None

    def _new_term(
        self,
        fencing_number: FencingNumber,
        pending: _PendingRecord,
        decision: LeaseDecision,
        now: ClockReading,
    ) -> LeaseTerm:
        settings = self._settings
        usable_seconds = settings.duration_seconds - settings.max_clock_drift_seconds
        return LeaseTerm(
            fencing_number=fencing_number,
            usable_until=pending.created_at.plus(usable_seconds),
            settled_at=self._settled_at(fencing_number, decision, now),
        )

    def _settled_at(
        self, fencing_number: FencingNumber, decision: LeaseDecision, now: ClockReading
    ) -> ClockReading:
        if self._term is not None and self._term.fencing_number == fencing_number:
            return self._term.settled_at
        if not decision.predecessor_expired:
            return now
        wait_seconds = self._settings.order_settle_seconds + self._settings.max_clock_drift_seconds
        return now.plus(wait_seconds)

    def _new_pending_record(
        self, action: LeaseAction, fencing_number: Optional[FencingNumber], now: ClockReading
    ) -> LeaseRecord:
        record = self._new_record(action, fencing_number)
        self._pending[record.record_id] = _PendingRecord(record=record, created_at=now)
        while len(self._pending) > _MAX_PENDING_RECORDS:
            del self._pending[next(iter(self._pending))]
        return record

    def _new_record(
        self, action: LeaseAction, fencing_number: Optional[FencingNumber]
    ) -> LeaseRecord:
        return LeaseRecord(
            action=action,
            name=self._name,
            holder=self._holder,
            duration_seconds=self._settings.duration_seconds,
            record_id=new_lease_record_id(),
            fencing_number=fencing_number,
        )
