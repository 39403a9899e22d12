"""Keeps the configuration up to date.

The leader reads the store for all VMs and announces a newer configuration, which each VM then gets
from a VM of its zone. A VM reads the store itself while it has no leader, while the state that its
leader reports is too old, or if it does not get an announced configuration in time.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.model import (
    Address,
    Batch,
    Configuration,
    DocumentFormat,
    KeyedLog,
    KeyedRecord,
    LogTopics,
    StoreError,
)
from camphordrift.relay.peers import FETCH_TIMEOUT
from camphordrift.relay.store._configuration_lease import ConfigurationLease, boot_time_clock
from camphordrift.relay.store._evacuation_records import EvacuationRecords
from camphordrift.relay.store._pending_versions import PendingVersions
from camphordrift.relay.store._routing_table import RoutingTable
from camphordrift.relay.store._store_era import StoreEraTracker
from camphordrift.relay.store._topic_watcher import (
    AGE_CHECK_INTERVAL,
    STORE_RETRY_INTERVAL,
    TopicWatcher,
)

#: Maximum and minimum number of seconds that a read of the configuration waits for a change (long
#: poll). A new read and the one before it must together take much less than the time for which API
#: keys are accepted without a confirmed configuration (the lease; 5 s on today's deployments).
LONG_POLL_SECONDS = 1.0
MIN_LONG_POLL_SECONDS = 0.1

#: Seconds until a follower learns that its leader's read has ended: a ping and its response.
PONG_DELAY = 0.4

#: Age of the configuration in seconds above which a read does not wait for a change. A long poll
#: confirms nothing before its response, and other VMs assume that a leader with an old
#: configuration cannot reach the store. The value exceeds the duration of a long poll, so that a
#: leader normally uses long polls.
MAX_LONG_POLL_AGE = 1.5

#: Age of the configuration in seconds from which a VM's leader counts as unable to reach the store.
#: It exceeds the duration of two reads of the configuration and a ping. It is about two seconds
#: shorter than the time for which API keys are accepted without a confirmed configuration (5 s on
#: today's deployments, less a margin).
MAX_CONFIGURATION_AGE = 2.8

#: Seconds that a follower's own read of a slow store may take, with the checks of its age.
OWN_READ_TIME = 0.4

#: Fetches a configuration of at least a version from the VM at an address; returns the document, or
#: ``None`` if there was none in time.
FetchDocument = Callable[[Address, int], Awaitable[Optional[bytes]]]


def own_read_age(apply_delay: float) -> float:
    """Returns the age of the configuration in seconds from which a follower reads the store itself.

    Args:
        apply_delay: Seconds within which a new version must be in force.

    """
    return min(MAX_CONFIGURATION_AGE, max(OWN_READ_TIME, apply_delay - OWN_READ_TIME))


def long_poll_timeout(age: float, apply_delay: float) -> float:
    """Returns how many seconds a read waits for a change.

    A read confirms the configuration only when it ends, so two reads pass until a follower learns
    that its leader has lost the store.

    Args:
        age: Age of the configuration in seconds.
        apply_delay: Seconds within which a new version must be in force.

    """
    if age > MAX_LONG_POLL_AGE:
        return 0.0
    longest = (own_read_age(apply_delay) - PONG_DELAY) / 2
    return min(LONG_POLL_SECONDS, max(MIN_LONG_POLL_SECONDS, longest))


class ConfigurationWatcher:
    """Reads the newest configuration from the store; never replaces it by an older version.

    Args:
        log: The store.
        eras: Restores of the store.
        topics: Topic and key of the configuration.
        documents: Parses the configuration.
        lease: Gets the reads that confirm the configuration.
        on_change: Called after a new version came into force.
        fetch: Fetches a document from another VM.
        apply_delay: Seconds within which a new version must be in force.
        evacuations: Gets the reads, as they contain the evacuations of zones; ``None`` if the
            deployment does not evacuate zones.

    """

    def __init__(
        self,
        log: KeyedLog,
        eras: StoreEraTracker,
        topics: LogTopics,
        documents: DocumentFormat,
        lease: ConfigurationLease,
        on_change: Callable[[], None],
        fetch: FetchDocument,
        apply_delay: float,
        evacuations: Optional[EvacuationRecords] = None,
    ) -> None:
        self._topic = TopicWatcher(log, eras, topics.configuration)
        self._key = topics.configuration_key
        self._documents = documents
        self._lease = lease
        self._on_change = on_change
        self._fetch = fetch
        self._evacuations = evacuations
        #: Seconds within which a record must be in force, whatever it is.
        self._read_delay = (
            apply_delay if evacuations is None else min(apply_delay, evacuations.delay)
        )
        self._source: Optional[Address] = None
        self._table: Optional[RoutingTable] = None
        self._document: Optional[bytes] = None
        self._expected_version = 0
        #: Newest document that the leader sent and that is not applied yet, and newest version that
        #: it ever sent.
        self._offered: Optional[bytes] = None
        self._offered_version = 0
        self._has_offered = trio.Event()
        #: Versions that this VM knows of and does not have.
        self.pending = PendingVersions(apply_delay)
        #: API keys that the version in force withdrew from the one before it.
        self.withdrawn_keys: frozenset[str] = frozenset()
        #: Version for which the store was last searched, if it was expected but not fetched.
        self._searched_version = 0
        #: Newest version that the store was seen to contain in its present era.
        self._stored_version = 0
        self._newer_expected = trio.Event()
        self._last_read_at = float("-inf")
        #: End of this VM's last read that failed, and start of the leader's last read, in seconds
        #: of :func:`boot_time_clock`.
        self._failed_at = float("-inf")
        self._leader_read_at = float("-inf")
        #: Whether this VM has a leader that sends it updates.
        self.has_leader = False
        #: Requests the document from the leader, while this VM cannot reach the store.
        self.request_document: Callable[[], None] = lambda: None
        eras.call_on_restore(lambda: lease.record_restore(boot_time_clock()))

    @property
    def table(self) -> Optional[RoutingTable]:
        """Routing table of the current configuration; ``None`` before the first one was read."""
        return self._table

    @property
    def store_reachable(self) -> bool:
        """Whether this VM presumably reaches the store.

        It does if its last read of the configuration succeeded. A VM whose leader reads the store
        makes no reads, so that its last failure says nothing once the leader has read the store.
        """
        return self._topic.reachable or self._leader_read_at > self._failed_at

    def own_read_age(self, now: float) -> float:
        """Returns the seconds since this VM itself last read the configuration from the store."""
        return now - self._last_read_at

    @property
    def document(self) -> Optional[bytes]:
        """The document of the current configuration, for VMs that cannot read the store."""
        return self._document

    @property
    def version(self) -> int:
        """Version of the current configuration; 0 before the first one was read."""
        return 0 if self._table is None else self._table.configuration.version

    def waiting_time(self) -> float:
        """Returns the seconds since this VM learned of a version that is not in force yet."""
        return self.pending.waiting_time(trio.current_time())

    async def run(self) -> None:
        """Keeps the configuration up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._apply_offered_documents)
            await self._read_store()

    async def _read_store(self) -> None:
        """Reads the store while the leader does not do it for this VM, until cancelled."""
        while True:
            read_started = boot_time_clock()
            if (
                self.has_leader
                and not self._newer_is_expected
                and self._lease.read_age(read_started) < own_read_age(self._read_delay)
            ):
                await self._wait_for_update()
                continue
            if self._newer_is_expected:
                if await self._fetch_expected():
                    continue
                self._search_expected()
            try:
                batch, is_snapshot = await self._topic.next_batch(self._poll_timeout(read_started))
            except StoreError:
                self._failed_at = boot_time_clock()
                self._request_expected()
                await self._topic.back_off(self.has_leader)
                continue
            self._last_read_at = trio.current_time()
            self._apply_batch(batch, is_snapshot, read_started)
            self._request_expected()
            if self._table is None:
                await trio.sleep(STORE_RETRY_INTERVAL)

    def expect_version(
        self,
        version: int,
        source: Optional[Address] = None,
        withdrawn_keys: frozenset[str] = frozenset(),
    ) -> None:
        """Records the leader's version, so that it is fetched if it is newer.

        Args:
            version: The leader's version.
            source: Address of a VM that has the document or gets it next; without one, or if it
                does not send the document in time, the store is read.
            withdrawn_keys: API keys that the version is known to withdraw.

        """
        if version > max(self.version, self._expected_version):
            self._expected_version = version
            self.pending.announce(version, trio.current_time(), withdrawn_keys)
            self._source = source
            self._newer_expected.set()

    @property
    def _newer_is_expected(self) -> bool:
        return self._expected_version > self.version

    def _poll_timeout(self, now: float) -> float:
        """Returns how many seconds a read of the store waits for a change."""
        settling_time = self._lease.settling_time(now)
        if settling_time > 0:
            return min(settling_time, long_poll_timeout(0.0, self._read_delay))
        # No read confirms the configuration before the operator has written a lost version again.
        age = self._lease.age(now) if self._store_has_known_version() else 0.0
        return long_poll_timeout(age, self._read_delay)

    def _store_has_known_version(self) -> bool:
        """Returns whether the store contains the newest version that any VM is known to have."""
        return self._stored_version >= max(self.version, self._expected_version)

    def _search_expected(self) -> None:
        """Makes the next read a snapshot, once for each expected version.

        The snapshot skips the versions in between, each of which is a large document. A restored
        store may lack the expected version until it is written again.
        """
        if self._searched_version < self._expected_version:
            self._searched_version = self._expected_version
            self._topic.restart_from_snapshot()

    def _request_expected(self) -> None:
        """Requests a newer configuration from the leader if the store did not return it."""
        if self.has_leader and self._newer_is_expected:
            self.request_document()

    async def _fetch_expected(self) -> bool:
        """Fetches the expected version from another VM.

        While newer versions are announced, one source after the other may fail. Versions that have
        waited long are therefore read from the store, if this VM can reach it.

        Returns whether the store need not be read, because the version was applied or another VM
        has announced a newer one in the meantime.
        """
        source, ends_at = self._source, self._fetch_deadline()
        if source is None or trio.current_time() >= ends_at:
            return False
        self._source = None
        with trio.move_on_at(ends_at):
            document = await self._fetch(source, self._expected_version)
            if document is not None and (version := self._read_version(document)) is not None:
                self._apply_if_newer(version, document, "fetch")
        return self._expected_version <= self.version or (
            self._source is not None and trio.current_time() < ends_at
        )

    def _fetch_deadline(self) -> float:
        """Returns the time from which the store is read instead of another VM.

        There is none if the store cannot be reached, or was searched in vain.
        """
        known_since = self.pending.oldest_known_since
        was_searched = self._searched_version >= self._expected_version
        if known_since is None or was_searched or not self.store_reachable:
            return float("inf")
        return known_since + FETCH_TIMEOUT

    async def _wait_for_update(self) -> None:
        self._newer_expected = trio.Event()
        with trio.move_on_after(AGE_CHECK_INTERVAL):
            await self._newer_expected.wait()

    def offer_document(self, document: bytes) -> None:
        """Keeps a document that the leader sent until it is applied, unless a newer one arrives."""
        version = self._read_version(document)
        if version is not None and version > max(self.version, self._offered_version):
            self._offered_version, self._offered = version, document
            self._has_offered.set()

    def apply_offered(self) -> None:
        """Applies the newest document that the leader sent, if there is one."""
        document, self._offered = self._offered, None
        if document is not None:
            self._apply_if_newer(self._offered_version, document, "leader")

    async def _apply_offered_documents(self) -> None:
        """Applies the documents of the leader until cancelled.

        Messages that have arrived together are all handled before this task runs, so that only the
        newest of several documents is parsed.
        """
        while True:
            await self._has_offered.wait()
            self._has_offered = trio.Event()
            self.apply_offered()

    def _read_version(self, document: bytes) -> Optional[int]:
        """Returns a document's version; logs and returns ``None`` if it is unreadable."""
        try:
            return self._documents.configuration_version(document)
        except Exception as error:
            # Whatever is wrong with it, the version in force holds, and the next one is read.
            log_event("configuration_unreadable", level=LogLevel.ERROR, reason=repr(error))
            return None

    def _parse(self, document: bytes) -> Optional[Configuration]:
        try:
            return self._documents.configuration(document)
        except Exception as error:
            # Whatever is wrong with it, the version in force holds, and the next one is read.
            log_event("configuration_unreadable", level=LogLevel.ERROR, reason=repr(error))
            return None

    def _apply(self, configuration: Configuration, document: bytes, origin: str) -> None:
        current = self._table
        if current is not None and configuration.version <= current.configuration.version:
            return
        self.withdrawn_keys = _withdrawn_keys(current, configuration)
        self._table = RoutingTable(configuration)
        self._document = document
        log_event(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts or ()),
            origin=origin,
            waited=self.waiting_time(),
        )
        self.pending.record_in_force(configuration.version)
        self._on_change()

    def confirm_read(self, read_started: float, confirmed_read_started: float) -> None:
        """Records the leader's reads of the store, in seconds of :func:`boot_time_clock`.

        Args:
            read_started: Start of its last read.
            confirmed_read_started: Start of its last read that confirmed the configuration.

        """
        self._leader_read_at = max(self._leader_read_at, read_started)
        self._lease.record_read(read_started)
        self._lease.confirm(confirmed_read_started)

    def _apply_batch(self, batch: Batch, is_snapshot: bool, read_started: float) -> None:
        # Other VMs are told before they learn that this VM has read the store.
        self._apply_evacuations(batch, is_snapshot, read_started)
        if is_snapshot:
            self._stored_version = 0
        self._apply_newest(batch.records)
        if not batch.complete:
            return
        if self._store_has_known_version():
            self._lease.confirm(read_started)
        else:
            self._lease.record_read(read_started)

    def _apply_evacuations(self, batch: Batch, is_snapshot: bool, read_started: float) -> None:
        records = self._evacuations
        if records is not None and records.apply_batch(batch, is_snapshot, read_started):
            self._topic.restart_from_snapshot()

    def _apply_newest(self, records: Iterable[KeyedRecord]) -> None:
        """Applies the newest readable version of some records.

        The versions before it are not parsed: while a VM works through versions that arrive faster
        than that, the newest one is not in force.
        """
        documents: list[tuple[int, bytes]] = []
        for record in records:
            if record.key == self._key and record.value is not None:
                version = self._read_version(record.value)
                documents.append((version or 0, record.value))
        for version, document in sorted(documents, reverse=True):
            if version and self._apply_if_newer(version, document, "store"):
                self._stored_version = max(self._stored_version, version)
                return
            # An unreadable version does not replace the one in force.
            self._stored_version = max(self._stored_version, self.version)

    def _apply_if_newer(self, version: int, document: bytes, origin: str) -> bool:
        """Applies a document if its version is newer; returns ``False`` if it is unreadable."""
        if version <= self.version:
            return True
        configuration = self._parse(document)
        if configuration is None:
            return False
        self._apply(configuration, document, origin)
        return True


def _withdrawn_keys(former: Optional[RoutingTable], configuration: Configuration) -> frozenset[str]:
    """Returns the API keys that a new configuration takes away from their client accounts."""
    if former is None:
        return frozenset()
    accounts = configuration.accounts or {}
    return frozenset(
        key
        for key, account in (former.configuration.accounts or {}).items()
        if key not in accounts or accounts[key].name != account.name
    )
