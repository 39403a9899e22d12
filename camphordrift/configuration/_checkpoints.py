"""Appends checkpoints of the configuration before the log truncates the records they cover."""

from collections.abc import Callable
from random import Random
from typing import Protocol

import trio
from returns import result

from camphordrift.configuration._keeper_settings import KeeperSettings
from camphordrift.configuration._readiness import is_checkpoint_due
from camphordrift.configuration._replica import ConfigurationReplica
from camphordrift.platform_log import LogFollower, LogWriter


class ReplicaSource(Protocol):
    """The part of :class:`ConfigurationKeeper` that the checkpoint appender uses."""

    @property
    def replica(self) -> ConfigurationReplica:
        """The VM's replica of the configuration."""
        ...

    async def wait_for_change(self) -> None:
        """Waits until a record has been read from the log or a peer's state has been adopted."""
        ...


class CheckpointAppender:
    """Checks periodically whether a checkpoint is due, and appends it unless another VM does.

    It runs on every VM. Each VM waits for a random delay before it appends, and cancels its append
    when it sees another VM's checkpoint. Duplicate checkpoints are harmless.
    """

    def __init__(
        self,
        source: ReplicaSource,
        follower: LogFollower,
        writer: LogWriter,
        settings: KeeperSettings,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._source = source
        self._follower = follower
        self._writer = writer
        self._settings = settings
        self._clock = clock
        self._wall_clock = wall_clock
        self._random = random
        self._appended_count = 0

    @property
    def appended_count(self) -> int:
        """Number of checkpoints that this VM has appended."""
        return self._appended_count

    async def run(self) -> None:
        """Appends checkpoints when they are due, until it is cancelled."""
        while True:
            await trio.sleep(self._settings.checkpoint_check_seconds)
            if not self._should_append():
                continue
            await trio.sleep(self._random.uniform(0.0, self._settings.checkpoint_jitter_seconds))
            if self._should_append():
                await self._append()

    def _should_append(self) -> bool:
        """Returns whether to append a checkpoint now.

        No VM starts an append while the log does not respond: otherwise every VM would have a
        pending checkpoint and append it at the end of the outage.
        """
        if self._source.replica.block is not None or not self._follower.caught_up:
            return False
        if self._follower.seconds_since_contact > self._settings.refresh_seconds:
            return False
        return self._is_due()

    def _is_due(self) -> bool:
        return is_checkpoint_due(self._source.replica.state, self._settings, self._wall_clock())

    async def _append(self) -> None:
        """Appends a checkpoint; cancels the append if another VM's checkpoint is seen first."""
        encoded = self._source.replica.encoded_state()
        if encoded is None:
            return
        deadline = self._clock() + self._settings.checkpoint_append_seconds
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_once_not_due, nursery.cancel_scope)
            appended = await self._writer.append(self._settings.stream, encoded, deadline)
            if isinstance(appended, result.Success):
                self._appended_count += 1
                with trio.move_on_after(self._settings.refresh_seconds):
                    await self._follower.read_now()
            nursery.cancel_scope.cancel()

    async def _cancel_once_not_due(self, scope: trio.CancelScope) -> None:
        while self._is_due():
            await self._source.wait_for_change()
        scope.cancel()
