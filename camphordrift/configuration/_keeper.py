"""Replicates the configuration on one VM, publishes records and maintains the log's checkpoints."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Optional

import trio
from returns import result

from camphordrift.configuration._checkpoints import CheckpointAppender
from camphordrift.configuration._decisions import RecordDecision
from camphordrift.configuration._encoding import encode_record
from camphordrift.configuration._history import EntryDifference, HistoryEntry
from camphordrift.configuration._keeper_settings import KeeperSettings
from camphordrift.configuration._keeper_status import KeeperStatus, refusal_to_publish
from camphordrift.configuration._publishing import (
    NotPublished,
    PublishResult,
    check_before_append,
    publish_result_of,
    record_differences,
    result_without_decision,
)
from camphordrift.configuration._readiness import (
    Readiness,
    SourceFreshness,
    is_current,
    readiness_of,
)
from camphordrift.configuration._records import (
    HIGHEST_SCHEMA_VERSION,
    ConfigurationRecord,
    RecordKind,
)
from camphordrift.configuration._replica import (
    ConfigurationReplica,
    PeerStateOutcome,
    RejectedRecord,
)
from camphordrift.configuration._snapshot import ConfigurationSnapshot
from camphordrift.configuration._state import Entry
from camphordrift.identifiers import VmId
from camphordrift.platform_log import (
    FollowedRecord,
    LogFollower,
    LogGap,
    LogTransport,
    LogWriter,
    RecordId,
    new_record_id,
)
from camphordrift.results import Failure, ResultCode


def _no_live_vms() -> Mapping[VmId, int]:
    """Default of ``live_schema_versions``: no other VM restricts the schema version."""
    return {}


class ConfigurationKeeper:
    """Keeps one VM's replica of the configuration current, and publishes records.

    The replica is updated from the log and from the states that peers send. The tasks :meth:`run`
    and ``writer.run`` must be running. ``clock`` returns monotonic seconds and ``wall_clock``
    seconds since 1970. ``live_schema_versions`` returns, for each live VM, the highest schema
    version that it can read, as reported in its heartbeats.

    Example::

        keeper = ConfigurationKeeper(transport, writer, KeeperSettings(), trio.current_time,
                                     time.time, Random())
        nursery.start_soon(keeper.run)
        snapshot = keeper.snapshot
    """

    def __init__(
        self,
        transport: LogTransport,
        writer: LogWriter,
        settings: KeeperSettings,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        random: Random,
        live_schema_versions: Callable[[], Mapping[VmId, int]] = _no_live_vms,
        readable_schema_version: int = HIGHEST_SCHEMA_VERSION,
    ) -> None:
        self._writer = writer
        self._settings = settings
        self._clock = clock
        self._live_schema_versions = live_schema_versions
        self._replica = ConfigurationReplica(readable_schema_version)
        self._follower = LogFollower(
            transport, settings.stream, self, settings.follower, clock, random
        )
        self._was_current = False
        self._has_peer_state = False
        self._started_at = clock()
        self._changed = trio.Event()
        self._checkpoints = CheckpointAppender(
            self, self._follower, writer, settings, clock, wall_clock, random
        )

    @property
    def snapshot(self) -> Optional[ConfigurationSnapshot]:
        """The configuration in force; ``None`` until this VM has one.

        A request reads it once and uses the same snapshot until it ends.
        """
        return self._replica.snapshot

    @property
    def readiness(self) -> Readiness:
        """Whether the VM may serve requests, and if not, why."""
        self._was_current = self._was_current or self._is_current()
        return readiness_of(self._replica, self._was_current)

    @property
    def is_ready(self) -> bool:
        """Whether the VM may serve requests."""
        return self.readiness is Readiness.READY

    @property
    def state_offset(self) -> int:
        """The offset of the next record to apply; peers compare it to find the newer state."""
        return self._replica.state.offset

    @property
    def replica(self) -> ConfigurationReplica:
        """The VM's replica of the configuration."""
        return self._replica

    @property
    def status(self) -> KeeperStatus:
        """The keeper's current status, for readiness, the state dump and alarms."""
        return KeeperStatus(
            readiness=self.readiness,
            version=self._replica.state.version,
            offset=self._replica.state.offset,
            caught_up=self._follower.caught_up,
            seconds_since_contact=self._follower.seconds_since_contact,
            block=self._replica.block,
            lost_tail=self._follower.position.lost_tail,
            readable_schema_version=self._replica.readable_schema_version,
            checkpoints_appended=self._checkpoints.appended_count,
        )

    async def run(self) -> None:
        """Follows the log and appends checkpoints until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._checkpoints.run)

    def encoded_state(self) -> Optional[bytes]:
        """Returns the encoded state to send to a peer; ``None`` while the VM has none."""
        return self._replica.encoded_state()

    def accept_peer_state(self, encoded: bytes) -> PeerStateOutcome:
        """Adopts a peer's :meth:`encoded_state` if it is newer than this VM's."""
        outcome = self._replica.on_peer_state(encoded)
        if outcome is PeerStateOutcome.ADOPTED:
            self._has_peer_state = True
            self._skip_applied_records()
            self._notify_changed()
        return outcome

    async def wait_for_change(self) -> None:
        """Waits until a record has been read from the log or a peer's state has been adopted."""
        await self._changed.wait()

    async def wait_ready(self) -> None:
        """Waits until the VM may serve requests."""
        while not self.is_ready:
            with trio.move_on_after(self._settings.follower.poll_seconds):
                await self._changed.wait()

    async def publish(
        self, record: ConfigurationRecord, timeout_seconds: float, dry_run: bool = False
    ) -> PublishResult:
        """Publishes a record and waits, for up to ``timeout_seconds``, for the decision on it.

        A dry run decides on the record against the current state and appends nothing.
        ``PUBLISH_UNSURE`` means that the record may already be in force, or may still come into
        force: check :meth:`history` before publishing it again. A record is never appended under
        two ids. A record that is published twice is rejected the second time, because the versions
        that it replaces are no longer current.
        """
        deadline = self._clock() + timeout_seconds
        await self._refresh()
        refusal = refusal_to_publish(self.status)
        if refusal is not None:
            return result.Failure(NotPublished(refusal))
        checked = check_before_append(self._replica.state, record, self._live_schema_versions())
        if dry_run or isinstance(checked, result.Failure):
            return checked
        return await self._append_and_wait(record, new_record_id(), deadline)

    def preview_changes(self, record: ConfigurationRecord) -> tuple[EntryDifference, ...]:
        """Returns how the record would change the configuration in force, without publishing it."""
        return record_differences(self._replica.state, record)

    def changes_between_versions(
        self, old: int, new: Optional[int] = None
    ) -> result.Result[tuple[EntryDifference, ...], Failure]:
        """Returns the net changes from version ``old`` to ``new``, by default the one in force.

        Fails with ``CONFIGURATION_UNKNOWN`` if the history does not cover both versions.
        """
        state = self._replica.state
        return state.history.changes_between_versions(old, state.version if new is None else new)

    def history(self) -> tuple[HistoryEntry, ...]:
        """Returns the most recent accepted records, oldest first."""
        return self._replica.state.history.entries

    def rejections(self) -> tuple[RejectedRecord, ...]:
        """Returns the most recent records that this VM rejected, oldest first."""
        return self._replica.rejections

    def entries(self, kind: Optional[RecordKind] = None) -> tuple[Entry, ...]:
        """Returns all entries, or those of one kind, sorted by kind and name.

        Removed entries are included, because a record that adds one again must state the version
        that it replaces.
        """
        entries = self._replica.state.entries.values()
        selected = [entry for entry in entries if kind is None or entry.key.kind is kind]
        return tuple(sorted(selected, key=lambda entry: str(entry.key)))

    def on_record(self, record: FollowedRecord) -> None:
        """Processes the next record of the log; called by the follower."""
        self._replica.on_record(record)
        self._skip_applied_records()
        self._notify_changed()

    def on_truncated(self, gap: LogGap) -> None:
        """Handles the truncation of records that were not read yet; called by the follower."""
        self._replica.on_truncated(gap)

    def check_invariants(self) -> None:
        """Asserts the invariants of the replica and the follower; for randomized tests."""
        self._replica.check_invariants()
        if self._replica.block is None:
            assert self._replica.state.offset <= self._follower.next_offset

    def _is_current(self) -> bool:
        freshness = SourceFreshness(
            seconds_since_start=self._clock() - self._started_at,
            seconds_since_contact=self._follower.seconds_since_contact,
            consecutive_caught_up_reads=self._follower.consecutive_caught_up_reads,
            has_peer_state=self._has_peer_state,
        )
        return is_current(self._replica, freshness, self._settings)

    def _skip_applied_records(self) -> None:
        if self._replica.block is None:
            self._follower.skip_to(self._replica.state.offset)

    async def _refresh(self) -> None:
        """Reads the log once, so that a record is not checked against an outdated state.

        Gives up after ``refresh_seconds`` if the log does not respond.
        """
        with trio.move_on_after(self._settings.refresh_seconds):
            await self._follower.read_now()

    async def _append_and_wait(
        self, record: ConfigurationRecord, record_id: RecordId, deadline: float
    ) -> PublishResult:
        appended = await self._append_unless_decided(record, record_id, deadline)
        if isinstance(appended, result.Failure):
            failure = appended.failure()
            if failure.code is not ResultCode.LOG_APPEND_UNSURE:
                return result.Failure(NotPublished(failure))
        offset = appended.value_or(None)
        self._follower.request_read()
        decision = await self._wait_for_decision(record_id, deadline)
        if decision is not None:
            accepted_entry = self._replica.state.history.find(record_id.hex())
            return publish_result_of(
                decision, offset if accepted_entry is None else accepted_entry.offset
            )
        return result_without_decision(self._replica.state, record, record_id.hex(), offset)

    async def _append_unless_decided(
        self, record: ConfigurationRecord, record_id: RecordId, deadline: float
    ) -> result.Result[Optional[int], Failure]:
        """Appends the record; returns early once the decision on it is seen in the log.

        Publishing therefore succeeds even if the response to the append is lost.
        """
        appended: result.Result[Optional[int], Failure] = result.Success(None)

        async def append(nursery: trio.Nursery) -> None:
            nonlocal appended
            append_result = await self._writer.append(
                self._settings.stream, encode_record(record), deadline, record_id
            )
            # The identity map only widens the type: ``int`` becomes ``Optional[int]``.
            appended = append_result.map(lambda offset: offset)
            nursery.cancel_scope.cancel()

        async def watch(nursery: trio.Nursery) -> None:
            await self._wait_for_decision(record_id, deadline)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(append, nursery)
            nursery.start_soon(watch, nursery)
        return appended

    async def _wait_for_decision(
        self, record_id: RecordId, deadline: float
    ) -> Optional[RecordDecision]:
        with trio.move_on_after(max(0.0, deadline - self._clock())):
            while record_id.hex() not in self._replica.decisions:
                await self._changed.wait()
        return self._replica.decisions.get(record_id.hex())

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
