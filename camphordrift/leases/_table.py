"""The fold over the leases' stream: who holds what, and until when by the log's clock."""

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
    """A lease as the log shows it."""

    #: Who holds it.
    holder: LeaseHolder

    #: Offset of the record by which it was acquired.
    fencing_number: FencingNumber

    #: When it ends, in seconds since 1970 by the log's clock.
    expires_at: float

    #: True if the holder ended it itself, with no order on its way.
    released: bool = False


@dataclass(frozen=True)
class LeaseDecision:
    """What the log's order says of one record, at the record's own offset."""

    #: The record that it is about.
    record_id: str

    #: The lease.
    name: LeaseName

    #: True if the record took effect.
    granted: bool

    #: The lease afterwards; ``None`` if nobody is known to hold it.
    holding: Optional[Holding]

    #: True if an earlier holder's orders may still be on their way when the lease is acquired.
    predecessor_lapsed: bool = False


class LeaseTable:
    """Folds the leases' stream, in the order of the offsets.

    The log's clock alone ends a lease: a record that acquires one takes effect if the log took it
    after the lease before had expired. Every process folds the same stream, so all agree, and a
    fencing number is the offset of the record that acquired.
    """

    def __init__(self) -> None:
        self._holdings: dict[LeaseName, Holding] = {}
        self._next_offset = 0
        self._log_time = float("-inf")
        #: Every record appended later than this is known, by the log's clock.
        self._covered_since = float("-inf")
        self._gap_open = False

    @property
    def next_offset(self) -> int:
        """The offset after the newest record that was folded."""
        return self._next_offset

    @property
    def log_time(self) -> float:
        """The newest time that the log gave a record, in seconds since 1970."""
        return self._log_time

    @property
    def holdings(self) -> dict[LeaseName, Holding]:
        """All leases that were ever seen, with their last holder."""
        return dict(self._holdings)

    def holding(self, name: LeaseName) -> Optional[Holding]:
        """Returns the last known holder of a lease, whether or not it has expired."""
        return self._holdings.get(name)

    def record_gap(self) -> None:
        """Learns that the log dropped records before they were folded."""
        self._gap_open = True

    def apply(self, record: LogRecord) -> Optional[LeaseDecision]:
        """Folds the next record and returns its verdict; ``None`` if it is none or was folded."""
        if record.offset < self._next_offset:
            return None
        if self._gap_open:
            self._covered_since = max(self._covered_since, record.appended_at)
            self._gap_open = False
        self._next_offset = record.offset + 1
        self._log_time = max(self._log_time, record.appended_at)
        asked = decode_lease_record(record.payload)
        if asked is None:
            return None
        return self._decide(asked, record.offset)

    def check_invariants(self) -> None:
        """Raises ``AssertionError`` if the state contradicts itself."""
        for holding in self._holdings.values():
            assert holding.fencing_number < self._next_offset, "a fencing number lies ahead"
            latest = self._log_time + MAX_LEASE_SECONDS
            assert holding.expires_at <= latest, "a lease is longer than permitted"

    def _decide(self, asked: LeaseRecord, offset: int) -> LeaseDecision:
        match asked.action:
            case LeaseAction.ACQUIRE:
                return self._acquire(asked, offset)
            case LeaseAction.RENEW:
                return self._renew(asked)
            case LeaseAction.RELEASE:
                return self._release(asked)

    def _acquire(self, asked: LeaseRecord, offset: int) -> LeaseDecision:
        current = self._holdings.get(asked.name)
        if not self._is_free(current):
            return self._verdict(asked, granted=False)
        self._holdings[asked.name] = Holding(
            holder=asked.holder,
            fencing_number=FencingNumber(offset),
            expires_at=self._log_time + asked.duration_seconds,
        )
        lapsed = current is None or not current.released
        return self._verdict(asked, granted=True, predecessor_lapsed=lapsed)

    def _is_free(self, current: Optional[Holding]) -> bool:
        if self._log_time < self._covered_since + MAX_LEASE_SECONDS:
            return False
        if current is None or current.released:
            return True
        return self._log_time >= current.expires_at

    def _renew(self, asked: LeaseRecord) -> LeaseDecision:
        assert asked.fencing_number is not None, "checked when the record was made"
        current = self._holdings.get(asked.name)
        if current is None or current.fencing_number < asked.fencing_number:
            return self._adopt(asked, asked.fencing_number)
        if not self._is_held_by(current, asked):
            return self._verdict(asked, granted=False)
        expires_at = max(current.expires_at, self._log_time + asked.duration_seconds)
        self._holdings[asked.name] = replace(current, expires_at=expires_at)
        return self._verdict(asked, granted=True)

    def _adopt(self, asked: LeaseRecord, fencing_number: FencingNumber) -> LeaseDecision:
        """Believes a renewal whose acquisition the log has dropped already."""
        if self._covered_since == float("-inf"):
            return self._verdict(asked, granted=False)
        self._holdings[asked.name] = Holding(
            holder=asked.holder,
            fencing_number=fencing_number,
            expires_at=self._log_time + asked.duration_seconds,
        )
        return self._verdict(asked, granted=True)

    def _release(self, asked: LeaseRecord) -> LeaseDecision:
        current = self._holdings.get(asked.name)
        if current is None or not self._is_held_by(current, asked):
            return self._verdict(asked, granted=False)
        self._holdings[asked.name] = replace(current, released=True)
        return self._verdict(asked, granted=True)

    def _is_held_by(self, current: Holding, asked: LeaseRecord) -> bool:
        return (
            current.fencing_number == asked.fencing_number
            and current.holder == asked.holder
            and not current.released
            and self._log_time < current.expires_at
        )

    def _verdict(
        self, asked: LeaseRecord, granted: bool, predecessor_lapsed: bool = False
    ) -> LeaseDecision:
        return LeaseDecision(
            record_id=asked.record_id,
            name=asked.name,
            granted=granted,
            holding=self._holdings.get(asked.name),
            predecessor_lapsed=predecessor_lapsed,
        )
