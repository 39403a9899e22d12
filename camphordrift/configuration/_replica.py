"""One VM's replica of the configuration, updated from the log, checkpoints and peers' states."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Optional

from returns import result

from camphordrift.configuration._decisions import Accepted, RecordDecision, Rejected, apply_record
from camphordrift.configuration._encoding import (
    Checkpoint,
    UnreadablePayload,
    decode_payload,
    encode_checkpoint,
)
from camphordrift.configuration._records import HIGHEST_SCHEMA_VERSION, ConfigurationRecord
from camphordrift.configuration._snapshot import ConfigurationSnapshot
from camphordrift.configuration._state import CheckpointInfo, ConfigurationState
from camphordrift.platform_log import FollowedRecord, LogGap
from camphordrift.results import Failure

#: Maximum number of records buffered while they cannot be applied. Beyond it, the oldest are
#: dropped, and only a later checkpoint or a peer's state lets the replica continue.
MAX_BUFFERED_RECORDS = 20_000

#: Number of rejected records kept, so that operators can find out why a record had no effect.
MAX_RECENT_REJECTIONS = 200

#: Number of recent decisions kept for publishers that are waiting for one.
MAX_RECENT_DECISIONS = 1_000


class PeerStateOutcome(Enum):
    """What happened to a state that a peer sent."""

    #: The peer's state was newer and has replaced this VM's state.
    ADOPTED = "adopted"

    #: This VM's state is at least as new, so the peer's was ignored.
    NOT_NEWER = "not_newer"

    #: The peer's state is in a schema version that this program cannot read.
    UNREADABLE = "unreadable"

    #: The received payload is not a valid state.
    MALFORMED = "malformed"


class BlockReason(Enum):
    """Why the replica cannot apply records."""

    #: The log truncated records before this VM had read and applied them.
    GAP = "gap"

    #: A record is in a schema version that this program cannot read.
    SCHEMA = "schema"


@dataclass(frozen=True)
class Block:
    """The position at which the replica has stopped applying records, and why."""

    #: Why the replica cannot continue.
    reason: BlockReason

    #: The first offset that could not be applied.
    offset: int


@dataclass(frozen=True)
class RejectedRecord:
    """A record of the log that this VM has read and rejected."""

    #: The record's offset in the log.
    offset: int

    #: The record's id, in hexadecimal digits.
    record_id: str

    #: Name of the record's author; empty if the record cannot be decoded.
    author: str

    #: The result code and detail of the rejection.
    failure: Failure


class ConfigurationReplica:
    """One VM's replica of the configuration, which starts empty.

    The state only moves forward: by the next record of the log, or by adopting a checkpoint or a
    peer's state that covers more of the log. At a missing or unreadable record the replica is
    blocked; the last complete configuration stays in force until a checkpoint or a peer's state
    covers that record.
    """

    def __init__(self, readable_schema_version: int = HIGHEST_SCHEMA_VERSION) -> None:
        self._readable_schema_version = readable_schema_version
        self._state = ConfigurationState()
        self._block: Optional[Block] = None
        self._buffer: deque[FollowedRecord] = deque()
        self._buffer_start_offset = 0
        self._decisions: dict[str, RecordDecision] = {}
        self._rejections: deque[RejectedRecord] = deque(maxlen=MAX_RECENT_REJECTIONS)
        self._snapshot: Optional[ConfigurationSnapshot] = None
        self._newest_peer_offset = 0

    @property
    def state(self) -> ConfigurationState:
        """The state in force; its version is 0 while the VM has no configuration."""
        return self._state

    @property
    def block(self) -> Optional[Block]:
        """Why and where the replica is blocked; ``None`` if it is not."""
        return self._block

    @property
    def readable_schema_version(self) -> int:
        """The highest schema version that this program can read."""
        return self._readable_schema_version

    @property
    def is_behind_a_peer(self) -> bool:
        """Whether the replica is blocked and a peer is known to be ahead of it."""
        return self._block is not None and self._newest_peer_offset > self._block.offset

    @property
    def snapshot(self) -> Optional[ConfigurationSnapshot]:
        """The configuration in force; ``None`` while the VM has none."""
        if self._state.version == 0:
            return None
        if self._snapshot is None or self._snapshot.version != self._state.version:
            self._snapshot = self._state.snapshot()
        return self._snapshot

    @property
    def decisions(self) -> Mapping[str, RecordDecision]:
        """The most recent decisions by record id, which is written in hexadecimal digits."""
        return self._decisions

    @property
    def rejections(self) -> tuple[RejectedRecord, ...]:
        """The most recent records that this VM has rejected, oldest first."""
        return tuple(self._rejections)

    def on_record(self, record: FollowedRecord) -> None:
        """Processes the next record of the log; skips one that the state already covers."""
        if record.offset < self._state.offset:
            return
        match decode_payload(record.payload, self._readable_schema_version):
            case result.Success(Checkpoint(state)):
                self._on_checkpoint(record, state)
            case _ if self._block is not None:
                self._buffer_record(record)
            case result.Success(ConfigurationRecord() as readable):
                self._apply_record(readable, record)
            case result.Success(UnreadablePayload()):
                self._set_block(BlockReason.SCHEMA, record.offset)
            case result.Failure(Failure() as failure):
                self._state.skip_record(record.offset)
                self._record_decision(record, "", Rejected(failure))

    def on_truncated(self, gap: LogGap) -> None:
        """Handles the truncation of records of the log that were not read yet."""
        if gap.first_offset <= self._state.offset:
            return
        if self._block is None:
            self._set_block(BlockReason.GAP, self._state.offset)
        self._buffer.clear()
        self._buffer_start_offset = gap.first_offset

    def on_peer_state(self, encoded: bytes) -> PeerStateOutcome:
        """Adopts a peer's encoded state if it covers more of the log than this VM's."""
        match decode_payload(encoded, self._readable_schema_version):
            case result.Success(Checkpoint(state)):
                return self._on_peer_checkpoint(state)
            case result.Success(UnreadablePayload(_, offset)):
                self._newest_peer_offset = max(self._newest_peer_offset, offset or 0)
                return PeerStateOutcome.UNREADABLE
            case _:
                return PeerStateOutcome.MALFORMED

    def encoded_state(self) -> Optional[bytes]:
        """Returns the encoded state for peers and checkpoints; ``None`` while the VM has none."""
        return None if self._state.version == 0 else encode_checkpoint(self._state)

    def check_invariants(self) -> None:
        """Asserts the invariants of the state, buffer and snapshot; for randomized tests."""
        self._state.check_invariants()
        if self._block is None:
            assert not self._buffer
        offsets = [record.offset for record in self._buffer]
        assert offsets == sorted(set(offsets))
        assert all(offset >= self._buffer_start_offset for offset in offsets)
        snapshot = self.snapshot
        assert snapshot is None or snapshot.version == self._state.version

    def _apply_record(self, record: ConfigurationRecord, followed: FollowedRecord) -> None:
        decision = apply_record(self._state, record, followed.record_id.hex(), followed.offset)
        self._record_decision(followed, record.author, decision)

    def _record_decision(
        self, followed: FollowedRecord, author: str, decision: RecordDecision
    ) -> None:
        record_id = followed.record_id.hex()
        self._store_decision(record_id, decision)
        if isinstance(decision, Rejected):
            rejected = RejectedRecord(followed.offset, record_id, author, decision.failure)
            self._rejections.append(rejected)

    def _on_checkpoint(self, record: FollowedRecord, state: ConfigurationState) -> None:
        if self._block is None:
            checkpoint_info = CheckpointInfo(state.offset, record.appended_at)
            self._state.record_checkpoint(record.offset, checkpoint_info)
        else:
            self._buffer_record(record)
        if state.offset > self._state.offset:
            self._adopt_state(state)

    def _on_peer_checkpoint(self, state: ConfigurationState) -> PeerStateOutcome:
        self._newest_peer_offset = max(self._newest_peer_offset, state.offset)
        if state.offset <= self._state.offset or state.version < self._state.version:
            return PeerStateOutcome.NOT_NEWER
        self._adopt_state(state)
        return PeerStateOutcome.ADOPTED

    def _adopt_state(self, state: ConfigurationState) -> None:
        """Replaces the state by a newer one and applies the buffered records after it."""
        assert state.offset > self._state.offset
        self._state = state
        self._snapshot = None
        for history_entry in state.history.entries:
            self._store_decision(history_entry.record_id, Accepted(history_entry.version))
        if self._block is not None and state.offset >= self._buffer_start_offset:
            self._apply_buffered_records()

    def _apply_buffered_records(self) -> None:
        buffered = [record for record in self._buffer if record.offset >= self._state.offset]
        self._block = None
        self._buffer.clear()
        for record in buffered:
            self.on_record(record)

    def _set_block(self, reason: BlockReason, offset: int) -> None:
        self._block = Block(reason, offset)
        self._buffer_start_offset = offset + 1

    def _buffer_record(self, record: FollowedRecord) -> None:
        self._buffer.append(record)
        if len(self._buffer) > MAX_BUFFERED_RECORDS:
            self._buffer_start_offset = self._buffer.popleft().offset + 1

    def _store_decision(self, record_id: str, decision: RecordDecision) -> None:
        self._decisions.setdefault(record_id, decision)
        if len(self._decisions) > MAX_RECENT_DECISIONS:
            del self._decisions[next(iter(self._decisions))]
