"""The configuration as it would be with a record's changes, without changing it."""

from collections.abc import Iterable
from typing import Optional

from camphordrift.configuration._records import ConfigurationRecord, EntryKey
from camphordrift.configuration._relations import UniqueClaim, claims_of, references_of
from camphordrift.configuration._state import ConfigurationState
from camphordrift.configuration._values import ConfigurationValue


class Proposal:
    """A record laid over the state, for the checks that look at several entries."""

    def __init__(self, state: ConfigurationState, record: ConfigurationRecord) -> None:
        self._state = state
        self._changed: dict[EntryKey, Optional[ConfigurationValue]] = {
            change.key: None if change.value is None else change.value.parsed
            for change in record.changes
        }

    def value_of(self, key: EntryKey) -> Optional[ConfigurationValue]:
        """Returns the value that would be in force."""
        if key in self._changed:
            return self._changed[key]
        return self._state.value_of(key)

    def value_before(self, key: EntryKey) -> Optional[ConfigurationValue]:
        """Returns the value that is in force now."""
        return self._state.value_of(key)

    def changed_values(self) -> Iterable[tuple[EntryKey, ConfigurationValue]]:
        """Yields the new values, in the order of the record."""
        for key, value in self._changed.items():
            if value is not None:
                yield key, value

    def affected_values(self) -> Iterable[tuple[EntryKey, ConfigurationValue]]:
        """Yields the unchanged values that refer to a changed or removed entry."""
        affected = {referrer for key in self._changed for referrer in self._state.referrers_of(key)}
        for key in sorted(affected - set(self._changed), key=str):
            value = self._state.value_of(key)
            if value is not None:
                yield key, value

    def missing_reference(self, key: EntryKey, value: ConfigurationValue) -> Optional[EntryKey]:
        """Returns an entry that ``value`` refers to and that would not exist."""
        for reference in references_of(key, value):
            if self.value_of(reference) is None:
                return reference
        return None

    def other_holder(self, key: EntryKey, claim: UniqueClaim) -> Optional[EntryKey]:
        """Returns another entry that would hold the claim as well."""
        for other, value in self.changed_values():
            if other != key and claim in claims_of(value):
                return other
        holder = self._state.holder_of(claim)
        if holder is None or holder == key or holder in self._changed:
            return None
        return holder
