"""Distributes the configuration and the backend servers from the leader to its followers.

Evidence about traits of requests is sent in both directions.
"""

import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Optional, Union

import msgspec
import trio

from camphordrift.relay.crashes import CrashEvidence
from camphordrift.relay.peers import (
    ConfigurationDocument,
    ConfigurationRequest,
    ConfigurationUpdate,
    CrashEvidenceUpdate,
    CrashMonitor,
    Member,
    Message,
    MessageLink,
    PathSharing,
    Ping,
    Pong,
    ServerUpdate,
    StoreReachable,
    StoreUnreachable,
    choose_zone_sources,
)
from camphordrift.relay.servers import DirectoryChange
from camphordrift.relay.store import (
    MAX_CONFIGURATION_AGE,
    ConfigurationLease,
    ConfigurationWatcher,
    ServersWatcher,
    StoreEraTracker,
    boot_time_clock,
)

#: Seconds after a successful read of the store in which a VM is assumed to reach the store.
RECENT_READ_SECONDS = 1.5

#: Seconds for which the common kinds are stated again before they are determined anew.
COMMON_KINDS_INTERVAL = 0.25


class UpdateDistributor:
    """Sends updates to this VM's followers, and applies the updates of this VM's leader."""

    def __init__(
        self,
        configuration: ConfigurationWatcher,
        servers: ServersWatcher,
        lease: ConfigurationLease,
        eras: StoreEraTracker,
        crashes: CrashMonitor,
        paths: PathSharing,
    ) -> None:
        self._configuration = configuration
        self._servers = servers
        self._lease = lease
        self._eras = eras
        self._crashes = crashes
        self._paths = paths
        self._leader_link: Optional[MessageLink] = None
        self._followers: dict[MessageLink, Member] = {}
        self._other_vms: Iterator[Member] = iter(())
        #: Requested versions of the configuration that this VM does not have yet.
        self._awaited_versions: dict[MessageLink, int] = {}
        self._pings: dict[int, tuple[float, float]] = {}
        self._next_ping = 0
        #: Seconds since the leader last read the store; ``None`` before its first pong.
        self._leader_age: Optional[float] = None
        #: Returns the number of VMs that are known to run, this one included.
        self.count_vms: Callable[[], int] = lambda: 1
        #: The number of VMs that the last leader stated.
        self.leader_vm_count = 1
        #: Returns what all VMs in touch understand, as in :attr:`Pong.common_kinds`.
        self.common_kinds: Callable[[], tuple[str, ...]] = lambda: ()
        #: The common kinds when they were last determined, and as stated to each follower.
        self._last_common_kinds: tuple[str, ...] = ()
        self._stated_kinds: dict[MessageLink, tuple[str, ...]] = {}
        self._kinds_determined_at = float("-inf")
        #: The common kinds that the last leader stated; none before its first pong.
        self.leader_common_kinds: tuple[str, ...] = ()

    @property
    def has_followers(self) -> bool:
        """Whether any VM uses this one as its leader."""
        return bool(self._followers)

    @property
    def follower_ids(self) -> set[str]:
        """Ids of the VMs that use this one as their leader."""
        return {member.vm for member in self._followers.values()}

    @property
    def followers(self) -> Iterable[Member]:
        """The VMs that use this one as their leader."""
        return self._followers.values()

    def add_follower(
        self, link: MessageLink, follower: Member, better_leaders: Iterable[Member]
    ) -> None:
        """Starts to send updates to a follower.

        Args:
            link: The connection to the follower.
            follower: The follower.
            better_leaders: VMs that are preferred as leader over this one; the follower is told of
                them.

        """
        self._followers[link] = follower
        self._kinds_determined_at = float("-inf")
        self._other_vms = itertools.cycle(list(self._followers.values()))
        for member in better_leaders:
            link.send(member)

    def remove_follower(self, link: MessageLink) -> None:
        """Stops sending updates to a follower; unknown links are ignored."""
        self._followers.pop(link, None)
        self._stated_kinds.pop(link, None)
        self._other_vms = itertools.cycle(list(self._followers.values()))
        self._awaited_versions.pop(link, None)

    def announce_store_unreachable(self, vm: str) -> None:
        """Tells the followers that a VM cannot reach the store."""
        self._send_all(StoreUnreachable(vm))

    def announce_store_reachable(self, vm: str) -> None:
        """Tells the followers that a VM, which this one follows, reaches the store."""
        self._send_all(StoreReachable(vm))

    def announce_member(self, member: Member) -> None:
        """Tells the followers of a VM that ranks before this one as leader."""
        self._send_all(member)

    def announce_configuration(self) -> None:
        """Sends a new configuration to one follower of each zone, and tells the others of it."""
        document, version = self._configuration.document, self._configuration.version
        if document is None:
            return
        withdrawn_keys = self._configuration.withdrawn_keys
        sources = choose_zone_sources(self._followers.values())
        for link, follower in self._followers.items():
            source = sources[follower.zone]
            if follower == source:
                link.send_newest(ConfigurationDocument(document))
            else:
                link.send(ConfigurationUpdate(version, source.address, withdrawn_keys))
        for link, awaited_version in list(self._awaited_versions.items()):
            self.send_document(link, awaited_version)

    def announce_servers(self, changes: list[DirectoryChange]) -> None:
        """Forwards changes of the backend servers to the followers."""
        self._send_all(ServerUpdate(tuple(changes)))

    def pong_for(self, ping: Ping, link: MessageLink) -> Pong:
        """Returns the response to a follower's ping that arrived on the link."""
        now = boot_time_clock()
        other_vm = next(self._other_vms, None)
        return Pong(
            ping.number,
            self._configuration.version,
            self._lease.age(now),
            self._servers.age(trio.current_time()),
            self._lease.read_age(now),
            self._eras.era,
            self._lease.restore_age(now),
            self.count_vms(),
            other_vm and msgspec.structs.replace(other_vm, newer_kinds=()),
            self._common_kinds_to_state(link),
        )

    def _common_kinds_to_state(self, link: MessageLink) -> Optional[tuple[str, ...]]:
        """Returns the common kinds if they have changed since they were stated on the link."""
        now = trio.current_time()
        if now >= self._kinds_determined_at + COMMON_KINDS_INTERVAL:
            self._kinds_determined_at = now
            self._last_common_kinds = self.common_kinds()
        if self._stated_kinds.get(link, ()) == self._last_common_kinds:
            return None
        self._stated_kinds[link] = self._last_common_kinds
        return self._last_common_kinds

    def record_follower_state(self, link: MessageLink, ping: Ping) -> None:
        """Records what a follower knows, which may be newer after the store was restored."""
        self._observe_era(ping, "follower")
        follower = self._followers.get(link)
        if follower is not None:
            self._configuration.expect_version(ping.version, follower.address)

    def send_document(self, link: MessageLink, version: int) -> None:
        """Sends the configuration to a VM that requested it, once it has at least ``version``."""
        document = self._configuration.document
        if document is None or self._configuration.version < version:
            self._awaited_versions[link] = version
            return
        self._awaited_versions.pop(link, None)
        link.send_newest(ConfigurationDocument(document))

    def handle_crash_evidence(self, evidence: CrashEvidence, link: MessageLink) -> None:
        """Merges evidence of this VM's leader or of a follower."""
        self._crashes.handle(evidence, link)

    def leader_cannot_reach_store(self) -> bool:
        """Returns whether the leader cannot reach the store, while this VM can."""
        return (
            self._leader_age is not None
            and self._leader_age > MAX_CONFIGURATION_AGE
            and self._configuration.store_reachable
            and self._configuration.own_read_age(trio.current_time()) < RECENT_READ_SECONDS
        )

    def leader_can_reach_store(self) -> bool:
        """Returns whether the leader stated recently that it has read the store."""
        return self._leader_age is not None and self._leader_age <= MAX_CONFIGURATION_AGE

    def record_leader_found(self, link: MessageLink) -> None:
        """Records that this VM has a leader, connected by ``link``."""
        self._configuration.request_document = lambda: link.send(ConfigurationRequest())
        self._leader_age = None
        self.leader_common_kinds = ()
        self._leader_link = link
        self._configuration.has_leader = True
        self._servers.record_leader_found()

    def record_leader_lost(self) -> None:
        """Records that this VM has no leader."""
        self._leader_link = None
        self._configuration.has_leader = False
        self._servers.has_leader = False
        self._pings.clear()

    def next_ping(self) -> Ping:
        """Returns a new ping for this VM's leader, and records when it is sent."""
        self._next_ping += 1
        now = boot_time_clock()
        self._pings[self._next_ping] = (now, trio.current_time())
        return Ping(
            self._next_ping,
            self._configuration.version,
            self._eras.era,
            self._lease.restore_age(now),
        )

    def handle_message(self, message: Message, handle_other: Callable[[Message], None]) -> None:
        """Applies an update of this VM's leader; passes other messages to ``handle_other``."""
        match message:
            case ConfigurationUpdate(version, source, withdrawn_keys):
                self._configuration.expect_version(version, source, withdrawn_keys)
            case ConfigurationDocument(document):
                self._configuration.offer_document(document)
            case ServerUpdate(changes):
                self._eras.observe_peer(max((c.era for c in changes), default=0), "leader")
                self._servers.apply_changes(changes)
            case CrashEvidenceUpdate(evidence) if self._leader_link is not None:
                self.handle_crash_evidence(evidence, self._leader_link)
            case Pong():
                self._handle_pong(message)
            case _:
                handle_other(message)

    def _handle_pong(self, pong: Pong) -> None:
        sent_at = self._pings.pop(pong.number, None)
        if sent_at is None:
            return
        self._observe_era(pong, "leader")
        self._leader_age = pong.store_read_age
        self.leader_vm_count = pong.vm_count
        if pong.common_kinds is not None:
            self.leader_common_kinds = pong.common_kinds
        if pong.other_vm is not None:
            self._paths.add_known(pong.other_vm)
        # The leader had sent all documents up to its version before the pong.
        self._configuration.apply_offered()
        # The leader stated the age of its state after this VM had sent the ping. The leader's last
        # read of the store therefore began no earlier than that age before the ping was sent.
        if self._configuration.version >= pong.version:
            self._configuration.confirm_read(
                sent_at[0] - pong.store_read_age, sent_at[0] - pong.configuration_age
            )
        else:
            self._configuration.expect_version(pong.version)
        self._servers.confirm_read(sent_at[1] - pong.servers_age)

    def _observe_era(self, message: Union[Ping, Pong], sender: str) -> None:
        self._eras.observe_peer(message.era, sender)
        if message.era == self._eras.era and message.restore_age is not None:
            self._lease.record_peer_restore(boot_time_clock() - message.restore_age)

    def _send_all(self, message: Message) -> None:
        for link in self._followers:
            link.send(message)
