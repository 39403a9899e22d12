"""Accepts or rejects each record of the configuration stream, identically on every VM."""

from dataclasses import dataclass
from typing import Optional, Union

from camphordrift.configuration._checks import find_rejection_reason
from camphordrift.configuration._history import changed_fields
from camphordrift.configuration._proposal import Proposal
from camphordrift.configuration._records import Change, ConfigurationRecord, EntryKey
from camphordrift.configuration._state import ConfigurationState
from camphordrift.results import Failure, ResultCode


@dataclass(frozen=True)
class FieldDifference:
    """One field in which a rejected record differs from the value in force."""

    #: Name of the field.
    field: str

    #: The field's content in the value in force; ``None`` if that value does not set the field.
    in_force: object

    #: The field's content in the rejected record; ``None`` if the record does not set the field.
    wanted: object

    def __str__(self) -> str:
        return f"{self.field} is {self.in_force!r}, the record sets {self.wanted!r}"


@dataclass(frozen=True)
class Conflict:
    """An entry that was changed after the version on which a rejected record is based."""

    #: Kind and name of the entry.
    key: EntryKey

    #: The entry's version on which the record is based.
    replaces: int

    #: The entry's version in force.
    version: int

    #: Who published the version in force; empty if there is none.
    author: str

    #: The fields in which the value in force differs from the record's.
    differences: tuple[FieldDifference, ...]

    def __str__(self) -> str:
        changed = "; ".join(str(difference) for difference in self.differences)
        return (
            f"{self.key} is at version {self.version}, published by {self.author or 'nobody'};"
            f" the record replaces {self.replaces}: {changed or 'no difference'}"
        )


@dataclass(frozen=True)
class Accepted:
    """The decision to accept a record."""

    #: The fleet-wide version after the record.
    version: int


@dataclass(frozen=True)
class Rejected:
    """The decision to reject a record, which then changes nothing."""

    #: The result code and detail of the rejection.
    failure: Failure

    #: The conflicting entries, for ``RECORD_VERSION_CONFLICT``; otherwise empty.
    conflicts: tuple[Conflict, ...] = ()


#: Whether one record is accepted, with the new version or the reasons for the rejection.
RecordDecision = Union[Accepted, Rejected]


def decide_record(state: ConfigurationState, record: ConfigurationRecord) -> RecordDecision:
    """Returns the decision that :func:`apply_record` would make, without changing the state."""
    conflicts = tuple(
        _describe_conflict(state, change)
        for change in record.changes
        if change.replaces != state.version_of(change.key)
    )
    if conflicts:
        detail = "; ".join(str(conflict) for conflict in conflicts)
        return Rejected(Failure(ResultCode.RECORD_VERSION_CONFLICT, detail), conflicts)
    failure = _check_removals_and_schema_versions(state, record) or find_rejection_reason(
        Proposal(state, record)
    )
    if failure is not None:
        return Rejected(failure)
    return Accepted(state.version + 1)


def apply_record(
    state: ConfigurationState, record: ConfigurationRecord, record_id: str, offset: int
) -> RecordDecision:
    """Decides on the record at ``offset`` and applies it if it is accepted.

    The decision depends only on the state and the record, so it is the same on every VM. A
    duplicate of an accepted record is always rejected, because the versions that it replaces are no
    longer current.
    """
    decision = decide_record(state, record)
    match decision:
        case Accepted():
            state.apply(record, record_id, offset)
        case Rejected():
            state.skip_record(offset)
    return decision


def _describe_conflict(state: ConfigurationState, change: Change) -> Conflict:
    entry = state.entry(change.key)
    new_value = None if change.value is None else change.value.raw
    differences = tuple(
        FieldDifference(changed.field, changed.old, changed.new)
        for changed in changed_fields(state.raw_value_of(change.key), new_value)
    )
    return Conflict(
        change.key,
        change.replaces,
        state.version_of(change.key),
        "" if entry is None else entry.author,
        differences,
    )


def _check_removals_and_schema_versions(
    state: ConfigurationState, record: ConfigurationRecord
) -> Optional[Failure]:
    for change in record.changes:
        entry = state.entry(change.key)
        if change.value is None and (entry is None or entry.value is None):
            return Failure(
                ResultCode.RECORD_INCONSISTENT, f"{change.key} does not exist; cannot remove it"
            )
        if entry is not None and entry.schema_version > record.schema_version:
            return Failure(
                ResultCode.RECORD_SCHEMA_TOO_NEW,
                f"{change.key} was last published in schema version {entry.schema_version};"
                f" a record in version {record.schema_version} could drop fields of it",
            )
    return None
