"""VMs that run only their watchers and pass updates on without sockets, in virtual time."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Optional, TypeVar, cast
from unittest import mock

import trio
import trio.testing

from camphordrift.relay import BackendServer, Batch, KeyedRecord, ServerState, StoreError
from camphordrift.relay.fleet._leader_election import LINK_IDLE_TIMEOUT, PING_INTERVAL
from camphordrift.relay.fleet._update_distribution import UpdateDistributor
from camphordrift.relay.model._interfaces import KeyedLog
from camphordrift.relay.model._settings import Address
from camphordrift.relay.peers._crash_monitor import CrashMonitor
from camphordrift.relay.peers._evacuation_sharing import EvacuationSharing
from camphordrift.relay.peers._message_link import LinkBrokenError, MessageLink
from camphordrift.relay.peers._path_sharing import PathSharing
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.peers._peer_messages import (
    ConfigurationRequest,
    Member,
    Message,
    Ping,
    ZonesStated,
)
from camphordrift.relay.servers._server_directory import DirectoryChange, ServerDirectory
from camphordrift.relay.servers._zone_evacuations import ZoneEvacuations
from camphordrift.relay.store._configuration_lease import ConfigurationLease
from camphordrift.relay.store._configuration_watcher import ConfigurationWatcher
from camphordrift.relay.store._evacuation_records import EvacuationRecords
from camphordrift.relay.store._servers_watcher import ServersWatcher
from camphordrift.relay.store._store_era import EraCheckedLog, StoreEraTracker
from camphordrift.relay.tests.samples import CONFIGURATION, TOPICS, InMemoryLog, SampleDocuments
from camphordrift.testing import run_in_virtual_time

_Result = TypeVar("_Result")

#: Seconds after which a removed API key must be refused.
REVOCATION_DELAY = 5.0

#: Seconds after which a version that the store acknowledged must be in force on every VM.
APPLY_DELAY = 2.0

#: Seconds after which the evacuation of a zone must be known to every VM.
EVACUATION_DELAY = 5.0

#: Seconds that a call to the store takes.
STORE_LATENCY = 0.005

#: Seconds after which a call to the store without a response fails, beside those that it waits for
#: a record.
RESPONSE_TIMEOUT = 1.0


class DirectLink:
    """Delivers messages to a function at once."""

    def __init__(self, deliver: Callable[[Message], None]) -> None:
        self.send = self.send_newest = deliver


#: Seconds until a VM connects to its leader again after the connection broke.
RECONNECT_INTERVAL = 0.05


class ThrottledStream(trio.abc.Stream):
    """A stream in memory with a limited bandwidth.

    Args:
        stream: Transports the data.
        bytes_per_second: The bandwidth.

    """

    def __init__(self, stream: trio.abc.Stream, bytes_per_second: float) -> None:
        self._stream = stream
        self._bytes_per_second = bytes_per_second

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends data, which takes as long as the bandwidth allows."""
        await trio.sleep(len(data) / self._bytes_per_second)
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Returns at once."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Returns data that has arrived."""
        return bytes(await self._stream.receive_some(max_bytes))

    async def aclose(self) -> None:
        """Closes the stream."""
        await self._stream.aclose()


class VmLog:
    """One VM's connection to the store, which can be cut, silent or slow."""

    def __init__(self, log: KeyedLog) -> None:
        self._log = log
        #: Whether all calls fail.
        self.is_cut = False
        #: Whether calls in progress and new ones get no response; they fail after a timeout.
        self.is_silent = False
        #: Seconds by which responses arrive late.
        self.delay = 0.0

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key."""
        return await self._forward(self._log.newest(topic))

    async def read(self, topic: str, offset: int, wait: float) -> Batch:
        """Returns records starting at ``offset``."""
        return await self._forward(self._log.read(topic, offset, wait), wait)

    async def append(self, topic: str, record: KeyedRecord) -> int:
        """Appends a record."""
        return await self._forward(self._log.append(topic, record))

    async def _forward(self, pending_call: Awaitable[_Result], wait: float = 0.0) -> _Result:
        started_at = trio.current_time()
        result = await pending_call
        await trio.sleep(self.delay)
        if self.is_silent:
            await trio.sleep_until(started_at + RESPONSE_TIMEOUT + wait)
            raise StoreError("no response in time")
        if self.is_cut:
            raise StoreError("the connection is cut")
        return result


class WatchedVm:
    """The watchers of one VM."""

    def __init__(
        self, number: int, log: KeyedLog, documents: SampleDocuments, vms: dict[str, "WatchedVm"]
    ) -> None:
        self.member = Member(f"vm-{number}", number, f"10.0.0.{number}", 1)
        self._vms = vms
        self._leader_scope: Optional[trio.CancelScope] = None
        #: Versions in the order in which they came into force.
        self.versions: list[int] = []
        #: When each version came into force.
        self.in_force: list[tuple[float, int]] = []
        self.eras = StoreEraTracker()
        checked_log = EraCheckedLog(log, self.eras)
        self.lease = ConfigurationLease(REVOCATION_DELAY)
        self.directory = ServerDirectory()
        self.links = PeerLinks()
        self.evacuations = ZoneEvacuations()
        #: When each change of the evacuated zones became known, and the zones.
        self.zones: list[tuple[float, frozenset[str]]] = []
        self.sharing = EvacuationSharing(
            self.evacuations, self.links, lambda: 0.0, self._zones_changed
        )
        self.configuration = ConfigurationWatcher(
            checked_log,
            self.eras,
            TOPICS,
            documents,
            self.lease,
            self._configuration_changed,
            self._fetch,
            APPLY_DELAY,
            EvacuationRecords(
                TOPICS.evacuation_key_prefix,
                EVACUATION_DELAY,
                self.evacuations,
                lambda statements: self.sharing.handle(statements, "store"),
            ),
        )
        self.servers = ServersWatcher(
            checked_log,
            self.eras,
            TOPICS,
            documents,
            self.directory,
            self._servers_changed,
            lambda: self.configuration.store_reachable,
        )
        self.updates = UpdateDistributor(
            self.configuration,
            self.servers,
            self.lease,
            self.eras,
            CrashMonitor(self.member.vm, trio.current_time, PeerLinks()),
            PathSharing(self.member, trio.current_time, PeerLinks()),
        )

    @property
    def states(self) -> dict[str, ServerState]:
        """States of the listed servers, by id."""
        return {key: server.state for key, server in self.directory.servers.items()}

    def accepts_key(self, key: str) -> bool:
        """Returns whether requests with an API key are accepted now."""
        table = self.configuration.table
        return (
            table is not None
            and self.lease.is_valid(trio.current_time())
            and table.find_account(key) is not None
        )

    async def run(self) -> None:
        """Runs the watchers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.servers.run)

    async def follow(self, leader: "WatchedVm") -> None:
        """Gets updates from a leader until :meth:`unfollow` is called."""
        to_follower = cast(MessageLink, DirectLink(self._handle_leader_message))
        to_leader = cast(
            MessageLink, DirectLink(lambda message: leader.handle_request(message, to_follower))
        )
        with trio.CancelScope() as self._leader_scope:
            leader.updates.add_follower(to_follower, self.member, [])
            leader.links.add(to_follower)
            self.links.add(to_leader)
            self.updates.record_leader_found(to_leader)
            try:
                while True:
                    to_leader.send(self.updates.next_ping())
                    await trio.sleep(PING_INTERVAL)
            finally:
                leader.links.remove(to_follower)
                self.links.remove(to_leader)
                leader.updates.remove_follower(to_follower)
                self.updates.record_leader_lost()

    async def follow_over_stream(self, leader: "WatchedVm", bytes_per_second: float) -> None:
        """Gets updates from a leader over a connection with limited bandwidth."""
        while True:
            try:
                await self._follow_until_broken(leader, bytes_per_second)
            except* LinkBrokenError:
                await trio.sleep(RECONNECT_INTERVAL)

    async def _follow_until_broken(self, leader: "WatchedVm", bytes_per_second: float) -> None:
        near, far = trio.testing.memory_stream_pair()
        to_leader = MessageLink(cast(trio.SocketStream, near), LINK_IDLE_TIMEOUT)
        throttled = cast(trio.SocketStream, ThrottledStream(far, bytes_per_second))
        to_follower = MessageLink(throttled, LINK_IDLE_TIMEOUT)
        leader.updates.add_follower(to_follower, self.member, [])
        leader.links.add(to_follower)
        self.links.add(to_leader)
        self.updates.record_leader_found(to_leader)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(to_leader.write_queued)
                nursery.start_soon(to_follower.write_queued)
                nursery.start_soon(to_leader.read_messages, self._handle_leader_message)
                nursery.start_soon(
                    to_follower.read_messages, lambda m: leader.handle_request(m, to_follower)
                )
                while True:
                    to_leader.send(self.updates.next_ping())
                    await trio.sleep(PING_INTERVAL)
        finally:
            leader.links.remove(to_follower)
            self.links.remove(to_leader)
            leader.updates.remove_follower(to_follower)
            self.updates.record_leader_lost()

    def unfollow(self) -> None:
        """Loses the leader."""
        if self._leader_scope is not None:
            self._leader_scope.cancel()

    def handle_request(self, message: Message, link: MessageLink) -> None:
        """Handles a follower's message like :class:`LeaderElection`."""
        match message:
            case Ping():
                self.updates.record_follower_state(link, message)
                link.send(self.updates.pong_for(message, link))
            case ConfigurationRequest(version):
                self.updates.send_document(link, version)
            case ZonesStated(statements):
                self.sharing.handle(statements, "follower", link)

    def _handle_leader_message(self, message: Message) -> None:
        if isinstance(message, ZonesStated):
            self.sharing.handle(message.statements, "leader")
        else:
            self.updates.handle_message(message, lambda other: None)

    def _zones_changed(self) -> None:
        self.zones.append((trio.current_time(), self.evacuations.evacuated_zones))

    def _configuration_changed(self) -> None:
        self.versions.append(self.configuration.version)
        self.in_force.append((trio.current_time(), self.configuration.version))
        self.updates.announce_configuration()

    def _servers_changed(self, changes: list[DirectoryChange]) -> None:
        self.updates.announce_servers(changes)

    async def _fetch(self, source: Address, version: int) -> Optional[bytes]:
        await trio.sleep(STORE_LATENCY)
        for vm in self._vms.values():
            if vm.member.address == source and vm.configuration.version >= version:
                return vm.configuration.document
        return None


class WatchedFleet:
    """VMs that read one store, and the operator and servers that write to it."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.log, self.documents = InMemoryLog(STORE_LATENCY), SampleDocuments()
        self.vms: dict[str, WatchedVm] = {}
        self._nursery = nursery

    def start(
        self,
        number: int,
        log: Optional[KeyedLog] = None,
        documents: Optional[SampleDocuments] = None,
    ) -> WatchedVm:
        """Starts a VM; it reads ``log``, or the fleet's store, and parses with ``documents``."""
        vm = WatchedVm(number, log or self.log, documents or self.documents, self.vms)
        self.vms[vm.member.vm] = vm
        self._nursery.start_soon(vm.run)
        return vm

    def follow(self, follower: WatchedVm, leader: WatchedVm) -> None:
        """Lets a VM get updates from a leader."""
        self._nursery.start_soon(follower.follow, leader)

    def follow_over_stream(
        self, follower: WatchedVm, leader: WatchedVm, bytes_per_second: float
    ) -> None:
        """Lets a VM get updates from a leader over a connection with limited bandwidth."""
        self._nursery.start_soon(follower.follow_over_stream, leader, bytes_per_second)

    def publish(self, version: int, *keys: str) -> None:
        """Appends a configuration with the given API keys."""
        account = (CONFIGURATION.accounts or {})["key-1"]
        accounts = dict.fromkeys(keys, account)
        configuration = replace(CONFIGURATION, version=version, accounts=accounts)
        self.log.put(
            TOPICS.configuration, TOPICS.configuration_key, self.documents.write(configuration)
        )

    def register(self, entry: BackendServer) -> None:
        """Appends a server's entry."""
        self.log.put(TOPICS.servers, entry.id, self.documents.write(entry))

    def evacuate(self, zone: str) -> None:
        """Appends the record that evacuates a zone."""
        self.log.put(TOPICS.configuration, TOPICS.evacuation_key_prefix + zone, b"{}")

    def take_back(self, zone: str) -> None:
        """Appends the removal of the record that evacuates a zone."""
        self.log.put(TOPICS.configuration, TOPICS.evacuation_key_prefix + zone, None)

    def remove(self, server_id: str) -> None:
        """Appends the removal of a server's entry."""
        self.log.put(TOPICS.servers, server_id, None)


@contextmanager
def _boot_time_is_virtual() -> Iterator[None]:
    modules = ("store._configuration_watcher", "fleet._update_distribution")
    names = [f"camphordrift.relay.{module}.boot_time_clock" for module in modules]
    with mock.patch(names[0], trio.current_time), mock.patch(names[1], trio.current_time):
        yield


def run_fleet(body: Callable[[WatchedFleet], Awaitable[None]]) -> None:
    """Runs a scenario in virtual time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            # The clock must not start at zero, which is the time of reads that never happened.
            await trio.sleep(100.0)
            await body(WatchedFleet(nursery))
            nursery.cancel_scope.cancel()

    with _boot_time_is_virtual():
        run_in_virtual_time(main)
