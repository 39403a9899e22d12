"""Keeps one VM's configuration up to date, and the log's checkpoints."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Optional

import trio
from returns import result

from camphordrift.configuration._encoding import encode_record
from camphordrift.configuration._fold import Verdict
from camphordrift.configuration._history import EntryDifference, HistoryEntry
from camphordrift.configuration._keeper_settings import KeeperSettings
from camphordrift.configuration._publishing import (
    NotPublished,
    PublishResult,
    check_before_append,
    difference,
    published_or_not,
    unsure_or_rejected,
)
from camphordrift.configuration._readiness import Readiness, is_checkpoint_due, readiness_of
from camphordrift.configuration._records import (
    HIGHEST_SCHEMA_VERSION,
    ConfigurationRecord,
    RecordKind,
)
from camphordrift.configuration._replica import (
    Block,
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


@dataclass(frozen=True)
class KeeperStatus:
    """What the keeper knows, for readiness, the state dump and alarms."""

    #: Whether the VM may serve, and if not, why.
    readiness: Readiness

    #: The version in force; 0 if nothing is known.
    version: int

    #: The offset of the next record to apply.
    offset: int

    #: Whether everything was read that the log had at the last contact.
    caught_up: bool

    #: Time since the log last answered, in seconds; infinite if it never has.
    seconds_since_contact: float

    #: Why records cannot be applied; ``None`` while they can.
    block: Optional[Block]

    #: Whether the log has lost records that were already applied.
    lost_tail: bool

    #: The highest schema that this program reads.
    readable_schema_version: int

    #: Checkpoints that this VM appended.
    checkpoints_appended: int


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
        self._wall_clock = wall_clock
        self._random = random
        self._live_schema_versions = live_schema_versions
        self._replica = ConfigurationReplica(readable_schema_version)
        self._follower = LogFollower(
            transport, settings.stream, self, settings.follower, clock, random
        )
        self._was_current = False
        self._has_peer_state = False
        self._started_at = clock()
        self._checkpoints_appended = 0
        self._changed = trio.Event()

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
            checkpoints_appended=self._checkpoints_appended,
        )

    async def run(self) -> None:
        """Follows the log and keeps its checkpoints until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._keep_checkpoints)

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
        refusal = self._refusal_to_publish()
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
        """Returns whether no other source can be expected to know more.

        A VM that was paused while it read takes an old answer for a new one, so an answer must be
        fresh or be confirmed by another. Where the fold has stopped, peers get the time to tell
        that they are further. A peer's state alone may be old, too: it is relied on only once the
        log has been silent for long enough that every live peer had the time to hand on its own.
        """
        running_for = self._clock() - self._started_at
        if self._replica.block is not None:
            return running_for >= self._settings.peer_only_after_seconds
        contact_age = self._follower.seconds_since_contact
        if self._follower.caught_up_reads > 1:
            return True
        if self._follower.caught_up and contact_age <= self._settings.fresh_read_seconds:
            return True
        silent_for = min(contact_age, running_for)
        return self._has_peer_state and silent_for >= self._settings.peer_only_after_seconds

    def _skip_what_is_known(self) -> None:
        if self._replica.block is None:
            self._follower.skip_to(self._replica.state.offset)

    def _refusal_to_publish(self) -> Optional[Failure]:
        if self._replica.block is not None:
            return Failure(
                ResultCode.CONFIGURATION_UNKNOWN,
                f"this VM cannot apply the log from offset {self._replica.block.offset} on"
                f" ({self._replica.block.reason.value}); publish at another VM",
            )
        if self._follower.position.lost_tail:
            return Failure(
                ResultCode.LOG_UNAVAILABLE,
                "the log has lost records that are in force; a new record would not be read",
            )
        if not self._follower.caught_up and not self._was_current:
            return Failure(
                ResultCode.CONFIGURATION_UNKNOWN,
                "this VM has not read the configuration yet",
                retry_after_seconds=self._settings.refresh_seconds,
            )
        return None

    async def _refresh(self) -> None:
        """Reads the log once more, so that a decision is not made on old knowledge."""
        self._follower.poke()
        with trio.move_on_after(self._settings.refresh_seconds):
            await self._follower.wait_for_read()

    async def _append_and_wait(
        self, record: ConfigurationRecord, record_id: RecordId, deadline: float
    ) -> PublishResult:
        appended = await self._append_unless_decided(record, record_id, deadline)
        if isinstance(appended, result.Failure):
            failure = appended.failure()
            if failure.code is not ResultCode.LOG_APPEND_UNSURE:
                return result.Failure(NotPublished(failure))
        offset = appended.value_or(None)
        self._follower.poke()
        verdict = await self._wait_for_verdict(record_id, deadline)
        if verdict is not None:
            return published_or_not(verdict, offset)
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

    async def _keep_checkpoints(self) -> None:
        while True:
            await trio.sleep(self._settings.checkpoint_look_seconds)
            if not self._should_append_checkpoint():
                continue
            await trio.sleep(self._random.uniform(0.0, self._settings.checkpoint_spread_seconds))
            if self._should_append_checkpoint():
                await self._append_checkpoint()

    def _should_append_checkpoint(self) -> bool:
        """Returns whether to append one now.

        While the log does not answer, no VM begins: otherwise all of them would wait with a
        checkpoint of their own and append it at the end of the outage.
        """
        if self._replica.block is not None or not self._follower.caught_up:
            return False
        if self._follower.seconds_since_contact > self._settings.refresh_seconds:
            return False
        return is_checkpoint_due(self._replica.state, self._settings, self._wall_clock())

    async def _append_checkpoint(self) -> None:
        """Appends a checkpoint, or withdraws it if another VM's is seen first."""
        encoded = self._replica.encoded_state()
        if encoded is None:
            return
        with trio.move_on_after(self._settings.checkpoint_append_seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._withdraw_unless_due, nursery.cancel_scope)
                deadline = self._clock() + self._settings.checkpoint_append_seconds
                answer = await self._writer.append(self._settings.stream, encoded, deadline)
                if isinstance(answer, result.Success):
                    self._checkpoints_appended += 1
                    await self._refresh()
                nursery.cancel_scope.cancel()

    async def _withdraw_unless_due(self, scope: trio.CancelScope) -> None:
        while is_checkpoint_due(self._replica.state, self._settings, self._wall_clock()):
            await self._changed.wait()
        scope.cancel()

    def _tell_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
