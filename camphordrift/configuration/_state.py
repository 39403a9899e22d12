"""The state that the fold over the configuration stream builds up."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Optional

from camphordrift.configuration._history import HistoricChange, History, HistoryEntry
from camphordrift.configuration._records import (
    NEVER_PUBLISHED,
    Change,
    ConfigurationRecord,
    EntryKey,
    PublishedValue,
    RawValue,
)
from camphordrift.configuration._relations import UniqueClaim, claims_of, references_of
from camphordrift.configuration._snapshot import ConfigurationSnapshot, snapshot_of
from camphordrift.configuration._values import ConfigurationValue


@dataclass(frozen=True)
class Entry:
    """One entry as it stands. A removed entry stays, so that its version is never used again."""

    #: Its name.
    key: EntryKey

    #: The fleet-wide version of the record that last changed it.
    version: int

    #: The schema in which it was last written.
    schema_version: int

    #: Who last changed it.
    author: str

    #: The value; ``None`` once removed.
    value: Optional[PublishedValue]


@dataclass(frozen=True)
class CheckpointMark:
    """The newest checkpoint in the log."""

    #: The first offset that it does not cover.
    offset: int

    #: When it was appended, in seconds since 1970 by the log's clock.
    appended_at: float


class ConfigurationState:
    """The entries in force at one offset of the log.

    It is changed only by :meth:`apply` and :meth:`pass_over`, always in the order of the log, and
    so is the same on every VM at the same offset. Neither offset nor version ever falls.
    """

    def __init__(self) -> None:
        self._offset = 0
        self._version = 0
        self._entries: dict[EntryKey, Entry] = {}
        self._holders: dict[UniqueClaim, EntryKey] = {}
        self._referrers: dict[EntryKey, set[EntryKey]] = {}
        self._history = History()
        self._checkpoint: Optional[CheckpointMark] = None

    @property
    def offset(self) -> int:
        """The offset of the next record to fold."""
        return self._offset

    @property
    def version(self) -> int:
        """Number of accepted records."""
        return self._version

    @property
    def entries(self) -> Mapping[EntryKey, Entry]:
        """All entries, removed ones included."""
        return self._entries

    @property
    def history(self) -> History:
        """The newest accepted records."""
        return self._history

    @property
    def checkpoint(self) -> Optional[CheckpointMark]:
        """The newest checkpoint in the log; ``None`` if there was none."""
        return self._checkpoint

    def entry(self, key: EntryKey) -> Optional[Entry]:
        """Returns an entry; ``None`` if it has never been published."""
        return self._entries.get(key)

    def version_of(self, key: EntryKey) -> int:
        """Returns the version that a change of the entry has to replace."""
        entry = self._entries.get(key)
        return NEVER_PUBLISHED if entry is None else entry.version

    def value_of(self, key: EntryKey) -> Optional[ConfigurationValue]:
        """Returns the value in force; ``None`` if there is none."""
        entry = self._entries.get(key)
        return None if entry is None or entry.value is None else entry.value.parsed

    def raw_value_of(self, key: EntryKey) -> Optional[RawValue]:
        """Returns the value in force as it was written; ``None`` if there is none."""
        entry = self._entries.get(key)
        return None if entry is None or entry.value is None else entry.value.raw

    def referrers_of(self, key: EntryKey) -> frozenset[EntryKey]:
        """Returns the entries that refer to ``key``."""
        return frozenset(self._referrers.get(key, ()))

    def holder_of(self, claim: UniqueClaim) -> Optional[EntryKey]:
        """Returns the entry that has what no two may share."""
        return self._holders.get(claim)

    def values(self) -> Iterable[ConfigurationValue]:
        """Yields all values in force."""
        for entry in self._entries.values():
            if entry.value is not None:
                yield entry.value.parsed

    def snapshot(self) -> ConfigurationSnapshot:
        """Returns the configuration as the rest of the program reads it."""
        return snapshot_of(self._version, self._offset, self.values())

    def pass_over(self, offset: int) -> None:
        """Notes that the record at ``offset`` changed nothing."""
        self._advance(offset)

    def note_checkpoint(self, offset: int, mark: CheckpointMark) -> None:
        """Notes that the record at ``offset`` is a checkpoint."""
        self._advance(offset)
        self._checkpoint = mark

    def apply(self, record: ConfigurationRecord, record_id: str, offset: int) -> None:
        """Puts an accepted record in force. Only :func:`apply_record` may have accepted it."""
        self._advance(offset)
        self._version += 1
        changes = tuple(self._historic_change(change) for change in record.changes)
        for change in record.changes:
            self.put_entry(self._entry_from(record, change))
        self._history.add(
            HistoryEntry(self._version, offset, record_id, record.author, record.note, changes)
        )

    def put_entry(self, entry: Entry) -> None:
        """Replaces one entry, with all that is derived from it."""
        self._forget_relations(entry.key)
        self._entries[entry.key] = entry
        if entry.value is None:
            return
        for claim in claims_of(entry.value.parsed):
            self._holders[claim] = entry.key
        for reference in references_of(entry.key, entry.value.parsed):
            self._referrers.setdefault(reference, set()).add(entry.key)

    def check_invariants(self) -> None:
        """Asserts what must hold between any two records; for long randomized runs."""
        assert self._version <= self._offset
        for entry in self._entries.values():
            assert NEVER_PUBLISHED < entry.version <= self._version
            if entry.value is None:
                assert not self._referrers.get(entry.key), entry.key
                continue
            for reference in references_of(entry.key, entry.value.parsed):
                assert self.value_of(reference) is not None, (entry.key, reference)
                assert entry.key in self._referrers[reference]
            for claim in claims_of(entry.value.parsed):
                assert self._holders[claim] == entry.key, claim
        versions = [remembered.version for remembered in self._history.entries]
        assert versions == sorted(set(versions))

    def _advance(self, offset: int) -> None:
        if offset < self._offset:
            raise ValueError(f"offset {offset} was folded already; the next is {self._offset}")
        self._offset = offset + 1

    def _historic_change(self, change: Change) -> HistoricChange:
        return HistoricChange(
            change.key,
            self.version_of(change.key),
            self.raw_value_of(change.key),
            None if change.value is None else change.value.raw,
        )

    def _entry_from(self, record: ConfigurationRecord, change: Change) -> Entry:
        return Entry(change.key, self._version, record.schema_version, record.author, change.value)

    def _forget_relations(self, key: EntryKey) -> None:
        value = self.value_of(key)
        if value is None:
            return
        for claim in claims_of(value):
            if self._holders.get(claim) == key:
                del self._holders[claim]
        for reference in references_of(key, value):
            self._referrers[reference].discard(key)


def restored_state(
    offset: int,
    version: int,
    entries: Iterable[Entry],
    history: Iterable[HistoryEntry],
    checkpoint: Optional[CheckpointMark] = None,
) -> ConfigurationState:
    """Returns a state as a checkpoint or a peer describes it.

    Raises ``ValueError`` if the numbers cannot belong to a state.
    """
    if not 0 <= version <= offset:
        raise ValueError(f"version {version} does not fit offset {offset}")
    state = ConfigurationState()
    state._offset = offset
    state._version = version
    state._checkpoint = checkpoint
    for entry in entries:
        state.put_entry(entry)
    state._history = History(history)
    return state
