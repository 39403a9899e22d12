"""Follows the configuration and the backend servers on the keyed log."""

import time
from collections.abc import Callable
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._freshness import ConfigurationLease
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
from camphordrift.relay._server_directory import ServerDirectory

#: Seconds that a read of the configuration waits for a change. Two of them, one that has just begun
#: and the one before it, lie well within the lease on keys (5 s on today's deployments).
CONFIGURATION_WAIT = 1.5

#: Seconds between reads of the servers; with the read it stays well below the time in which a
#: leaving server must get no more requests (2 s on today's deployments).
SERVERS_INTERVAL = 1.0

#: Seconds between attempts while the store does not answer.
STORE_RETRY_INTERVAL = 0.25


def suspended_clock() -> float:
    """Returns seconds of a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TopicFollower:
    """Reads a topic from its newest records on, and anew when its history is lost."""

    def __init__(self, log: KeyedLog, topic: str) -> None:
        self._log = log
        self._topic = topic
        self._offset: Optional[int] = None
        self._reachable = True

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
                batch = await self._log.read(self._topic, self._offset, wait)
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

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable != self._reachable:
            self._reachable = reachable
            event = "store_regained" if reachable else "store_lost"
            log_event(event, level=LogLevel.WARNING, topic=self._topic, reason=reason)


class ConfigurationFollower:
    """Keeps the newest configuration; it never goes back to an older one."""

    def __init__(
        self,
        log: KeyedLog,
        topics: LogTopics,
        documents: DocumentFormat,
        lease: ConfigurationLease,
        changed: Callable[[], None],
    ) -> None:
        self._topic = TopicFollower(log, topics.configuration)
        self._key = topics.configuration_key
        self._documents = documents
        self._lease = lease
        self._changed = changed
        self._table: Optional[RoutingTable] = None

    @property
    def table(self) -> Optional[RoutingTable]:
        """The configuration in force; ``None`` before the first was read."""
        return self._table

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        while True:
            asked = suspended_clock()
            try:
                batch, _ = await self._topic.next_batch(CONFIGURATION_WAIT)
            except StoreError:
                await trio.sleep(STORE_RETRY_INTERVAL)
                continue
            for record in batch.records:
                self._apply(record)
            if batch.complete:
                self._lease.confirm(asked)
            if self._table is None:
                await trio.sleep(STORE_RETRY_INTERVAL)

    def _apply(self, record: KeyedRecord) -> None:
        if record.key != self._key or record.value is None:
            return
        try:
            configuration = self._documents.configuration(record.value)
        except ValueError as error:
            log_event("configuration_unreadable", level=LogLevel.ERROR, reason=str(error))
            return
        current = self._table
        if current is not None and configuration.version <= current.configuration.version:
            return
        self._table = RoutingTable(configuration)
        log_event(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
            keys=len(configuration.accounts or ()),
        )
        self._changed()


class ServersFollower:
    """Keeps the directory of backend servers."""

    def __init__(
        self,
        log: KeyedLog,
        topics: LogTopics,
        documents: DocumentFormat,
        directory: ServerDirectory,
        changed: Callable[[], None],
    ) -> None:
        self._topic = TopicFollower(log, topics.servers)
        self._documents = documents
        self._directory = directory
        self._changed = changed

    async def run(self) -> None:
        """Follows the servers until cancelled."""
        while True:
            now = trio.current_time()
            try:
                batch, whole = await self._topic.next_batch(0.0)
            except StoreError:
                self._directory.note_store_trouble(trio.current_time())
                await trio.sleep(STORE_RETRY_INTERVAL)
                continue
            if self._apply(batch, whole):
                self._changed()
            await trio.sleep(max(0.0, now + SERVERS_INTERVAL - trio.current_time()))

    def _apply(self, batch: Batch, whole: bool) -> bool:
        now = trio.current_time()
        changed = [self._apply_record(record, now) for record in batch.records]
        if whole:
            keys = [record.key for record in batch.records]
            changed.append(self._directory.keep_only(keys, now))
        changed.append(self._directory.expire(now))
        return any(changed)

    def _apply_record(self, record: KeyedRecord, now: float) -> bool:
        if record.value is None:
            removed = self._directory.remove(record.key, now)
            if removed:
                log_event("server_removed", server=record.key)
            return removed
        try:
            server = self._documents.server(record.key, record.value)
        except (ValueError, KeyError) as error:
            log_event("server_entry_unreadable", server=record.key, reason=str(error))
            return False
        before = self._directory.get(record.key)
        changed = self._directory.put(server)
        if before is None or before.state is not server.state:
            log_event(
                "server_listed",
                server=server.id,
                service=server.service,
                address=f"{server.host}:{server.port}",
                state=server.state,
            )
        return changed
