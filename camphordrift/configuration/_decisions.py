"""Decides on each record of the configuration stream, the same way on every VM."""

from dataclasses import dataclass
from typing import Optional, Union

from camphordrift.configuration._checks import find_fault
from camphordrift.configuration._history import changed_fields
from camphordrift.configuration._proposal import Proposal
from camphordrift.configuration._records import Change, ConfigurationRecord, EntryKey
from camphordrift.configuration._state import ConfigurationState
from camphordrift.results import Failure, ResultCode


@dataclass(frozen=True)
class FieldDifference:
    """One field in which a rejected record differs from what is in force."""

    #: The field's name.
    field: str

    #: What is in force; ``None`` if the field is not given.
    in_force: object

    #: What the record wants; ``None`` if the field is not given.
    wanted: object

    def __str__(self) -> str:
        return f"{self.field} is {self.in_force!r}, the record wants {self.wanted!r}"


@dataclass(frozen=True)
class Conflict:
    """An entry that was changed since the author of a rejected record looked at it."""

    #: The entry.
    key: EntryKey

    #: The version that the record replaces.
    replaces: int

    #: The version in force.
    version: int

    #: Who published the version in force; empty if there is none.
    author: str

    #: How the value in force differs from the one that the record wants.
    differences: tuple[FieldDifference, ...]

    def __str__(self) -> str:
        changed = "; ".join(str(difference) for difference in self.differences)
        return (
            f"{self.key} is at version {self.version} by {self.author or 'nobody'},"
            f" the record replaces {self.replaces}: {changed or 'no difference'}"
        )


@dataclass(frozen=True)
class Accepted:
    """The record is in force."""

    #: The fleet-wide version that it made, or would make.
    version: int


@dataclass(frozen=True)
class Rejected:
    """The record changed nothing."""

    #: The numbered reason.
    failure: Failure

    #: The entries that were changed by somebody else, if that is the reason.
    conflicts: tuple[Conflict, ...] = ()


#: The decision on one record.
RecordDecision = Union[Accepted, Rejected]


def decide(state: ConfigurationState, record: ConfigurationRecord) -> RecordDecision:
    """Returns what :func:`apply_record` would decide, without changing the state; for a dry run."""
    conflicts = tuple(
        _conflict(state, change)
        for change in record.changes
        if change.replaces != state.version_of(change.key)
    )
    if conflicts:
        detail = "; ".join(str(conflict) for conflict in conflicts)
        return Rejected(Failure(ResultCode.RECORD_VERSION_CONFLICT, detail), conflicts)
    fault = _fault_of_changes(state, record) or find_fault(Proposal(state, record))
    if fault is not None:
        return Rejected(fault)
    return Accepted(state.version + 1)


def apply_record(
    state: ConfigurationState, record: ConfigurationRecord, record_id: str, offset: int
) -> RecordDecision:
    """Decides on the record at ``offset`` and applies it if it is accepted.

    The decision depends on the state and the record alone, so every VM comes to the same one. A
    second copy of a record never has an effect: the versions that it replaces are gone.
    """
    verdict = decide(state, record)
    match verdict:
        case Accepted():
            state.apply(record, record_id, offset)
        case Rejected():
            state.pass_over(offset)
    return verdict


def _conflict(state: ConfigurationState, change: Change) -> Conflict:
    entry = state.entry(change.key)
    wanted = None if change.value is None else change.value.raw
    differences = tuple(
        FieldDifference(changed.field, changed.old, changed.new)
        for changed in changed_fields(state.raw_value_of(change.key), wanted)
    )
    return Conflict(
        change.key,
        change.replaces,
        state.version_of(change.key),
        "" if entry is None else entry.author,
        differences,
    )


def _fault_of_changes(state: ConfigurationState, record: ConfigurationRecord) -> Optional[Failure]:
    for change in record.changes:
        entry = state.entry(change.key)
        if change.value is None and (entry is None or entry.value is None):
            return Failure(
                ResultCode.RECORD_INCONSISTENT, f"{change.key} does not exist; nothing to remove"
            )
        if entry is not None and entry.schema_version > record.schema_version:
            return Failure(
                ResultCode.RECORD_SCHEMA_TOO_NEW,
                f"{change.key} was last written in schema {entry.schema_version};"
                f" schema {record.schema_version} cannot say all that it says",
            )
    return None
