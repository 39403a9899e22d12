"""Checks a record before it is published, and determines the result of publishing it."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Optional

from returns import result

from camphordrift.configuration._decisions import (
    Accepted,
    Conflict,
    RecordDecision,
    Rejected,
    decide_record,
)
from camphordrift.configuration._history import EntryDifference, changed_fields
from camphordrift.configuration._records import (
    HIGHEST_SCHEMA_VERSION,
    ConfigurationRecord,
    UnreadableSchema,
)
from camphordrift.configuration._state import ConfigurationState
from camphordrift.configuration._validation import validate_record
from camphordrift.identifiers import VmId
from camphordrift.results import Failure, ResultCode


@dataclass(frozen=True)
class Published:
    """An accepted record; in a dry run, one that would be accepted."""

    #: The fleet-wide version after the record.
    version: int

    #: The record's offset in the log; ``None`` in a dry run.
    offset: Optional[int] = None


@dataclass(frozen=True)
class NotPublished:
    """A record that was not accepted, or whose acceptance is unknown."""

    #: The result code and detail; ``PUBLISH_UNSURE`` if the record may still come into force.
    failure: Failure

    #: The conflicting entries, for ``RECORD_VERSION_CONFLICT``; otherwise empty.
    conflicts: tuple[Conflict, ...] = ()


#: The result of publishing a record.
PublishResult = result.Result[Published, NotPublished]


def publishable_schema_version(
    live_schema_versions: Mapping[VmId, int], own_schema_version: int = HIGHEST_SCHEMA_VERSION
) -> int:
    """Returns the highest schema version that this program writes and all live VMs can read."""
    return min([own_schema_version, *live_schema_versions.values()])


def prepare_record(
    raw: Mapping[str, object], schema_version: int
) -> result.Result[ConfigurationRecord, Failure]:
    """Validates a record as written by an operator.

    ``schema_version`` is used if the record does not state one. Fails with
    ``RECORD_MALFORMED``, or ``RECORD_SCHEMA_TOO_NEW`` if this program does not know the schema.
    """
    completed = {"schema_version": schema_version, **raw}
    match validate_record(completed):
        case result.Success(ConfigurationRecord() as record):
            return result.Success(record)
        case result.Success(UnreadableSchema(later)):
            detail = f"schema_version = {later}: expected at most {HIGHEST_SCHEMA_VERSION}"
            return result.Failure(Failure(ResultCode.RECORD_SCHEMA_TOO_NEW, detail))
        case result.Failure(failure):
            return result.Failure(failure)
        case _:
            raise AssertionError("unreachable")


def check_before_append(
    state: ConfigurationState,
    record: ConfigurationRecord,
    live_schema_versions: Mapping[VmId, int],
) -> PublishResult:
    """Returns the result that publishing the record would have if it were appended next.

    Fails with ``RECORD_SCHEMA_TOO_NEW`` if a live VM cannot read the record's schema.
    """
    too_old = [
        vm for vm, version in live_schema_versions.items() if version < record.schema_version
    ]
    if too_old:
        return result.Failure(NotPublished(_unreadable_schema_failure(sorted(too_old), record)))
    return publish_result_of(decide_record(state, record), None)


def publish_result_of(decision: RecordDecision, offset: Optional[int]) -> PublishResult:
    """Converts the decision on a record to the result of publishing it."""
    match decision:
        case Accepted(version):
            return result.Success(Published(version, offset))
        case Rejected(failure, conflicts):
            return result.Failure(NotPublished(failure, conflicts))


def result_without_decision(
    state: ConfigurationState, record: ConfigurationRecord, record_id: str, offset: Optional[int]
) -> PublishResult:
    """Returns the result of publishing a record on which no decision was seen by the deadline.

    A VM that adopted a later state from a peer has skipped the record without deciding on it. The
    state's history then shows whether it was accepted.
    """
    accepted_entry = state.history.find(record_id)
    if accepted_entry is not None:
        return result.Success(Published(accepted_entry.version, accepted_entry.offset))
    if offset is not None and state.offset > offset:
        match decide_record(state, record):
            case Rejected(failure, conflicts):
                return result.Failure(NotPublished(failure, conflicts))
            case Accepted():
                pass
    return result.Failure(
        NotPublished(
            Failure(
                ResultCode.PUBLISH_UNSURE,
                "the record may still come into force;"
                " check the history before publishing it again",
            )
        )
    )


def record_differences(
    state: ConfigurationState, record: ConfigurationRecord
) -> tuple[EntryDifference, ...]:
    """Returns the differences between the state and the record, even if it would be rejected."""
    differences = []
    for change in record.changes:
        new_value = None if change.value is None else change.value.raw
        fields = changed_fields(state.raw_value_of(change.key), new_value)
        version = state.version_of(change.key)
        differences.append(EntryDifference(change.key, version, change.value is None, fields))
    return tuple(differences)


def _unreadable_schema_failure(vm_ids: list[VmId], record: ConfigurationRecord) -> Failure:
    names = ", ".join(vm_ids)
    return Failure(
        ResultCode.RECORD_SCHEMA_TOO_NEW,
        f"schema version {record.schema_version} cannot be read by {names};"
        " upgrade these VMs first, or publish in an earlier schema version",
    )
