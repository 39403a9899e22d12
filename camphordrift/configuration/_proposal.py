"""The configuration as it would be after a record's changes, for checks before it is applied."""

from collections.abc import Iterable
from typing import Optional

from camphordrift.configuration._records import ConfigurationRecord, EntryKey
from camphordrift.configuration._relations import UniqueValue, references_of, unique_values_of
from camphordrift.configuration._state import ConfigurationState
from camphordrift.configuration._values import ConfigurationValue


class Proposal:
    """A read-only view of the state with a record's changes applied."""

    def __init__(self, state: ConfigurationState, record: ConfigurationRecord) -> None:
        self._state = state
        self._changed: dict[EntryKey, Optional[ConfigurationValue]] = {
            change.key: None if change.value is None else change.value.parsed
            for change in record.changes
        }

    def value_of(self, key: EntryKey) -> Optional[ConfigurationValue]:
        """Returns the value that would be in force after the changes."""
        if key in self._changed:
            return self._changed[key]
        return self._state.value_of(key)

    def value_before(self, key: EntryKey) -> Optional[ConfigurationValue]:
        """Returns the value that is in force before the changes."""
        return self._state.value_of(key)

    def changed_values(self) -> Iterable[tuple[EntryKey, ConfigurationValue]]:
        """Yields the new values, in the order of the record's changes."""
        for key, value in self._changed.items():
            if value is not None:
                yield key, value

    def affected_values(self) -> Iterable[tuple[EntryKey, ConfigurationValue]]:
        """Yields the unchanged values that refer to a changed or removed entry, sorted by key."""
        affected = {referrer for key in self._changed for referrer in self._state.referrers_of(key)}
        for key in sorted(affected - set(self._changed), key=str):
            value = self._state.value_of(key)
            if value is not None:
                yield key, value

    def missing_reference(self, key: EntryKey, value: ConfigurationValue) -> Optional[EntryKey]:
        """Returns an entry that ``value`` refers to and that would not exist, or ``None``."""
        for reference in references_of(key, value):
            if self.value_of(reference) is None:
                return reference
        return None

    def other_owner(self, key: EntryKey, unique_value: UniqueValue) -> Optional[EntryKey]:
        """Returns another entry that would have the same unique value, or ``None``."""
        for other, value in self.changed_values():
            if other != key and unique_value in unique_values_of(value):
                return other
        owner = self._state.owner_of(unique_value)
        if owner is None or owner == key or owner in self._changed:
            return None
        return owner
