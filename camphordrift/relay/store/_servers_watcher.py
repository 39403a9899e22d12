"""Keeps the list of backend servers up to date.

The leader reads the store for all VMs and forwards changes. A VM reads the store itself while it
has no leader, or while the state that its leader reports is too old.
"""

from collections.abc import Callable, Iterable
from typing import Optional

import trio

from camphordrift.event_log import log_event
from camphordrift.relay.model import (
    BackendServer,
    Batch,
    DocumentFormat,
    KeyedLog,
    KeyedRecord,
    LogTopics,
    StoreError,
)
from camphordrift.relay.servers import DirectoryChange, ServerDirectory
from camphordrift.relay.store._store_era import StoreEraTracker
from camphordrift.relay.store._topic_watcher import AGE_CHECK_INTERVAL, TopicWatcher

#: Seconds between reads of the servers. Together with the read and the forwarding this must stay
#: well below the time after which a draining server must get no more requests (2 s on today's
#: deployments).
SERVERS_INTERVAL = 0.7

#: Age of the list of servers in seconds from which a follower reads the store itself.
MAX_SERVERS_AGE = 1.5

#: An entry that was read from the store, and the era and offset of its record.
ReadEntry = tuple[BackendServer, tuple[int, int]]


class ServersWatcher:
    """Reads changes of the backend servers from the store into the server directory.

    A VM with a leader gets the changes from it, and reads the store once itself after the leader
    was found, as it may have missed earlier changes.

    Entries that this VM read itself and that state for how long their server is cold are passed to
    ``on_entries``, also if they change nothing else.
    """

    def __init__(
        self,
        log: KeyedLog,
        eras: StoreEraTracker,
        topics: LogTopics,
        documents: DocumentFormat,
        directory: ServerDirectory,
        on_change: Callable[[list[DirectoryChange]], None],
        store_reachable: Callable[[], bool],
        on_entries: Callable[[list[ReadEntry]], None] = lambda entries: None,
    ) -> None:
        self._on_entries = on_entries
        #: Entries of the batches since the last complete one that state for how long their server
        #: is cold; only the newest of each server counts, as earlier ones may be old.
        self._cold_entries: dict[str, ReadEntry] = {}
        self._topic = TopicWatcher(log, eras, topics.servers)
        self._eras = eras
        self._documents = documents
        self._directory = directory
        self._on_change = on_change
        self._store_reachable = store_reachable
        self._last_read_at = float("-inf")
        self._needs_own_read = False
        self._own_read_needed_at = float("-inf")
        self._own_read_ended_at = float("-inf")
        self._leader_read_at = float("-inf")
        #: Whether this VM has a leader that sends it updates.
        self.has_leader = False
        eras.call_on_restore(self._record_restore)

    def age(self, now: float) -> float:
        """Returns the seconds since the directory was last known to be complete."""
        return now - self._last_read_at

    async def run(self) -> None:
        """Keeps the directory up to date until cancelled."""
        while True:
            read_started = trio.current_time()
            if self.has_leader and self._directory.has_overdue_entries(read_started):
                # The leader sends no change for an entry that is not missing or deferred there.
                self._require_own_read()
            if (
                self.has_leader
                and not self._needs_own_read
                and self.age(read_started) < MAX_SERVERS_AGE
            ):
                await trio.sleep(AGE_CHECK_INTERVAL)
                continue
            if self.has_leader and not self._needs_own_read and not self._store_reachable():
                # Entries may expire in the meantime. The configuration watcher notices when the
                # store is available again.
                self._directory.record_store_failure(read_started)
                await trio.sleep(AGE_CHECK_INTERVAL)
                continue
            try:
                batch, is_snapshot = await self._topic.next_batch(0.0)
            except StoreError:
                self._directory.record_store_failure(trio.current_time())
                await self._topic.back_off(self.has_leader)
                continue
            self._own_read_ended_at = trio.current_time()
            if batch.complete:
                self._needs_own_read &= read_started < self._own_read_needed_at
                self._record_complete_read(read_started)
            self._publish_changes(self._apply_batch(batch, is_snapshot))
            await trio.sleep(max(0.0, read_started + SERVERS_INTERVAL - trio.current_time()))

    def apply_changes(self, changes: Iterable[DirectoryChange]) -> None:
        """Applies changes that the leader read."""
        self._publish_changes(self._directory.apply_changes(changes, trio.current_time()))

    def record_leader_found(self) -> None:
        """Records that a leader forwards changes; earlier ones are read once from the store."""
        self.has_leader = True
        self._leader_read_at = float("-inf")
        self._require_own_read()

    def confirm_read(self, read_started: float) -> None:
        """Records that the leader has sent everything written before ``read_started``.

        Args:
            read_started: Start of the leader's read, in seconds of trio's clock.

        """
        self._leader_read_at = max(self._leader_read_at, read_started)
        self._record_complete_read(read_started)

    def _record_restore(self) -> None:
        self._directory.record_restore(self._eras.era, trio.current_time())
        if self.has_leader and self._leader_read_at <= self._own_read_ended_at:
            # This VM may have read entries that the leader had not, and that were lost.
            self._require_own_read()

    def _require_own_read(self) -> None:
        self._needs_own_read = True
        self._own_read_needed_at = trio.current_time()

    def _record_complete_read(self, read_started: float) -> None:
        if not self._needs_own_read:
            self._last_read_at = max(self._last_read_at, read_started)

    def _publish_changes(self, changes: list[DirectoryChange]) -> None:
        for change in changes:
            if not change.is_renewal:
                _log_change(change)
        if changes:
            self._on_change(changes)

    def _apply_batch(self, batch: Batch, is_snapshot: bool) -> list[DirectoryChange]:
        now = trio.current_time()
        changes = [
            change
            for record in batch.records
            if (change := self._apply_record(record, batch.era, now)) is not None
        ]
        if batch.complete and self._cold_entries:
            self._on_entries(list(self._cold_entries.values()))
            self._cold_entries.clear()
        if is_snapshot:
            keys = [record.key for record in batch.records]
            changes += self._directory.remove_all_except(keys, batch.next_offset, now, batch.era)
        return changes + self._directory.expire(now)

    def _apply_record(self, record: KeyedRecord, era: int, now: float) -> Optional[DirectoryChange]:
        if record.value is None:
            return self._directory.remove(record.key, record.offset, now, era)
        try:
            server = self._documents.server(record.key, record.value)
        except Exception as error:
            # Whatever is wrong with one entry, the others hold.
            log_event("server_entry_unreadable", server=record.key, reason=repr(error))
            return None
        if server.cold_left is not None:
            self._cold_entries[server.id] = server, (era, record.offset)
        return self._directory.put(server, record.offset, era)


def _log_change(change: DirectoryChange) -> None:
    if change.server is None:
        log_event("server_removed", server=change.server_id, offset=change.offset)
        return
    log_event(
        "server_listed",
        server=change.server_id,
        service=change.server.service,
        address=change.server.address,
        state=change.server.state,
        offset=change.offset,
    )
