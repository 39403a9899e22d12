"""A process's own view of one lease: whether it may act now, and when to renew."""

from dataclasses import dataclass
from typing import Optional

from returns import result

from camphordrift.clocks import TwoClocks
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

#: How many unanswered records of one lease are remembered; the verdict on an older one is ignored.
_REMEMBERED_RECORDS = 8


@dataclass(frozen=True)
class LeaseSettings:
    """Times of leases."""

    #: How long a lease lasts by the log's clock, in seconds.
    duration_seconds: float = 15.0

    #: The most that the log's clock and a VM's clock may drift apart during one lease, in seconds.
    max_clock_drift_seconds: float = 1.0

    #: Time left at which the holder renews, in seconds.
    renew_before_seconds: float = 9.0

    #: An order that was sent takes effect within this time or never, in seconds.
    order_settle_seconds: float = 10.0

    def __post_init__(self) -> None:
        usable = self.duration_seconds - self.max_clock_drift_seconds
        if not 0 < self.renew_before_seconds < usable:
            raise ValueError("renew_before_seconds must lie within the usable part of the lease")
        if self.duration_seconds > MAX_LEASE_SECONDS:
            raise ValueError(f"duration_seconds must not exceed {MAX_LEASE_SECONDS}")


@dataclass(frozen=True)
class LeaseTerm:
    """The lease as its holder may use it."""

    #: To be sent with every order.
    fencing_number: FencingNumber

    #: The holder acts only before this moment.
    usable_until: TwoClocks

    #: Before this moment an earlier holder's orders may still take effect.
    settled_at: TwoClocks


@dataclass(frozen=True)
class _Asked:
    """A record whose verdict is awaited."""

    #: The record.
    record: LeaseRecord

    #: When it was made; the lease cannot have begun earlier.
    asked_at: TwoClocks


class LeaseKeeper:
    """Decides whether this process holds a lease, counting from before it asked for it.

    The log takes the record after the process made it, so the lease by the log's clock ends no
    earlier than ``asked_at`` plus its duration; the largest clock drift is taken off. A process
    that was paused finds its term past by one of its clocks.

    Ask :meth:`authorize` right before every order is sent.
    """

    def __init__(self, name: LeaseName, holder: LeaseHolder, settings: LeaseSettings) -> None:
        self._name = name
        self._holder = holder
        self._settings = settings
        self._asked: dict[str, _Asked] = {}
        self._term: Optional[LeaseTerm] = None

    @property
    def name(self) -> LeaseName:
        """The lease."""
        return self._name

    @property
    def holder(self) -> LeaseHolder:
        """The process that holds the lease or wants it."""
        return self._holder

    @property
    def term(self) -> Optional[LeaseTerm]:
        """The term as last granted; it may be past."""
        return self._term

    def authorize(self, now: TwoClocks) -> result.Result[LeaseTerm, Failure]:
        """Permits one order to be sent now, under the term's fencing number."""
        if self._term is None:
            detail = f"this VM does not hold the lease {self._name}"
            return result.Failure(Failure(ResultCode.LEASE_HELD_BY_OTHER, detail))
        if now.is_past(self._term.usable_until):
            detail = f"the lease {self._name} ran out before the order was sent"
            return result.Failure(Failure(ResultCode.LEASE_LAPSED, detail))
        return result.Success(self._term)

    def next_record(self, now: TwoClocks) -> Optional[LeaseRecord]:
        """Returns the record to append now: one that acquires or renews, or none yet."""
        if self._term is not None and now.is_past(self._term.usable_until):
            self._term = None
        if self._term is None:
            return self._ask(LeaseAction.ACQUIRE, None, now)
        renew_from = self._term.usable_until.plus(-self._settings.renew_before_seconds)
        if not now.is_past(renew_from):
            return None
        return self._ask(LeaseAction.RENEW, self._term.fencing_number, now)

    def step_down(self, now: TwoClocks) -> Optional[LeaseRecord]:
        """Stops acting; returns the record that frees the lease, if it is still held.

        Call it once every order has been answered.
        """
        term, self._term = self._term, None
        self._asked.clear()
        if term is None or now.is_past(term.usable_until):
            return None
        return self._record(LeaseAction.RELEASE, term.fencing_number)

    def record_superseded(self) -> None:
        """Learns from a backend server that a later holder exists."""
        self._term = None
        self._asked.clear()

    def apply_decision(self, verdict: LeaseDecision, now: TwoClocks) -> None:
        """Takes the log's verdict on a record of this process; ignores all others."""
        asked = self._asked.pop(verdict.record_id, None)
        if asked is None:
            return
        if verdict.granted and verdict.holding is not None:
            self._term = self._new_term(verdict.holding.fencing_number, asked, verdict, now)
        elif self._term is not None and asked.record.fencing_number == self._term.fencing_number:
            self._term = None

    def _new_term(
        self,
        fencing_number: FencingNumber,
        asked: _Asked,
        verdict: LeaseDecision,
        now: TwoClocks,
    ) -> LeaseTerm:
        settings = self._settings
        usable_seconds = settings.duration_seconds - settings.max_clock_drift_seconds
        return LeaseTerm(
            fencing_number=fencing_number,
            usable_until=asked.asked_at.plus(usable_seconds),
            settled_at=self._settled_at(fencing_number, verdict, now),
        )

    def _settled_at(
        self, fencing_number: FencingNumber, verdict: LeaseDecision, now: TwoClocks
    ) -> TwoClocks:
        if self._term is not None and self._term.fencing_number == fencing_number:
            return self._term.settled_at
        if not verdict.predecessor_lapsed:
            return now
        wait_seconds = self._settings.order_settle_seconds + self._settings.max_clock_drift_seconds
        return now.plus(wait_seconds)

    def _ask(
        self, action: LeaseAction, fencing_number: Optional[FencingNumber], now: TwoClocks
    ) -> LeaseRecord:
        record = self._record(action, fencing_number)
        self._asked[record.record_id] = _Asked(record=record, asked_at=now)
        while len(self._asked) > _REMEMBERED_RECORDS:
            del self._asked[next(iter(self._asked))]
        return record

    def _record(self, action: LeaseAction, fencing_number: Optional[FencingNumber]) -> LeaseRecord:
        return LeaseRecord(
            action=action,
            name=self._name,
            holder=self._holder,
            duration_seconds=self._settings.duration_seconds,
            record_id=new_lease_record_id(),
            fencing_number=fencing_number,
        )
