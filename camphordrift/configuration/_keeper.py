"""Keeps one VM's configuration up to date, and the log's checkpoints."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Optional

import trio
from returns import result

from camphordrift.configuration._checkpoints import CheckpointAppender
from camphordrift.configuration._encoding import encode_record
from camphordrift.configuration._fold import Verdict
from camphordrift.configuration._history import EntryDifference, HistoryEntry
from camphordrift.configuration._keeper_settings import KeeperSettings
from camphordrift.configuration._keeper_status import KeeperStatus, refusal_to_publish
from camphordrift.configuration._publishing import (
    NotPublished,
    PublishResult,
    check_before_append,
    difference,
    published_or_not,
    unsure_or_rejected,
)
from camphordrift.configuration._readiness import Readiness, SourceAges, is_current, readiness_of
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
    return {}


class ConfigurationKeeper:
    """The configuration of one VM: follows the log, hands its state to peers, publishes.

    ``run`` must be running, and so must the writer's. ``clock`` gives monotonic seconds,
    ``wall_clock`` seconds since 1970. ``live_schema_versions`` returns the schema that each live VM
    reads, as its heartbeats tell.

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
        """The configuration in force; ``None`` if nothing is known. Requests take it once."""
        return self._replica.snapshot

    @property
    def readiness(self) -> Readiness:
        """Whether the VM may serve, and if not, why."""
        self._was_current = self._was_current or self._is_current()
        return readiness_of(self._replica, self._was_current)

    @property
    def is_ready(self) -> bool:
        """Whether the VM may serve."""
        return self.readiness is Readiness.READY

    @property
    def state_offset(self) -> int:
        """How far the state reaches, for peers to see who is further."""
        return self._replica.state.offset

    @property
    def replica(self) -> ConfigurationReplica:
        """The fold of this VM."""
        return self._replica

    @property
    def status(self) -> KeeperStatus:
        """What the keeper knows."""
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
        """Follows the log and keeps its checkpoints until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._checkpoints.run)

    def encoded_state(self) -> Optional[bytes]:
        """Returns the state to hand to a peer; ``None`` if nothing is known."""
        return self._replica.encoded_state()

    def accept_peer_state(self, encoded: bytes) -> PeerStateOutcome:
        """Takes a peer's :meth:`encoded_state` if it is newer than this VM's."""
        outcome = self._replica.on_peer_state(encoded)
        if outcome is PeerStateOutcome.ADOPTED:
            self._has_peer_state = True
            self._skip_what_is_known()
            self._tell_changed()
        return outcome

    async def wait_for_change(self) -> None:
        """Waits until records have been applied, or a peer's state was taken."""
        await self._changed.wait()

    async def wait_ready(self) -> None:
        """Waits until the VM may serve."""
        while not self.is_ready:
            with trio.move_on_after(self._settings.follower.poll_seconds):
                await self._changed.wait()

    async def publish(
        self, record: ConfigurationRecord, timeout_seconds: float, dry_run: bool = False
    ) -> PublishResult:
        """Publishes a record and waits for the fold's verdict on it.

        A dry run decides on the record as of now and appends nothing. ``PUBLISH_UNSURE`` means that
        the record may be in force or come into force: look at :meth:`history` before trying again.
        A record is never appended under two ids, and one that is published twice is rejected the
        second time, because the versions that it replaces are gone.
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

    def diff(self, record: ConfigurationRecord) -> tuple[EntryDifference, ...]:
        """Returns what the record would change."""
        return difference(self._replica.state, record)

    def differences(
        self, old: int, new: Optional[int] = None
    ) -> result.Result[tuple[EntryDifference, ...], Failure]:
        """Returns what changed between two versions; ``new`` is the one in force unless given."""
        state = self._replica.state
        return state.history.differences(old, state.version if new is None else new)

    def history(self) -> tuple[HistoryEntry, ...]:
        """Returns the newest accepted records, oldest first."""
        return self._replica.state.history.entries

    def rejections(self) -> tuple[RejectedRecord, ...]:
        """Returns the newest records that this VM saw rejected, oldest first."""
        return self._replica.rejections

    def show(self, kind: Optional[RecordKind] = None) -> tuple[Entry, ...]:
        """Returns the entries in force by kind and name, with the versions to replace."""
        entries = self._replica.state.entries.values()
        wanted = [entry for entry in entries if kind is None or entry.key.kind is kind]
        return tuple(sorted(wanted, key=lambda entry: str(entry.key)))

    def on_record(self, record: FollowedRecord) -> None:
        """Takes the next record of the log; called by the follower."""
        self._replica.on_record(record)
        self._skip_what_is_known()
        self._tell_changed()

    def on_truncated(self, gap: LogGap) -> None:
        """Learns that records were dropped unread; called by the follower."""
        self._replica.on_truncated(gap)

    def check_invariants(self) -> None:
        """Asserts what must hold at any time; for long randomized runs."""
        self._replica.check_invariants()
        if self._replica.block is None:
            assert self._replica.state.offset <= self._follower.next_offset

    def _is_current(self) -> bool:
        ages = SourceAges(
            running_seconds=self._clock() - self._started_at,
            contact_seconds=self._follower.seconds_since_contact,
            caught_up_reads=self._follower.caught_up_reads,
            has_peer_state=self._has_peer_state,
        )
        return is_current(self._replica, ages, self._settings)

    def _skip_what_is_known(self) -> None:
        if self._replica.block is None:
            self._follower.skip_to(self._replica.state.offset)

    async def _refresh(self) -> None:
        """Reads the log once more, so that a decision is not made on old knowledge."""
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
        verdict = await self._wait_for_verdict(record_id, deadline)
        if verdict is not None:
            remembered = self._replica.state.history.find(record_id.hex())
            return published_or_not(verdict, offset if remembered is None else remembered.offset)
        return unsure_or_rejected(self._replica.state, record, record_id.hex(), offset)

    async def _append_unless_decided(
        self, record: ConfigurationRecord, record_id: RecordId, deadline: float
    ) -> result.Result[Optional[int], Failure]:
        """Appends the record; returns early once the log shows it, however its answer fares."""
        appended: result.Result[Optional[int], Failure] = result.Success(None)

        async def append(nursery: trio.Nursery) -> None:
            nonlocal appended
            answer = await self._writer.append(
                self._settings.stream, encode_record(record), deadline, record_id
            )
            appended = answer.map(lambda offset: offset)
            nursery.cancel_scope.cancel()

        async def watch(nursery: trio.Nursery) -> None:
            await self._wait_for_verdict(record_id, deadline)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(append, nursery)
            nursery.start_soon(watch, nursery)
        return appended

    async def _wait_for_verdict(self, record_id: RecordId, deadline: float) -> Optional[Verdict]:
        with trio.move_on_after(max(0.0, deadline - self._clock())):
            while record_id.hex() not in self._replica.verdicts:
                await self._changed.wait()
        return self._replica.verdicts.get(record_id.hex())

    def _tell_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
