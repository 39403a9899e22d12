"""What accepted records changed, and the configuration as it was before them."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Optional

from returns import result

from camphordrift.configuration._records import EntryKey, RawValue
from camphordrift.results import Failure, ResultCode

#: Accepted records that are remembered, and changes in all of them together, at most.
REMEMBERED_RECORDS = 200
REMEMBERED_CHANGES = 1_000


@dataclass(frozen=True)
class HistoricChange:
    """What one record did to one entry."""

    #: The entry.
    key: EntryKey

    #: Its version before; 0 if it had never been published.
    version_before: int

    #: Its value before; ``None`` if it had none.
    before: Optional[RawValue]

    #: Its value since; ``None`` if the record removed it.
    after: Optional[RawValue]


@dataclass(frozen=True)
class HistoryEntry:
    """One accepted record."""

    #: The fleet-wide version that it made.
    version: int

    #: Its place in the log.
    offset: int

    #: Its id, in hexadecimal digits.
    record_id: str

    #: Who wrote it.
    author: str

    #: Why.
    note: str

    #: What it changed.
    changes: tuple[HistoricChange, ...]

    @property
    def keys(self) -> tuple[EntryKey, ...]:
        """The entries that it changed."""
        return tuple(change.key for change in self.changes)


@dataclass(frozen=True)
class FieldChange:
    """One field that differs between two values of an entry."""

    #: The field's name.
    field: str

    #: What the earlier value says; ``None`` if the field is not given.
    old: object

    #: What the later value says; ``None`` if the field is not given.
    new: object


@dataclass(frozen=True)
class EntryDifference:
    """How one entry differs between two versions, or would differ with a record."""

    #: The entry.
    key: EntryKey

    #: The version that a change of it had to replace before; 0 if it had never been published.
    version: int

    #: True if it has no value afterwards.
    removes: bool

    #: The fields that differ.
    fields: tuple[FieldChange, ...]


class History:
    """The newest accepted records; part of the state, and so the same on every VM."""

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
        """Remembers one more record, and forgets the oldest beyond the bounds."""
        self._entries.append(entry)
        self._change_count += len(entry.changes)
        while len(self._entries) > 1 and self._is_over_bounds():
            self._change_count -= len(self._entries.popleft().changes)

    def find(self, record_id: str) -> Optional[HistoryEntry]:
        """Returns the record of that id; ``None`` if it is not remembered."""
        return next((entry for entry in self._entries if entry.record_id == record_id), None)

    def differences(
        self, old: int, new: int
    ) -> result.Result[tuple[EntryDifference, ...], Failure]:
        """Returns what changed from version ``old`` to version ``new``, by entry.

        Fails with ``CONFIGURATION_UNKNOWN`` if the history does not reach that far.
        """
        newest = self._entries[-1].version if self._entries else 0
        oldest = self._entries[0].version - 1 if self._entries else 0
        if not oldest <= old <= new <= newest:
            return result.Failure(
                Failure(
                    ResultCode.CONFIGURATION_UNKNOWN,
                    f"versions {old} to {new}: the history reaches from {oldest} to {newest}",
                )
            )
        changes = [
            change
            for entry in self._entries
            if old < entry.version <= new
            for change in entry.changes
        ]
        return result.Success(_net_differences(changes))

    def _is_over_bounds(self) -> bool:
        return len(self._entries) > REMEMBERED_RECORDS or self._change_count > REMEMBERED_CHANGES


def changed_fields(old: Optional[RawValue], new: Optional[RawValue]) -> tuple[FieldChange, ...]:
    """Returns the fields in which two values differ, by name."""
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
    found = []
    for key in sorted(first, key=str):
        before, after = first[key].before, last[key].after
        fields = changed_fields(before, after)
        if fields or (before is None) != (after is None):
            found.append(EntryDifference(key, first[key].version_before, after is None, fields))
    return tuple(found)
