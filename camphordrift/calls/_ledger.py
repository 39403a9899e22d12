"""The fold over one claims stream: which attempt may dispatch, and what became of each key."""

from dataclasses import dataclass
from typing import Optional

from sortedcontainers import SortedKeyList

from camphordrift.calls._entry import KeyEntry
from camphordrift.calls._keys import KEY_MAX_AHEAD_SECONDS, CallKey
from camphordrift.calls._record_codec import ClaimRecordTooNewError, decode_call_record
from camphordrift.calls._records import ClaimRecord, HeartbeatRecord, OutcomeRecord, VoidRecord
from camphordrift.calls._standing import (
    KeyFree,
    KeyFromFuture,
    KeyRunning,
    KeyState,
    KeyTooOld,
    KeyUndecidable,
)
from camphordrift.platform_log import LogRecord

#: The log's own clock may step back by up to this between two records, in seconds.
LOG_CLOCK_STEP_SECONDS = 5.0


@dataclass(frozen=True)
class ClaimDecision:
    """What the log's order says of one claim, at the claim's own offset. It never changes."""

    #: The attempt that claimed.
    attempt_id: str

    #: The claim's offset.
    offset: int

    #: True if the claim stands first, so that its attempt may dispatch the call once.
    stands: bool

    #: Where the key stood before the claim.
    standing: KeyState


class ClaimLedger:
    """Folds the records of one claims stream, in the order of their offsets.

    The order of the log decides, never a read: an attempt learns from the verdict at its own
    claim's offset whether it may dispatch. A key is decided on only if every claim that there can
    have been under it is known: its time must be later than the oldest record that was folded, and
    within ``key_max_age_seconds`` of the log's clock. Older keys are forgotten, which bounds the
    memory, and refused.

    Example::

        ledger = ClaimLedger(key_max_age_seconds=43_200.0)
        verdict = ledger.apply(record)
        if verdict is not None and verdict.stands: ...
    """

    def __init__(self, key_max_age_seconds: float) -> None:
        if key_max_age_seconds <= KEY_MAX_AHEAD_SECONDS:
            raise ValueError(f"key_max_age_seconds must be above {KEY_MAX_AHEAD_SECONDS}")
        self._key_max_age_seconds = key_max_age_seconds
        self._entries: dict[CallKey, KeyEntry] = {}
        self._by_time: SortedKeyList[CallKey] = SortedKeyList(key=lambda key: key.made_at)
        self._next_offset = 0
        self._log_time = float("-inf")
        #: Every record appended later than this is known, by the log's clock.
        self._covered_since = float("-inf")
        #: Keys made earlier than this may have been forgotten.
        self._forgotten_before = float("-inf")
        self._undecidable = False
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
    def key_count(self) -> int:
        """How many keys are remembered."""
        return len(self._entries)

    @property
    def oldest_decidable_key(self) -> float:
        """Keys made before this are refused as too old, in seconds since 1970."""
        if self._gap_open:
            return float("inf")
        since_covered = self._covered_since + KEY_MAX_AHEAD_SECONDS + LOG_CLOCK_STEP_SECONDS
        return max(since_covered, self._forgotten_before)

    @property
    def gap_open(self) -> bool:
        """True if records were dropped and none was folded since."""
        return self._gap_open

    @property
    def undecidable(self) -> bool:
        """True once a record of a newer version was met."""
        return self._undecidable

    def entry(self, key: CallKey) -> Optional[KeyEntry]:
        """Returns what is remembered of a key."""
        return self._entries.get(key)

    def record_gap(self) -> None:
        """Learns that the log dropped records before they were folded.

        Keys that may have been claimed in them are refused from here on: all keys until the next
        record comes, and then those made before it.
        """
        self._gap_open = True

    def apply(self, record: LogRecord) -> Optional[ClaimDecision]:
        """Folds the next record; returns a verdict if it is a claim.

        A record that was folded before is ignored.
        """
        if record.offset < self._next_offset:
            return None
        if self._gap_open:
            self._covered_since = max(self._covered_since, record.appended_at)
            self._gap_open = False
        self._next_offset = record.offset + 1
        self._log_time = max(self._log_time, record.appended_at)
        self._forget_old_keys()
        return self._apply_payload(record)

    def look_up(self, key: CallKey, body_digest: bytes, wall_now: float) -> KeyState:
        """Tells where a key stands for a caller at ``wall_now``, in seconds since 1970.

        Use it to answer repeats without an append. ``KeyFree`` permits only to append a claim.
        """
        refusal = self._refuse_by_time(key, max(wall_now, self._log_time))
        if refusal is not None:
            return refusal
        entry = self._entries.get(key)
        return KeyFree() if entry is None else entry.standing_for(body_digest, wall_now)

    def check_invariants(self) -> None:
        """Raises ``AssertionError`` if the state contradicts itself."""
        assert len(self._entries) == len(self._by_time), "a key is missing from the index"
        for key, entry in self._entries.items():
            assert key.made_at >= self._forgotten_before, "a forgotten key is remembered"
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
        standing = self._standing_at(claim, record)
        stands = isinstance(standing, KeyFree)
        if stands:
            running = KeyRunning(
                attempt_id=claim.attempt_id,
                claimant=claim.claimant,
                offset=record.offset,
                run_ends_at=record.appended_at
                + claim.dispatch_within_seconds
                + claim.run_timeout_seconds,
            )
            self._entry_for(claim.key).grant(running, claim.body_digest)
        elif claim.key in self._entries:
            self._entries[claim.key].close_attempt(claim.attempt_id)
        return ClaimDecision(
            attempt_id=claim.attempt_id, offset=record.offset, stands=stands, standing=standing
        )

    def _standing_at(self, claim: ClaimRecord, record: LogRecord) -> KeyState:
        refusal = self._refuse_by_time(claim.key, record.appended_at)
        if refusal is not None:
            return refusal
        entry = self._entries.get(claim.key)
        if entry is None:
            return KeyFree()
        return entry.standing_for_claim(claim.attempt_id, claim.body_digest, record.appended_at)

    def _apply_void(self, void: VoidRecord, record: LogRecord) -> None:
        if self._refuse_by_time(void.key, record.appended_at) is None:
            self._entry_for(void.key).void(void.attempt_id)

    def _apply_outcome(self, outcome: OutcomeRecord, record: LogRecord) -> None:
        entry = self._entries.get(outcome.key)
        if entry is not None:
            entry.finish(outcome, record.offset)

    def _refuse_by_time(self, key: CallKey, now: float) -> Optional[KeyState]:
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

    def _forget_old_keys(self) -> None:
        horizon = self._log_time - self._key_max_age_seconds
        self._forgotten_before = max(self._forgotten_before, horizon)
        while self._by_time and self._by_time[0].made_at < self._forgotten_before:
            del self._entries[self._by_time.pop(0)]
