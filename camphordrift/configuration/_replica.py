"""What one VM knows of the configuration, and how that grows."""

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
from camphordrift.configuration._state import CheckpointMark, ConfigurationState
from camphordrift.platform_log import FollowedRecord, LogGap
from camphordrift.results import Failure

#: Records kept while they cannot be folded; older ones are given up for a later checkpoint.
BUFFERED_RECORDS = 20_000

#: Rejected records remembered for people who ask why nothing changed.
REMEMBERED_REJECTIONS = 200

#: Verdicts remembered for whoever asks after the fact.
REMEMBERED_VERDICTS = 1_000


class PeerStateOutcome(Enum):
    """What became of a state that a peer handed on."""

    #: It was newer and is now this VM's.
    ADOPTED = "adopted"

    #: This VM's own state is as new or newer.
    NOT_NEWER = "not_newer"

    #: It is in a schema that this program cannot read.
    UNREADABLE = "unreadable"

    #: It is no state at all.
    MALFORMED = "malformed"


class BlockReason(Enum):
    """Why records cannot be folded at present."""

    #: Records between the state and the oldest record kept were dropped unread.
    GAP = "gap"

    #: A record is in a schema that this program cannot read.
    SCHEMA = "schema"


@dataclass(frozen=True)
class Block:
    """Where the fold has stopped."""

    #: Why.
    reason: BlockReason

    #: The first offset that could not be folded.
    offset: int


@dataclass(frozen=True)
class RejectedRecord:
    """A record of the log that changed nothing, as far as this VM has seen it itself."""

    #: Its place in the log.
    offset: int

    #: Its id, in hexadecimal digits.
    record_id: str

    #: Who wrote it; empty if it cannot be read.
    author: str

    #: The numbered reason.
    failure: Failure


class ConfigurationReplica:
    """The fold of one VM, from nothing on.

    The state only moves forward: by the next record of the log, or as a whole by a checkpoint or a
    peer's state that covers more of the log. Where a record is missing or unreadable, the fold
    stops; the last whole configuration stays in force until a checkpoint or a peer leads on.
    """

    def __init__(self, readable_schema_version: int = HIGHEST_SCHEMA_VERSION) -> None:
        self._readable_schema_version = readable_schema_version
        self._state = ConfigurationState()
        self._block: Optional[Block] = None
        self._buffer: deque[FollowedRecord] = deque()
        self._buffer_from = 0
        self._verdicts: dict[str, RecordDecision] = {}
        self._rejections: deque[RejectedRecord] = deque(maxlen=REMEMBERED_REJECTIONS)
        self._snapshot: Optional[ConfigurationSnapshot] = None
        self._newest_peer_offset = 0

    @property
    def state(self) -> ConfigurationState:
        """The state in force; it has version 0 while nothing is known."""
        return self._state

    @property
    def block(self) -> Optional[Block]:
        """Why the fold has stopped; ``None`` while it goes on."""
        return self._block

    @property
    def readable_schema_version(self) -> int:
        """The highest schema that this program reads."""
        return self._readable_schema_version

    @property
    def is_behind_a_peer(self) -> bool:
        """Whether a peer is known to be further while this VM's fold has stopped."""
        return self._block is not None and self._newest_peer_offset > self._block.offset

    @property
    def snapshot(self) -> Optional[ConfigurationSnapshot]:
        """The configuration in force; ``None`` if nothing is known."""
        if self._state.version == 0:
            return None
        if self._snapshot is None or self._snapshot.version != self._state.version:
            self._snapshot = self._state.snapshot()
        return self._snapshot

    @property
    def verdicts(self) -> Mapping[str, RecordDecision]:
        """The newest verdicts by record id in hexadecimal digits."""
        return self._verdicts

    @property
    def rejections(self) -> tuple[RejectedRecord, ...]:
        """The newest records that this VM rejected itself, oldest first."""
        return tuple(self._rejections)

    def on_record(self, record: FollowedRecord) -> None:
        """Takes the next record of the log."""
        if record.offset < self._state.offset:
            return
        match decode_payload(record.payload, self._readable_schema_version):
            case result.Success(Checkpoint(state)):
                self._on_checkpoint(record, state)
            case _ if self._block is not None:
                self._buffer_record(record)
            case result.Success(ConfigurationRecord() as readable):
                self._fold(readable, record)
            case result.Success(UnreadablePayload()):
                self._stop(BlockReason.SCHEMA, record.offset)
            case result.Failure(Failure() as failure):
                self._state.pass_over(record.offset)
                self._settle(record, "", Rejected(failure))

    def on_truncated(self, gap: LogGap) -> None:
        """Learns that records were dropped unread."""
        if gap.first_offset <= self._state.offset:
            return
        if self._block is None:
            self._stop(BlockReason.GAP, self._state.offset)
        self._buffer.clear()
        self._buffer_from = gap.first_offset

    def on_peer_state(self, encoded: bytes) -> PeerStateOutcome:
        """Takes the state that a peer hands on, if it covers more of the log than this VM's."""
        match decode_payload(encoded, self._readable_schema_version):
            case result.Success(Checkpoint(state)):
                return self._on_peer_checkpoint(state)
            case result.Success(UnreadablePayload(_, offset)):
                self._newest_peer_offset = max(self._newest_peer_offset, offset or 0)
                return PeerStateOutcome.UNREADABLE
            case _:
                return PeerStateOutcome.MALFORMED

    def encoded_state(self) -> Optional[bytes]:
        """Returns the state for peers and checkpoints; ``None`` if nothing is known."""
        return None if self._state.version == 0 else encode_checkpoint(self._state)

    def check_invariants(self) -> None:
        """Asserts what must hold between any two events; for long randomized runs."""
        self._state.check_invariants()
        if self._block is None:
            assert not self._buffer
        offsets = [record.offset for record in self._buffer]
        assert offsets == sorted(set(offsets))
        assert all(offset >= self._buffer_from for offset in offsets)
        snapshot = self.snapshot
        assert snapshot is None or snapshot.version == self._state.version

    def _fold(self, record: ConfigurationRecord, followed: FollowedRecord) -> None:
        verdict = apply_record(self._state, record, followed.record_id.hex(), followed.offset)
        self._settle(followed, record.author, verdict)

    def _settle(self, followed: FollowedRecord, author: str, verdict: RecordDecision) -> None:
        record_id = followed.record_id.hex()
        self._remember(record_id, verdict)
        if isinstance(verdict, Rejected):
            rejected = RejectedRecord(followed.offset, record_id, author, verdict.failure)
            self._rejections.append(rejected)

    def _on_checkpoint(self, record: FollowedRecord, state: ConfigurationState) -> None:
        if self._block is None:
            mark = CheckpointMark(state.offset, record.appended_at)
            self._state.note_checkpoint(record.offset, mark)
        else:
            self._buffer_record(record)
        if state.offset > self._state.offset:
            self._adopt(state)

    def _on_peer_checkpoint(self, state: ConfigurationState) -> PeerStateOutcome:
        self._newest_peer_offset = max(self._newest_peer_offset, state.offset)
        if state.offset <= self._state.offset or state.version < self._state.version:
            return PeerStateOutcome.NOT_NEWER
        self._adopt(state)
        return PeerStateOutcome.ADOPTED

    def _adopt(self, state: ConfigurationState) -> None:
        """Replaces the state by a newer one and folds what was read beyond it."""
        assert state.offset > self._state.offset
        self._state = state
        self._snapshot = None
        for remembered in state.history.entries:
            self._remember(remembered.record_id, Accepted(remembered.version))
        if self._block is not None and state.offset >= self._buffer_from:
            self._resume()

    def _resume(self) -> None:
        buffered = [record for record in self._buffer if record.offset >= self._state.offset]
        self._block = None
        self._buffer.clear()
        for record in buffered:
            self.on_record(record)

    def _stop(self, reason: BlockReason, offset: int) -> None:
        self._block = Block(reason, offset)
        self._buffer_from = offset + 1

    def _buffer_record(self, record: FollowedRecord) -> None:
        self._buffer.append(record)
        if len(self._buffer) > BUFFERED_RECORDS:
            self._buffer_from = self._buffer.popleft().offset + 1

    def _remember(self, record_id: str, verdict: RecordDecision) -> None:
        self._verdicts.setdefault(record_id, verdict)
        if len(self._verdicts) > REMEMBERED_VERDICTS:
            del self._verdicts[next(iter(self._verdicts))]
