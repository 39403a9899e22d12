"""Follows the configuration and the backend servers.

One VM, the home of the pools, asks the store for news. It hands changes of servers on, and says
when there is a newer configuration, which each VM then reads. A VM asks for itself while it has no
home, or while its home's news are too old.
"""

import time
from collections.abc import Callable, Iterable
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._configuration_lease import ConfigurationLease
from camphordrift.relay._interfaces import (
    Batch,
    DocumentFormat,
    HistoryLostError,
    KeyedLog,
    KeyedRecord,
    LogTopics,
    StoreError,
)
from camphordrift.relay._routing_table import RoutingTable
from camphordrift.relay._server_directory import DirectoryChange, ServerDirectory

#: Seconds that a read of the configuration waits for a change. Two of them, one that has just begun
#: and the one before it, lie well within the lease on keys (5 s on today's deployments).
CONFIGURATION_WAIT = 1.0

#: Age in seconds of what a VM knows from which a read does not wait for a change: nothing is known
#: before its answer, and other VMs take a home with old news for one that has lost the store. It
#: lies above a read that waited, so that homes wait as a rule.
LONGEST_WAITING_AGE = 1.5

#: Seconds between reads of the servers; with the read and the handing on it stays well below the
#: time in which a leaving server must get no more requests (2 s on today's deployments).
SERVERS_INTERVAL = 0.7

#: Seconds between attempts while the store does not answer; doubled up to the longest.
STORE_RETRY_INTERVAL = 0.25
LONGEST_STORE_RETRY_INTERVAL = 0.5

#: The same for a VM that has a home, which sees the store's return for it; a fleet of many VMs
#: would make most of its calls while the store is away.
FOLLOWER_RETRY_INTERVAL = 1.0

#: Age in seconds of the home's news from which a VM reads for itself. It lies above what two reads
#: of the configuration and a ping take, and leaves two seconds of the lease on keys.
STALE_NEWS = 2.8

#: Age in seconds of the home's news of servers from which a VM reads them for itself.
STALE_SERVER_NEWS = 1.5

#: Seconds between looks at the age of the home's news.
NEWS_CHECK_INTERVAL = 0.1


def boot_time_clock() -> float:
    """Returns seconds of a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wait_of_read(age: float) -> float:
    """Returns the seconds for which a read waits for a change, with news of this age."""
    return CONFIGURATION_WAIT if age <= LONGEST_WAITING_AGE else 0.0


class TopicWatcher:
    """Reads a topic from its newest records on, and anew when its history is lost."""

    def __init__(self, log: KeyedLog, topic: str) -> None:
        self._log = log
        self._topic = topic
        self._offset: Optional[int] = None
        self._reachable = True
        self._retry = STORE_RETRY_INTERVAL

    async def next_batch(self, wait: float) -> tuple[Batch, bool]:
        """Returns records, and whether they are the newest of every key.

        Raises:
            StoreError: The store did not answer.

        """
        try:
            whole = self._offset is None
            if self._offset is None:
                batch = await self._log.newest(self._topic)
            else:
                # After a failure the store is asked for what it has, so that its return shows soon.
                batch = await self._log.read(
                    self._topic, self._offset, wait if self._reachable else 0.0
                )
        except HistoryLostError:
            log_event("history_lost", level=LogLevel.WARNING, topic=self._topic)
            self._offset = None
            return await self.next_batch(wait)
        except StoreError as error:
            self._note_reachable(False, str(error))
            raise
        self._note_reachable(True, "")
        self._offset = batch.next_offset
        return batch, whole

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._reachable

    def start_anew(self) -> None:
        """Has the newest records read instead of those since the last read."""
        self._offset = None

    async def pause_after_failure(self, has_home: bool) -> None:
        """Waits before the store is asked again; longer each time in a row."""
        await trio.sleep(FOLLOWER_RETRY_INTERVAL if has_home else self._retry)
        self._retry = min(LONGEST_STORE_RETRY_INTERVAL, self._retry * 2)

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable:
            self._retry = STORE_RETRY_INTERVAL
        if reachable != self._reachable:
            self._reachable = reachable
            event = "store_regained" if reachable else "store_lost"
            log_event(event, level=LogLevel.WARNING, topic=self._topic, reason=reason)


class ConfigurationWatcher:
    """Keeps the newest configuration; it never goes back to an older one."""

    def __init__(
        self,
        log: KeyedLog,
        topics: LogTopics,
        documents: DocumentFormat,
        lease: ConfigurationLease,
        changed: Callable[[], None],
    ) -> None:
        self._topic = TopicWatcher(log, topics.configuration)
        self._key = topics.configuration_key
        self._documents = documents
        self._lease = lease
        self._changed = changed
        self._table: Optional[RoutingTable] = None
        self._document: Optional[bytes] = None
        self._expected_version = 0
        self._newer_expected = trio.Event()
        self._read_at = float("-inf")
        #: Whether a home hands news on to this VM.
        self.has_home = False
        #: Asks the home for the document, where the store does not answer this VM.
        self.ask_home: Callable[[], None] = lambda: None

    @property
    def table(self) -> Optional[RoutingTable]:
        """The configuration in force; ``None`` before the first was read."""
        return self._table

    @property
    def store_reachable(self) -> bool:
        """Whether the store answered when it was last asked."""
        return self._topic.reachable

    def read_age(self, now: float) -> float:
        """Returns the seconds since this VM itself read the store."""
        return now - self._read_at

    @property
    def document(self) -> Optional[bytes]:
        """The document of the configuration in force, for VMs that cannot read the store."""
        return self._document

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 while none is known."""
        return 0 if self._table is None else self._table.configuration.version

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        while True:
            asked = boot_time_clock()
            expects_newer = self._expected_version > self.version
            if self.has_home and not expects_newer and self._lease.age(asked) < STALE_NEWS:
                await self._wait_for_news()
                continue
            if expects_newer:
                # Versions in between are of no use, and each is a large document.
                self._topic.start_anew()
            try:
                batch, _ = await self._topic.next_batch(wait_of_read(self._lease.age(asked)))
            except StoreError:
                if self.has_home and expects_newer:
                    self.ask_home()
                await self._topic.pause_after_failure(self.has_home)
                continue
            self._read_at = trio.current_time()
            for record in batch.records:
                self._apply_record(record)
            if batch.complete:
                self._lease.confirm(asked)
            if self._table is None:
                await trio.sleep(STORE_RETRY_INTERVAL)

    def expect(self, version: int) -> None:
        """Notes that the home has seen a version, so that it is read if it is newer."""
        if version > max(self.version, self._expected_version):
            self._expected_version = version
            self._newer_expected.set()

    async def _wait_for_news(self) -> None:
        self._newer_expected = trio.Event()
        with trio.move_on_after(NEWS_CHECK_INTERVAL):
            await self._newer_expected.wait()

    def apply(self, document: bytes) -> None:
        """Takes over a document if its version is newer."""
        try:
            configuration = self._documents.configuration(document)
        except ValueError as error:
            log_event("configuration_unreadable", level=LogLevel.ERROR, reason=str(error))
            return
        current = self._table
        if current is not None and configuration.version <= current.configuration.version:
            return
        self._table = RoutingTable(configuration)
        self._document = document
        log_event(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts or ()),
        )
        self._changed()

    def confirm(self, asked: float) -> None:
        """Notes that the home had read all that was written before ``asked``."""
        self._lease.confirm(asked)

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.key == self._key and record.value is not None:
            self.apply(record.value)


class ServersWatcher:
    """Keeps the directory of backend servers."""

    def __init__(
        self,
        log: KeyedLog,
        topics: LogTopics,
        documents: DocumentFormat,
        directory: ServerDirectory,
        changed: Callable[[list[DirectoryChange]], None],
        store_reachable: Callable[[], bool],
    ) -> None:
        self._topic = TopicWatcher(log, topics.servers)
        self._documents = documents
        self._directory = directory
        self._changed = changed
        self._store_reachable = store_reachable
        self._read_at = float("-inf")
        self._must_read = False
        self._home_found_at = float("-inf")
        #: Whether a home hands news on to this VM.
        self.has_home = False

    def age(self, now: float) -> float:
        """Returns the seconds since the servers were known to be complete."""
        return now - self._read_at

    async def run(self) -> None:
        """Follows the servers until cancelled."""
        while True:
            asked = trio.current_time()
            if self.has_home and not self._must_read and self.age(asked) < STALE_SERVER_NEWS:
                await trio.sleep(NEWS_CHECK_INTERVAL)
                continue
            if self.has_home and not self._must_read and not self._store_reachable():
                # Entries may lapse meanwhile; the configuration's follower sees the return.
                self._directory.record_store_failure(asked)
                await trio.sleep(NEWS_CHECK_INTERVAL)
                continue
            try:
                batch, whole = await self._topic.next_batch(0.0)
            except StoreError:
                self._directory.record_store_failure(trio.current_time())
                await self._topic.pause_after_failure(self.has_home)
                continue
            if batch.complete:
                self._must_read = self._must_read and asked < self._home_found_at
                self.confirm(asked)
            self._report(self._apply(batch, whole))
            await trio.sleep(max(0.0, asked + SERVERS_INTERVAL - trio.current_time()))

    def apply(self, changes: Iterable[DirectoryChange]) -> None:
        """Takes over what the home read."""
        self._report(self._directory.apply(changes, trio.current_time()))

    def home_found(self) -> None:
        """Notes that a home hands changes on; what was changed before is to be read once."""
        self.has_home = self._must_read = True
        self._home_found_at = trio.current_time()

    def confirm(self, asked: float) -> None:
        """Notes that all that was written before ``asked`` is known."""
        if not self._must_read:
            self._read_at = max(self._read_at, asked)

    def _report(self, changes: list[DirectoryChange]) -> None:
        for change in changes:
            _log_change(change)
        if changes:
            self._changed(changes)

    def _apply(self, batch: Batch, whole: bool) -> list[DirectoryChange]:
        now = trio.current_time()
        changes = [
            change
            for record in batch.records
            if (change := self._apply_record(record, now)) is not None
        ]
        if whole:
            keys = [record.key for record in batch.records]
            changes += self._directory.remove_all_except(keys, batch.next_offset, now)
        return changes + self._directory.expire(now)

    def _apply_record(self, record: KeyedRecord, now: float) -> Optional[DirectoryChange]:
        if record.value is None:
            return self._directory.remove(record.key, record.offset, now)
        try:
            server = self._documents.server(record.key, record.value)
        except (ValueError, KeyError) as error:
            log_event("server_entry_unreadable", server=record.key, reason=str(error))
            return None
        return self._directory.put(server, record.offset)


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
