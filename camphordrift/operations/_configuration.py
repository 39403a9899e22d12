"""Shows and publishes the configuration for operators, as JSON documents."""

from collections.abc import Callable, Mapping
from typing import Any, Optional, Protocol

from returns.result import Failure as Failed
from returns.result import Result, Success

from camphordrift.configuration import (
    ConfigurationRecord,
    Entry,
    EntryDifference,
    HistoryEntry,
    KeeperStatus,
    NotPublished,
    Published,
    PublishResult,
    RecordKind,
    prepare_record,
    publishable_schema_version,
)
from camphordrift.identifiers import VmId
from camphordrift.operations._providers import Refusal
from camphordrift.results import Failure, ResultCode
from camphordrift.telemetry import LogLevel, log_event

#: Seconds to wait until a published record is accepted or rejected.
PUBLISH_TIMEOUT_SECONDS = 20.0

#: The data of a JSON response, or why an operation was refused.
OperationResult = Result[object, Refusal]


class Keeper(Protocol):
    """The methods of :class:`camphordrift.configuration.ConfigurationKeeper` that are used here."""

    @property
    def status(self) -> KeeperStatus:
        """Readiness, version in force and log offset."""
        ...

    def entries(self, kind: Optional[RecordKind] = None) -> tuple[Entry, ...]:
        """Returns the configuration entries in force; of all kinds if ``kind`` is ``None``."""
        ...

    def history(self) -> tuple[HistoryEntry, ...]:
        """Returns the newest accepted records, oldest first."""
        ...

    def preview_changes(self, record: ConfigurationRecord) -> tuple[EntryDifference, ...]:
        """Returns the entries that the record would change, with their differences."""
        ...

    async def publish(
        self, record: ConfigurationRecord, timeout_seconds: float, dry_run: bool = False
    ) -> PublishResult:
        """Publishes a record and waits for the decision on it."""
        ...


class ConfigurationOperations:
    """Implements :class:`ConfigurationProvider` with a configuration keeper.

    ``live_schema_versions`` returns the highest schema version that each live VM reads. A record
    without a schema version gets the highest version that all of them read.
    """

    def __init__(
        self, keeper: Keeper, live_schema_versions: Callable[[], Mapping[VmId, int]]
    ) -> None:
        self._keeper = keeper
        self._live_schema_versions = live_schema_versions

    def show(self, kind_name: Optional[str]) -> OperationResult:
        """Returns the entries in force with their versions; of all kinds if none is given."""
        if kind_name is None:
            return self._show_entries(None)
        try:
            return self._show_entries(RecordKind(kind_name))
        except ValueError:
            kind_names = ", ".join(kind.value for kind in RecordKind)
            detail = f"kind is {kind_name[:40]!r}; expected one of {kind_names}"
            return Failed(Refusal(Failure(ResultCode.MALFORMED_REQUEST, detail)))

    def history(self, limit: int) -> OperationResult:
        """Returns the last ``limit`` accepted records, newest first."""
        newest = list(reversed(self._keeper.history()))[:limit]
        records = [_history_document(entry) for entry in newest]
        return Success({"version": self._keeper.status.version, "records": records})

    def diff(self, raw: Mapping[str, Any]) -> OperationResult:
        """Returns the changes of a record, whether or not it would be accepted."""
        return self._prepare_record(raw).map(self._difference_document)

    async def publish(self, raw: Mapping[str, Any], dry_run: bool) -> OperationResult:
        """Validates a record, and publishes it unless ``dry_run`` is true."""
        prepared = self._prepare_record(raw)
        if isinstance(prepared, Failed):
            return Failed(prepared.failure())
        record = prepared.unwrap()
        publication = await self._keeper.publish(record, PUBLISH_TIMEOUT_SECONDS, dry_run)
        _log_publication(record, publication, dry_run)
        return publication.map(lambda published: _published_document(published, dry_run)).alt(
            _refusal_from_rejection
        )

    def _show_entries(self, kind: Optional[RecordKind]) -> OperationResult:
        entries = [_entry_document(entry) for entry in self._keeper.entries(kind)]
        return Success({"version": self._keeper.status.version, "entries": entries})

    def _prepare_record(self, raw: Mapping[str, Any]) -> Result[ConfigurationRecord, Refusal]:
        schema_version = publishable_schema_version(self._live_schema_versions())
        return prepare_record(raw, schema_version).alt(Refusal)

    def _difference_document(self, record: ConfigurationRecord) -> object:
        return [
            {
                "kind": difference.key.kind,
                "key": difference.key.name,
                "version": difference.version,
                "removes": difference.removes,
                "fields": difference.fields,
            }
            for difference in self._keeper.preview_changes(record)
        ]


def _entry_document(entry: Entry) -> dict[str, object]:
    document: dict[str, object] = {
        "kind": entry.key.kind,
        "key": entry.key.name,
        "version": entry.version,
        "author": entry.author,
    }
    if entry.value is None:
        return {**document, "removed": True}
    return {**document, "value": entry.value.raw}


def _history_document(entry: HistoryEntry) -> dict[str, object]:
    return {
        "version": entry.version,
        "offset": entry.offset,
        "record_id": entry.record_id,
        "author": entry.author,
        "note": entry.note,
        "changes": [str(key) for key in entry.keys],
    }


def _published_document(published: Published, dry_run: bool) -> object:
    return {"version": published.version, "offset": published.offset, "dry_run": dry_run}


def _refusal_from_rejection(not_published: NotPublished) -> Refusal:
    conflicts = [
        {
            "kind": conflict.key.kind,
            "key": conflict.key.name,
            "replaces": conflict.replaces,
            "version": conflict.version,
            "author": conflict.author,
            "differences": conflict.differences,
        }
        for conflict in not_published.conflicts
    ]
    return Refusal(not_published.failure, {"conflicts": conflicts} if conflicts else {})


def _log_publication(
    record: ConfigurationRecord, publication: PublishResult, dry_run: bool
) -> None:
    match publication:
        case Success(published):
            verdict, version, level = "accepted", published.version, LogLevel.INFO
        case Failed(not_published):
            verdict, version, level = not_published.failure.code.name, None, LogLevel.WARNING
        case _:
            raise AssertionError("unreachable")
    changes = ", ".join(str(change.key) for change in record.changes)
    log_event(
        "configuration_published",
        level=level,
        verdict=verdict,
        version=version,
        author=record.author,
        dry_run=dry_run,
        changes=changes,
    )
