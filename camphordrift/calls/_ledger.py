"""Applies the records of a claims stream and decides which claims are granted."""

from dataclasses import dataclass
from typing import Optional

from sortedcontainers import SortedKeyList

from camphordrift.calls._key_entry import KeyEntry
from camphordrift.calls._key_state import (
    KeyFree,
    KeyFromFuture,
    KeyRunning,
    KeyState,
    KeyTooOld,
    KeyUndecidable,
)
from camphordrift.calls._keys import KEY_MAX_AHEAD_SECONDS, CallKey
from camphordrift.calls._record_codec import ClaimRecordTooNewError, decode_call_record
from camphordrift.calls._records import ClaimRecord, HeartbeatRecord, OutcomeRecord, VoidRecord
from camphordrift.platform_log import LogRecord

#: Maximum number of seconds by which the log's clock may step back between two records.
LOG_CLOCK_STEP_SECONDS = 5.0


@dataclass(frozen=True)
class ClaimDecision:
    """The decision on one claim; it follows from the order of the log and never changes."""

    #: The claiming attempt.
    attempt_id: str

    #: Offset of the claim in its stream.
    offset: int

    #: True if the claim is granted, so that its attempt may dispatch the call once.
    granted: bool

    #: State of the key before the claim.
    key_state: KeyState


class ClaimLedger:
    """Applies the records of one claims stream, in the order of their offsets.

    The decision on a claim is made when the ledger applies it, from the records before it in the
    log; an attempt may dispatch its call only after such a decision, never after :meth:`look_up`
    alone. A claim is granted only if all earlier claims of its key are certainly known. Therefore
    the key must have been created after the oldest applied record, and at most
    ``key_max_age_seconds`` before the log's clock. Older keys are refused and removed, which bounds
    the memory.

    Example::

        ledger = ClaimLedger(key_max_age_seconds=43_200.0)
        decision = ledger.apply(record)
        if decision is not None and decision.granted: ...
    """

    def __init__(self, key_max_age_seconds: float) -> None:
        if key_max_age_seconds <= KEY_MAX_AHEAD_SECONDS:
            raise ValueError(f"key_max_age_seconds must be above {KEY_MAX_AHEAD_SECONDS}")
        self._key_max_age_seconds = key_max_age_seconds
        self._entries: dict[CallKey, KeyEntry] = {}
        self._by_time: SortedKeyList[CallKey] = SortedKeyList(key=lambda key: key.made_at)
        self._next_offset = 0
        self._log_time = float("-inf")
        #: Time of the log's clock; all records appended after it have been applied.
        self._complete_since = float("-inf")
        #: Keys created before this may have been removed.
        self._removed_before = float("-inf")
        self._undecidable = False
        self._has_unrecovered_gap = False

    @property
    def next_offset(self) -> int:
        """The offset after the last applied record."""
        return self._next_offset

    @property
    def log_time(self) -> float:
        """The latest append time of a record, in seconds since 1970 by the log's clock."""
        return self._log_time

    @property
    def key_count(self) -> int:
        """Number of keys in memory."""
        return len(self._entries)

    @property
    def oldest_decidable_key(self) -> float:
        """Creation time in seconds since 1970; keys created earlier are refused as too old."""
        if self._has_unrecovered_gap:
            return float("inf")
        complete_since = self._complete_since + KEY_MAX_AHEAD_SECONDS + LOG_CLOCK_STEP_SECONDS
        return max(complete_since, self._removed_before)

    @property
    def has_unrecovered_gap(self) -> bool:
        """True if the log dropped unapplied records and no record was applied since."""
        return self._has_unrecovered_gap

    @property
    def undecidable(self) -> bool:
        """True once the stream contained a record of a newer format version."""
        return self._undecidable

    def entry(self, key: CallKey) -> Optional[KeyEntry]:
        """Returns the entry of a key, or ``None`` if there is none."""
        return self._entries.get(key)

    def record_gap(self) -> None:
        """Records that the log dropped records before they were applied.

        The dropped records may contain claims. Until the next record is applied, all keys are
        refused; after that, the keys created before that record.
        """
        self._has_unrecovered_gap = True

    def apply(self, record: LogRecord) -> Optional[ClaimDecision]:
        """Applies the next record; returns a decision if it is a claim.

        A record that was already applied is ignored.
        """
        if record.offset < self._next_offset:
            return None
        if self._has_unrecovered_gap:
            self._complete_since = max(self._complete_since, record.appended_at)
            self._has_unrecovered_gap = False
        self._next_offset = record.offset + 1
        self._log_time = max(self._log_time, record.appended_at)
        self._remove_old_keys()
        return self._apply_payload(record)

    def look_up(self, key: CallKey, body_digest: bytes, wall_now: float) -> KeyState:
        """Returns the state of a key for a call. ``wall_now`` is the time in seconds since 1970.

        Use it to respond to repeated calls without an append. ``KeyFree`` permits appending a claim
        but not dispatching the call.
        """
        refusal = self._refusal_by_key_time(key, max(wall_now, self._log_time))
        if refusal is not None:
            return refusal
        entry = self._entries.get(key)
        return KeyFree() if entry is None else entry.state_for_request(body_digest, wall_now)

    def check_invariants(self) -> None:
        """Raises ``AssertionError`` if the state contradicts itself."""
        assert len(self._entries) == len(
            self._by_time
        ), "the index and the entries have different numbers of keys"
        for key, entry in self._entries.items():
            assert (
                key.made_at >= self._removed_before
            ), "a key that should be removed is still in memory"
            entry.check_invariants()

    def _apply_payload(self, record: LogRecord) -> Optional[ClaimDecision]:
        try:
            payload = decode_call_record(record.payload)
        except ClaimRecordTooNewError:
            self._undecidable = True
            return None
        match payload:
            case ClaimRecord():
                return self._apply_claim(payload, record)
            case VoidRecord():
                self._apply_void(payload, record)
            case OutcomeRecord():
                self._apply_outcome(payload, record)
            case HeartbeatRecord() | None:
                pass
        return None

    def _apply_claim(self, claim: ClaimRecord, record: LogRecord) -> ClaimDecision:
        key_state = self._state_at_claim(claim, record)
        granted = isinstance(key_state, KeyFree)
        if granted:
            running = KeyRunning(
                attempt_id=claim.attempt_id,
                claimant=claim.claimant,
                offset=record.offset,
                run_ends_at=record.appended_at
                + claim.dispatch_within_seconds
                + claim.run_timeout_seconds,
            )
            self._entry_for(claim.key).grant_claim(running, claim.body_digest)
        elif claim.key in self._entries:
            self._entries[claim.key].close_attempt(claim.attempt_id)
        return ClaimDecision(
            attempt_id=claim.attempt_id, offset=record.offset, granted=granted, key_state=key_state
        )

    def _state_at_claim(self, claim: ClaimRecord, record: LogRecord) -> KeyState:
        refusal = self._refusal_by_key_time(claim.key, record.appended_at)
        if refusal is not None:
            return refusal
        entry = self._entries.get(claim.key)
        if entry is None:
            return KeyFree()
        return entry.state_for_claim(claim.attempt_id, claim.body_digest, record.appended_at)

    def _apply_void(self, void: VoidRecord, record: LogRecord) -> None:
        if self._refusal_by_key_time(void.key, record.appended_at) is None:
            self._entry_for(void.key).void_claim(void.attempt_id)

    def _apply_outcome(self, outcome: OutcomeRecord, record: LogRecord) -> None:
        entry = self._entries.get(outcome.key)
        if entry is not None:
            entry.record_outcome(outcome, record.offset)

    def _refusal_by_key_time(self, key: CallKey, now: float) -> Optional[KeyState]:
        if self._undecidable:
            return KeyUndecidable()
        if key.made_at > now + KEY_MAX_AHEAD_SECONDS:
            return KeyFromFuture()
        if key.made_at < self.oldest_decidable_key:
            return KeyTooOld()
        if key.made_at < now - self._key_max_age_seconds:
            return KeyTooOld()
        return None

    def _entry_for(self, key: CallKey) -> KeyEntry:
        entry = self._entries.get(key)
        if entry is None:
            entry = KeyEntry()
            self._entries[key] = entry
            self._by_time.add(key)
        return entry

    def _remove_old_keys(self) -> None:
        oldest_kept = self._log_time - self._key_max_age_seconds
        self._removed_before = max(self._removed_before, oldest_kept)
        while self._by_time and self._by_time[0].made_at < self._removed_before:
            del self._entries[self._by_time.pop(0)]
