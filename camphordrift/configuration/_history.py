"""The most recent accepted records, with the values before and after each change."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from returns import result

from camphordrift.configuration._records import EntryKey, RawValue
from camphordrift.results import Failure, ResultCode

#: Maximum number of accepted records in the history, and of changes in all of them together.
MAX_HISTORY_RECORDS = 200
MAX_HISTORY_CHANGES = 1_000


@dataclass(frozen=True)
class HistoricChange:
    """How one record changed one entry."""

    #: Kind and name of the entry.
    key: EntryKey

    #: The entry's version before the change; 0 if it had never been published.
    version_before: int

    #: The value before the change; ``None`` if there was none.
    before: Optional[RawValue]

    #: The value after the change; ``None`` if the record removed it.
    after: Optional[RawValue]


@dataclass(frozen=True)
class HistoryEntry:
    """One accepted record in the history."""

    #: The fleet-wide version after the record.
    version: int

    #: The record's offset in the log.
    offset: int

    #: The record's id, in hexadecimal digits.
    record_id: str

    #: Name of the person or tool that published the record.
    author: str

    #: The author's reason for the changes.
    note: str

    #: The record's changes, in the order in which it lists them.
    changes: tuple[HistoricChange, ...]

    @property
    def keys(self) -> tuple[EntryKey, ...]:
        """The entries that the record changed."""
        return tuple(change.key for change in self.changes)


@dataclass(frozen=True)
class FieldChange:
    """One field that differs between two values of an entry."""

    #: Name of the field.
    field: str

    #: The field's content in the earlier value; ``None`` if that value does not set the field.
    old: object

    #: The field's content in the later value; ``None`` if that value does not set the field.
    new: object


@dataclass(frozen=True)
class EntryDifference:
    """How one entry differs between two versions, or between the state and a record."""

    #: Kind and name of the entry.
    key: EntryKey

    #: The entry's version before the changes; 0 if it had never been published.
    version: int

    #: Whether the changes remove the entry.
    removes: bool

    #: The fields that differ.
    fields: tuple[FieldChange, ...]


class History:
    """The most recent accepted records; part of the state, so the same on every VM."""

    def __init__(self, entries: Iterable[HistoryEntry] = ()) -> None:
        self._entries: deque[HistoryEntry] = deque()
        self._change_count = 0
        for entry in entries:
            self.add(entry)

    @property
    def entries(self) -> tuple[HistoryEntry, ...]:
        """The records, oldest first."""
        return tuple(self._entries)

    def add(self, entry: HistoryEntry) -> None:
        """Adds a record, and drops the oldest ones beyond the limits on records and changes."""
        self._entries.append(entry)
        self._change_count += len(entry.changes)
        while len(self._entries) > 1 and self._exceeds_limits():
            self._change_count -= len(self._entries.popleft().changes)

    def find(self, record_id: str) -> Optional[HistoryEntry]:
        """Returns the record with the id; ``None`` if it is not in the history."""
        return next((entry for entry in self._entries if entry.record_id == record_id), None)

    def changes_between_versions(
        self, old: int, new: int
    ) -> result.Result[tuple[EntryDifference, ...], Failure]:
        """Returns the net changes from version ``old`` to version ``new``, one for each entry.

        Fails with ``CONFIGURATION_UNKNOWN`` if the history does not cover both versions, or if
        ``old`` is after ``new``.
        """
        newest = self._entries[-1].version if self._entries else 0
        oldest = self._entries[0].version - 1 if self._entries else 0
        if not oldest <= old <= new <= newest:
            return result.Failure(
                Failure(
                    ResultCode.CONFIGURATION_UNKNOWN,
                    f"versions {old} to {new}: the history covers versions {oldest} to {newest}",
                )
            )
        changes = [
            change
            for entry in self._entries
            if old < entry.version <= new
            for change in entry.changes
        ]
        return result.Success(_net_differences(changes))

    def _exceeds_limits(self) -> bool:
        return len(self._entries) > MAX_HISTORY_RECORDS or self._change_count > MAX_HISTORY_CHANGES


def changed_fields(old: Optional[RawValue], new: Optional[RawValue]) -> tuple[FieldChange, ...]:
    """Returns the fields in which two values differ, sorted by name."""
    before = old or {}
    after = new or {}
    return tuple(
        FieldChange(field, before.get(field), after.get(field))
        for field in sorted(set(before) | set(after))
        if before.get(field) != after.get(field)
    )


def _net_differences(changes: list[HistoricChange]) -> tuple[EntryDifference, ...]:
    first: dict[EntryKey, HistoricChange] = {}
    last: dict[EntryKey, HistoricChange] = {}
    for change in changes:
        first.setdefault(change.key, change)
        last[change.key] = change
    differences = []
    for key in sorted(first, key=str):
        before, after = first[key].before, last[key].after
        fields = changed_fields(before, after)
        if fields or (before is None) != (after is None):
            differences.append(
                EntryDifference(key, first[key].version_before, after is None, fields)
            )
    return tuple(differences)
