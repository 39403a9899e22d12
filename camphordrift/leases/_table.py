"""The state of all leases, replayed from the lease stream."""

from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.leases._records import (
    MAX_LEASE_SECONDS,
    FencingNumber,
    LeaseAction,
    LeaseHolder,
    LeaseName,
    LeaseRecord,
    decode_lease_record,
)
from camphordrift.platform_log import LogRecord


@dataclass(frozen=True)
class Holding:
    """The newest holder of a lease, according to the log."""

    #: The process that acquired the lease.
    holder: LeaseHolder

    #: Offset of the record that acquired the lease.
    fencing_number: FencingNumber

    #: Time at which the lease expires by the log's clock, in seconds since 1970.
    expires_at: float

    #: Whether the holder released the lease, with no order in flight.
    released: bool = False


@dataclass(frozen=True)
class LeaseDecision:
    """Whether one record took effect, decided at its position in the log."""

    #: Id of the record.
    record_id: str

    #: The lease that the record requests.
    name: LeaseName

    #: Whether the record took effect.
    granted: bool

    #: State of the lease after the record; ``None`` if no holder is known.
    holding: Optional[Holding]

    #: Whether orders of an earlier holder may still be in flight when the lease is acquired: that
    #: holder is unknown, or its lease expired without a release.
    predecessor_expired: bool = False


class LeaseTable:
    """Applies the records of the lease stream in offset order.

    Leases expire by the log's clock alone: a record that acquires a lease takes effect if the log
    appended it after the previous lease had expired or was released. Every process applies the same
    records in the same order, so all come to the same decisions. The fencing number is the offset
    of the record that acquired the lease.
    """

    def __init__(self) -> None:
        self._holdings: dict[LeaseName, Holding] = {}
        self._next_offset = 0
        self._log_time = float("-inf")
        # All records that the log appended after this time were applied: none was dropped unseen.
        self._complete_since = float("-inf")
        self._gap_pending = False

    @property
    def next_offset(self) -> int:
        """Offset after the newest record that was applied."""
        return self._next_offset

    @property
    def log_time(self) -> float:
        """Newest append time of an applied record, by the log's clock in seconds since 1970."""
        return self._log_time

    @property
    def holdings(self) -> dict[LeaseName, Holding]:
        """Returns a copy of all known leases with their newest holders."""
        return dict(self._holdings)

    def latest_holding(self, name: LeaseName) -> Optional[Holding]:
        """Returns the newest holder of a lease, expired or not; ``None`` if none is known."""
        return self._holdings.get(name)

    def record_gap(self) -> None:
        """Records that the log dropped records before they were applied.

        No lease is granted until every lease that such a record may have acquired has expired.
        """
        self._gap_pending = True

    def apply(self, record: LogRecord) -> Optional[LeaseDecision]:
        """Applies the next record and returns the decision on it.

        Returns ``None`` for a record that was applied before or cannot be decoded.
        """
        if record.offset < self._next_offset:
            return None
        if self._gap_pending:
            self._complete_since = max(self._complete_since, record.appended_at)
            self._gap_pending = False
        self._next_offset = record.offset + 1
        self._log_time = max(self._log_time, record.appended_at)
        request = decode_lease_record(record.payload)
        if request is None:
            return None
        return self._decide(request, record.offset)

    def check_invariants(self) -> None:
        """Raises ``AssertionError`` if a fencing number or an expiry is impossible."""
        for holding in self._holdings.values():
            assert (
                holding.fencing_number < self._next_offset
            ), "fencing number is not below the next offset"
            latest = self._log_time + MAX_LEASE_SECONDS
            assert (
                holding.expires_at <= latest
            ), "lease expires later than the maximum duration permits"

    def _decide(self, request: LeaseRecord, offset: int) -> LeaseDecision:
        match request.action:
            case LeaseAction.ACQUIRE:
                return self._decide_acquisition(request, offset)
            case LeaseAction.RENEW:
                return self._decide_renewal(request)
            case LeaseAction.RELEASE:
                return self._decide_release(request)

    def _decide_acquisition(self, request: LeaseRecord, offset: int) -> LeaseDecision:
        current = self._holdings.get(request.name)
        if not self._is_free(current):
            return self._new_decision(request, granted=False)
        self._holdings[request.name] = Holding(
            holder=request.holder,
            fencing_number=FencingNumber(offset),
            expires_at=self._log_time + request.duration_seconds,
        )
        expired = current is None or not current.released
        return self._new_decision(request, granted=True, predecessor_expired=expired)

    def _is_free(self, current: Optional[Holding]) -> bool:
        if self._log_time < self._complete_since + MAX_LEASE_SECONDS:
            return False
        if current is None or current.released:
            return True
        return self._log_time >= current.expires_at

    def _decide_renewal(self, request: LeaseRecord) -> LeaseDecision:
        assert request.fencing_number is not None, "a record that renews has a fencing number"
        current = self._holdings.get(request.name)
        if current is None or current.fencing_number < request.fencing_number:
            return self._decide_unknown_renewal(request, request.fencing_number)
        if not self._is_held_by(current, request):
            return self._new_decision(request, granted=False)
        expires_at = max(current.expires_at, self._log_time + request.duration_seconds)
        self._holdings[request.name] = replace(current, expires_at=expires_at)
        return self._new_decision(request, granted=True)

    def _decide_unknown_renewal(
        self, request: LeaseRecord, fencing_number: FencingNumber
    ) -> LeaseDecision:
        """Decides on a renewal of an unknown lease.

        It is granted if the log may have dropped the record that acquired the lease.
        """
        if self._complete_since == float("-inf"):
            return self._new_decision(request, granted=False)
        self._holdings[request.name] = Holding(
            holder=request.holder,
            fencing_number=fencing_number,
            expires_at=self._log_time + request.duration_seconds,
        )
        return self._new_decision(request, granted=True)

    def _decide_release(self, request: LeaseRecord) -> LeaseDecision:
        current = self._holdings.get(request.name)
        if current is None or not self._is_held_by(current, request):
            return self._new_decision(request, granted=False)
        self._holdings[request.name] = replace(current, released=True)
        return self._new_decision(request, granted=True)

    def _is_held_by(self, current: Holding, request: LeaseRecord) -> bool:
        return (
            current.fencing_number == request.fencing_number
            and current.holder == request.holder
            and not current.released
            and self._log_time < current.expires_at
        )

    def _new_decision(
        self, request: LeaseRecord, granted: bool, predecessor_expired: bool = False
    ) -> LeaseDecision:
        return LeaseDecision(
            record_id=request.record_id,
            name=request.name,
            granted=granted,
            holding=self._holdings.get(request.name),
            predecessor_expired=predecessor_expired,
        )
