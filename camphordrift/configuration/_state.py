"""The configuration's state, which results from applying the records of the stream in order."""

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
from camphordrift.configuration._relations import UniqueValue, references_of, unique_values_of
from camphordrift.configuration._snapshot import ConfigurationSnapshot, snapshot_of
from camphordrift.configuration._values import ConfigurationValue


@dataclass(frozen=True)
class Entry:
    """The current state of one entry.

    A removed entry is kept without a value, so that its version numbers are never reused.
    """

    #: The entry's kind and name.
    key: EntryKey

    #: The fleet-wide version of the record that last changed it.
    version: int

    #: The schema version of the record that last changed it.
    schema_version: int

    #: The author of the record that last changed it.
    author: str

    #: The entry's value; ``None`` if the entry was removed.
    value: Optional[PublishedValue]


@dataclass(frozen=True)
class CheckpointInfo:
    """The part of the log that the newest checkpoint covers, and when it was appended."""

    #: The first offset that the checkpoint does not cover.
    offset: int

    #: When the checkpoint was appended, in seconds since 1970 by the log's clock.
    appended_at: float


class ConfigurationState:
    """The entries in force at one offset of the log.

    It is changed only by applying or skipping the records of the log in offset order, so it is the
    same on every VM at the same offset. Neither offset nor version ever decreases.
    """

    def __init__(self) -> None:
        self._offset = 0
        self._version = 0
        self._entries: dict[EntryKey, Entry] = {}
        self._owners: dict[UniqueValue, EntryKey] = {}
        self._referrers: dict[EntryKey, set[EntryKey]] = {}
        self._history = History()
        self._checkpoint: Optional[CheckpointInfo] = None

    @property
    def offset(self) -> int:
        """The offset of the next record to apply."""
        return self._offset

    @property
    def version(self) -> int:
        """The fleet-wide version: the number of records accepted so far."""
        return self._version

    @property
    def entries(self) -> Mapping[EntryKey, Entry]:
        """All entries, including removed ones."""
        return self._entries

    @property
    def history(self) -> History:
        """The newest accepted records."""
        return self._history

    @property
    def checkpoint(self) -> Optional[CheckpointInfo]:
        """The newest checkpoint seen in the log; ``None`` if there has been none."""
        return self._checkpoint

    def entry(self, key: EntryKey) -> Optional[Entry]:
        """Returns an entry; ``None`` if it has never been published."""
        return self._entries.get(key)

    def version_of(self, key: EntryKey) -> int:
        """Returns the entry's version, which the next change of it has to replace."""
        entry = self._entries.get(key)
        return NEVER_PUBLISHED if entry is None else entry.version

    def value_of(self, key: EntryKey) -> Optional[ConfigurationValue]:
        """Returns the value in force; ``None`` if there is none."""
        entry = self._entries.get(key)
        return None if entry is None or entry.value is None else entry.value.parsed

    def raw_value_of(self, key: EntryKey) -> Optional[RawValue]:
        """Returns the value in force as the operator wrote it; ``None`` if there is none."""
        entry = self._entries.get(key)
        return None if entry is None or entry.value is None else entry.value.raw

    def referrers_of(self, key: EntryKey) -> frozenset[EntryKey]:
        """Returns the entries that refer to ``key``."""
        return frozenset(self._referrers.get(key, ()))

    def owner_of(self, unique_value: UniqueValue) -> Optional[EntryKey]:
        """Returns the entry that has the unique value; ``None`` if no entry has it."""
        return self._owners.get(unique_value)

    def values(self) -> Iterable[ConfigurationValue]:
        """Yields all values in force."""
        for entry in self._entries.values():
            if entry.value is not None:
                yield entry.value.parsed

    def snapshot(self) -> ConfigurationSnapshot:
        """Returns an immutable snapshot of the values in force, for use by other packages."""
        return snapshot_of(self._version, self._offset, self.values())

    def skip_record(self, offset: int) -> None:
        """Advances past the record at ``offset``, which changed nothing."""
        self._advance(offset)

    def record_checkpoint(self, offset: int, checkpoint_info: CheckpointInfo) -> None:
        """Advances past the record at ``offset``, which is a checkpoint."""
        self._advance(offset)
        self._checkpoint = checkpoint_info

    def apply(self, record: ConfigurationRecord, record_id: str, offset: int) -> None:
        """Applies an accepted record; only :func:`apply_record` may call this."""
        self._advance(offset)
        self._version += 1
        changes = tuple(self._historic_change(change) for change in record.changes)
        for change in record.changes:
            self.put_entry(self._entry_from(record, change))
        self._history.add(
            HistoryEntry(self._version, offset, record_id, record.author, record.note, changes)
        )

    def put_entry(self, entry: Entry) -> None:
        """Replaces one entry and updates the indexes derived from it."""
        self._remove_relations(entry.key)
        self._entries[entry.key] = entry
        if entry.value is None:
            return
        for unique_value in unique_values_of(entry.value.parsed):
            self._owners[unique_value] = entry.key
        for reference in references_of(entry.key, entry.value.parsed):
            self._referrers.setdefault(reference, set()).add(entry.key)

    def check_invariants(self) -> None:
        """Asserts the invariants of the entries, indexes and history; for randomized tests."""
        assert self._version <= self._offset
        for entry in self._entries.values():
            assert NEVER_PUBLISHED < entry.version <= self._version
            if entry.value is None:
                assert not self._referrers.get(entry.key), entry.key
                continue
            for reference in references_of(entry.key, entry.value.parsed):
                assert self.value_of(reference) is not None, (entry.key, reference)
                assert entry.key in self._referrers[reference]
            for unique_value in unique_values_of(entry.value.parsed):
                assert self._owners[unique_value] == entry.key, unique_value
        versions = [history_entry.version for history_entry in self._history.entries]
        assert versions == sorted(set(versions))

    def _advance(self, offset: int) -> None:
        if offset < self._offset:
            raise ValueError(
                f"record at offset {offset} was applied already; the next offset is {self._offset}"
            )
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

    def _remove_relations(self, key: EntryKey) -> None:
        value = self.value_of(key)
        if value is None:
            return
        for unique_value in unique_values_of(value):
            if self._owners.get(unique_value) == key:
                del self._owners[unique_value]
        for reference in references_of(key, value):
            self._referrers[reference].discard(key)


def restored_state(
    offset: int,
    version: int,
    entries: Iterable[Entry],
    history: Iterable[HistoryEntry],
    checkpoint: Optional[CheckpointInfo] = None,
) -> ConfigurationState:
    """Returns a state with the contents of a checkpoint.

    Raises ``ValueError`` if the version is negative or exceeds the offset.
    """
    if not 0 <= version <= offset:
        raise ValueError(f"version {version} is not between 0 and offset {offset}")
    state = ConfigurationState()
    state._offset = offset
    state._version = version
    state._checkpoint = checkpoint
    for entry in entries:
        state.put_entry(entry)
    state._history = History(history)
    return state
