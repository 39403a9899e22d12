"""The decisions on a record that an operator wants to publish."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Optional

from returns import result

from camphordrift.configuration._decisions import (
    Accepted,
    Conflict,
    RecordDecision,
    Rejected,
    decide,
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
    """A record that is in force, or in a dry run, one that would be accepted."""

    #: The fleet-wide version that it made, or would make.
    version: int

    #: Its place in the log; ``None`` in a dry run.
    offset: Optional[int] = None


@dataclass(frozen=True)
class NotPublished:
    """A record that is not in force, or not known to be."""

    #: The numbered reason; ``PUBLISH_UNSURE`` if the record may still come into force.
    failure: Failure

    #: The entries that another operator changed, if that is the reason.
    conflicts: tuple[Conflict, ...] = ()


#: How publishing ended.
PublishResult = result.Result[Published, NotPublished]


def publishable_schema_version(
    live_schema_versions: Mapping[VmId, int], own_schema_version: int = HIGHEST_SCHEMA_VERSION
) -> int:
    """Returns the highest schema that this program writes and all live VMs read."""
    return min([own_schema_version, *live_schema_versions.values()])


def prepare_record(
    raw: Mapping[str, object], schema_version: int
) -> result.Result[ConfigurationRecord, Failure]:
    """Validates what an operator wrote; a missing ``schema_version`` becomes the given one."""
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
    """Returns what would become of the record if it were appended next."""
    too_old = [
        vm for vm, version in live_schema_versions.items() if version < record.schema_version
    ]
    if too_old:
        return result.Failure(NotPublished(_unreadable_for(sorted(too_old), record)))
    return publish_result_of(decide(state, record), None)


def publish_result_of(verdict: RecordDecision, offset: Optional[int]) -> PublishResult:
    """Returns a verdict in the operator's terms."""
    match verdict:
        case Accepted(version):
            return result.Success(Published(version, offset))
        case Rejected(failure, conflicts):
            return result.Failure(NotPublished(failure, conflicts))


def result_without_decision(
    state: ConfigurationState, record: ConfigurationRecord, record_id: str, offset: Optional[int]
) -> PublishResult:
    """Returns what is known of a record when the time is up and no verdict was seen.

    A VM that took a later state from a peer has passed the record without deciding on it. The
    state's history then tells whether it was accepted.
    """
    remembered = state.history.find(record_id)
    if remembered is not None:
        return result.Success(Published(remembered.version, remembered.offset))
    if offset is not None and state.offset > offset:
        match decide(state, record):
            case Rejected(failure, conflicts):
                return result.Failure(NotPublished(failure, conflicts))
            case Accepted():
                pass
    return result.Failure(
        NotPublished(
            Failure(
                ResultCode.PUBLISH_UNSURE,
                "the record may still come into force; look at the history before publishing again",
            )
        )
    )


def record_differences(
    state: ConfigurationState, record: ConfigurationRecord
) -> tuple[EntryDifference, ...]:
    """Returns what the record would change, whether or not it would be accepted."""
    found = []
    for change in record.changes:
        wanted = None if change.value is None else change.value.raw
        fields = changed_fields(state.raw_value_of(change.key), wanted)
        version = state.version_of(change.key)
        found.append(EntryDifference(change.key, version, change.value is None, fields))
    return tuple(found)


def _unreadable_for(vm_ids: list[VmId], record: ConfigurationRecord) -> Failure:
    names = ", ".join(vm_ids)
    return Failure(
        ResultCode.RECORD_SCHEMA_TOO_NEW,
        f"schema {record.schema_version} cannot be read by {names}; upgrade these VMs first,"
        " or publish in an earlier schema",
    )
