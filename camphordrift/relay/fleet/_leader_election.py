"""Chooses the leader: the VM that schedules engines for all VMs.

Each VM uses the best leader that it can connect to. VMs that can reach the store come first, then
those with the highest capacity, then the one that started first. VMs announce themselves on the
store and to their leader. The VMs' lists of members may differ for a while, so that two VMs
schedule the same engines. This costs time but is safe, since engines reject requests beyond their
capacity.
"""

import random
from dataclasses import dataclass
from functools import partial
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import ConnectionLimit, connect
from camphordrift.relay.fleet._dispatcher import Dispatcher
from camphordrift.relay.fleet._follower_session import FollowerSession
from camphordrift.relay.fleet._update_distribution import UpdateDistributor
from camphordrift.relay.model import KeyedLog, KeyedRecord, LogTopics, StoreError
from camphordrift.relay.peers import (
    EvacuationSharing,
    LinkBrokenError,
    Member,
    Message,
    MessageLink,
    NoticeDistributor,
    OpenTunnel,
    PathSharing,
    PeerLinks,
    ServersCold,
    ServersLeaving,
    ServersLimited,
    StoreReachable,
    StoreUnreachable,
    TunnelServer,
    ZonesStated,
    decode_member,
    encode_member,
)
from camphordrift.relay.scheduling import EngineScheduler
from camphordrift.relay.servers import PathStatement
from camphordrift.relay.store import QuarantineRecords, StoreEraTracker

#: Seconds between the pings that a follower sends to its leader.
PING_INTERVAL = 0.25

#: Seconds without received data after which a link is closed.
LINK_IDLE_TIMEOUT = 0.8

#: Timeout in seconds of a connection attempt to another VM.
CONNECT_TIMEOUT = 0.4

#: Seconds between attempts to connect to a better leader than the present one.
LEADER_CHECK_INTERVAL = 2.0

#: Consecutive failed connection attempts after which a VM is removed from the list of members. It
#: is added again when its record is read from the store, or when it or another VM announces it.
MAX_CONNECT_ATTEMPTS = 10

#: Seconds between the first reads of the members by a VM that has no leader. They are short because
#: VMs that start together do not see each other's records at once.
MEMBER_READ_INTERVALS = (0.5, 1.0, 2.0, 4.0)

#: Seconds between later reads of the members.
MAX_MEMBER_READ_INTERVAL = 10.0

#: Seconds between attempts to write this VM's own record while the store is unavailable.
ANNOUNCE_RETRY_INTERVAL = 0.5

#: Seconds over which the followers spread their new announcements after the store was restored. All
#: VMs together may only make a limited number of calls per second.
REANNOUNCEMENT_SPREAD = 2.0

#: Seconds for which a VM that could not reach the store is ranked after the other VMs.
STORE_UNREACHABLE_PERIOD = 10.0

#: Seconds for which a VM has followed a leader before it judges whether that reaches the store. A
#: new leader has to read the store once before its configuration is current.
LEADER_SETTLING_PERIOD = 1.0

#: Seconds for which a VM that is not connected counts as one that may decide for itself.
MEMBER_RETENTION = 300.0

#: Seconds for which a VM that is not connected still has to understand what all VMs do together, as
#: it may be back in a moment.
TOUCH_PERIOD = 10.0

#: Seconds that a VM waits before it makes decisions itself after it lost its leader, so that other
#: VMs can register their requests.
TAKEOVER_DELAY = 0.04


class LeaderElection:
    """Maintains the link to this VM's leader, and serves the followers of this VM.

    A follower is a VM that is connected to this one and uses it as its leader. This VM may have
    followers while it still follows another VM, until they learn of the better leader.
    """

    def __init__(
        self,
        own_member: Member,
        log: KeyedLog,
        eras: StoreEraTracker,
        topics: LogTopics,
        dispatcher: Dispatcher,
        scheduler: EngineScheduler,
        updates: UpdateDistributor,
        quarantine_records: QuarantineRecords,
        notices: NoticeDistributor,
        evacuations: EvacuationSharing,
        paths: PathSharing,
        tunnels: TunnelServer,
        links: PeerLinks,
        new_peers: Optional[ConnectionLimit] = None,
    ) -> None:
        self._own_member = own_member
        self._log = log
        self._eras = eras
        self._topic = topics.members
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._updates = updates
        self._quarantine_records = quarantine_records
        self._notices = notices
        self._evacuations = evacuations
        self._paths = paths
        self._tunnels = tunnels
        self._links = links
        #: Bounds the connections of other VMs that have not introduced themselves.
        self._new_peers = ConnectionLimit() if new_peers is None else new_peers
        self._members: dict[str, Member] = {own_member.vm: own_member}
        self._connect_attempts: dict[str, int] = {}
        #: When other VMs were last connected, directly or by a common leader.
        self._last_seen: dict[str, float] = {}
        self._leader_lost_at = float("-inf")
        updates.count_vms = self._count_vms
        updates.common_kinds = lambda: self.common_kinds
        paths.members = self._members.values
        self._store_unreachable_until: dict[str, float] = {}
        self._members_changed = trio.Event()
        #: Whether this VM has tried to read the members from the store.
        self._members_read = False
        self._last_follower_id = 0
        self._leader = own_member

    @property
    def leader(self) -> str:
        """Id of the VM that schedules for this one; its own id if it schedules locally."""
        return self._leader.vm

    @property
    def is_leader(self) -> bool:
        """Whether this VM has followers and no leader, or is the only VM that it knows."""
        return self._dispatcher.schedules_locally and (
            self._updates.has_followers or self.member_count == 1
        )

    @property
    def limit_share(self) -> float:
        """Share of the limits of servers on which this VM decides; 0 if its leader decides.

        VMs that were connected recently, or that this VM has just learned of, may decide for
        themselves; together, the shares are no more than the whole.
        """
        if not self._dispatcher.schedules_locally:
            return 0.0
        return (1 + len(self._updates.follower_ids)) / self._count_vms()

    @property
    def limit_phase(self) -> float:
        """Place of this VM among the known ones, from 0 to 1; see :class:`RequestLimits`."""
        known = sorted({self._own_member.vm, *self._members, *self._last_seen})
        return known.index(self._own_member.vm) / len(known)

    def _count_vms(self) -> int:
        """Returns the number of VMs that are or were recently connected, this one included.

        A VM that had a leader until recently need not know all VMs itself.
        """
        oldest = trio.current_time() - MEMBER_RETENTION
        connected = {self._own_member.vm, *self._updates.follower_ids}
        recent = {vm for vm, seen in self._last_seen.items() if seen >= oldest}
        had_leader = self._leader_lost_at >= oldest
        return max(len(connected | recent), self._updates.leader_vm_count if had_leader else 1)

    @property
    def common_kinds(self) -> tuple[str, ...]:
        """Kinds of messages and abilities that all VMs in touch have announced, this one included.

        A VM is in touch if it is connected, directly or by a common leader, or was so in the last
        :data:`TOUCH_PERIOD` seconds. The kinds that every build understands are not included.
        """
        common = set(self._own_member.newer_kinds)
        if not common:
            return ()
        oldest = trio.current_time() - TOUCH_PERIOD
        if not self._dispatcher.schedules_locally or self._leader_lost_at >= oldest:
            common.intersection_update(self._updates.leader_common_kinds)
        members = list(self._updates.followers)
        if self._dispatcher.schedules_locally:
            connected = {member.vm for member in members}
            members += [
                member
                for vm, member in self._members.items()
                if vm not in connected and self._last_seen.get(vm, oldest) > oldest
            ]
        for member in members:
            common.intersection_update(member.newer_kinds)
        return tuple(sorted(common))

    def understood_by_all(self, kind: str) -> bool:
        """Returns whether all VMs in touch have announced a kind of message or an ability."""
        return kind in self.common_kinds

    @property
    def other_build_count(self) -> int:
        """Number of followers that announced other kinds or abilities than this VM has."""
        own = self._own_member.newer_kinds
        return sum(member.newer_kinds != own for member in self._updates.followers)

    @property
    def member_count(self) -> int:
        """Number of known VMs, this one included."""
        return len(self._members)

    async def run(self) -> None:
        """Runs until cancelled."""
        self._dispatcher.expect_leader()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._announce_own_member)
            nursery.start_soon(self._read_members)
            nursery.start_soon(self._serve_followers)
            nursery.start_soon(self._quarantine_records.run)
            nursery.start_soon(self._paths.run)
            await self._follow_leader()

    async def _announce_own_member(self) -> None:
        while True:
            era = await self._append_own_member()
            await self._eras.wait_until_later(era)
            if not self._dispatcher.schedules_locally:
                await trio.sleep(random.uniform(0.0, REANNOUNCEMENT_SPREAD))

    async def _append_own_member(self) -> int:
        """Writes this VM's record; returns the era of the store that contains it."""
        record = KeyedRecord(self._own_member.vm, encode_member(self._own_member))
        while True:
            try:
                return await self._log.append(self._topic, record)
            except StoreError as error:
                log_event("introduction_failed", level=LogLevel.WARNING, reason=str(error))
                await trio.sleep(ANNOUNCE_RETRY_INTERVAL)

    async def _read_members(self) -> None:
        intervals = iter(MEMBER_READ_INTERVALS)
        while True:
            if self._dispatcher.schedules_locally:
                await self._read_members_once()
                self._members_read = True
                if not self._better_leaders(self._own_member):
                    self._dispatcher.record_search_ended()
            else:
                intervals = iter(MEMBER_READ_INTERVALS)
            await trio.sleep(next(intervals, MAX_MEMBER_READ_INTERVAL))

    async def _read_members_once(self) -> None:
        try:
            batch = await self._log.newest(self._topic)
        except StoreError as error:
            log_event("members_unread", level=LogLevel.WARNING, reason=str(error))
            return
        for record in batch.records:
            if self._quarantine_records.read(record) or record.value is None:
                continue
            try:
                self._add_member(decode_member(record.value))
            except Exception as error:
                # Whatever is wrong with one record, the others hold.
                log_event("member_unreadable", vm=record.key, reason=repr(error))

    def _add_member(self, member: Member) -> None:
        known = self._members.get(member.vm)
        if known is not None and known.started_ms >= member.started_ms:
            if known.is_same_start(member) and not known.newer_kinds:
                # The known record came from a VM of an older build, which dropped the field.
                self._members[member.vm] = member
            return
        self._members[member.vm] = member
        self._last_seen[member.vm] = trio.current_time()
        self._connect_attempts.pop(member.vm, None)
        log_event(
            "member_known",
            vm=member.vm,
            started_ms=member.started_ms,
            newer_kinds=",".join(member.newer_kinds),
        )
        if member.leader_rank < self._own_member.leader_rank:
            # This VM's followers may not know of the better leader.
            self._updates.announce_member(member)
        self._signal_change()

    def _signal_change(self) -> None:
        """Wakes up the tasks that wait for a change of the members or of their ranking."""
        self._members_changed.set()
        self._members_changed = trio.Event()

    def _better_leaders(self, compared_to: Member) -> list[Member]:
        """Returns the VMs that are preferred as leader over the given one, best first.

        VMs that can reach the store are preferred to those that cannot. If none can, because the
        store is unavailable to all of them, they still share one leader.
        """
        better = [
            m for m in self._members.values() if self._preference(m) < self._preference(compared_to)
        ]
        return sorted(better, key=self._preference)

    def _preference(self, member: Member) -> tuple[bool, tuple[int, int, str]]:
        return not self._can_reach_store(member.vm), member.leader_rank

    def _can_reach_store(self, vm: str) -> bool:
        return self._store_unreachable_until.get(vm, 0.0) <= trio.current_time()

    def _record_store_unreachable(self, vm: str) -> None:
        """Records that a VM cannot reach the store, while other VMs can."""
        if not self._can_reach_store(vm):
            return
        log_event("home_unfit", level=LogLevel.WARNING, home=vm)
        self._store_unreachable_until[vm] = trio.current_time() + STORE_UNREACHABLE_PERIOD
        # This VM's followers must be told, above all if this VM itself cannot reach the store, as
        # they then have to choose another leader.
        self._updates.announce_store_unreachable(vm)
        self._signal_change()

    async def _follow_leader(self) -> None:
        while True:
            found = await self._find_leader(self._own_member)
            if found is None:
                if self._members_read:
                    self._dispatcher.record_search_ended()
                members_changed = self._members_changed
                with trio.move_on_after(LEADER_CHECK_INTERVAL):
                    await members_changed.wait()
                continue
            await self._use_leader(found)

    async def _find_leader(self, compared_to: Member) -> Optional["_LeaderConnection"]:
        """Connects to the best reachable leader that is preferred to ``compared_to``."""
        tried: set[Member] = set()
        while better := [m for m in self._better_leaders(compared_to) if m not in tried]:
            member = better[0]
            tried.add(member)
            try:
                stream = await connect(member.host, member.port, CONNECT_TIMEOUT)
            except OSError:
                self._record_unreachable(member)
                continue
            link = MessageLink(stream, LINK_IDLE_TIMEOUT)
            if await self._verify_peer(member, link):
                self._connect_attempts.pop(member.vm, None)
                return _LeaderConnection(member, stream, link)
            stream.socket.close()
        return None

    async def _verify_peer(self, expected: Member, link: MessageLink) -> bool:
        """Returns whether the peer is the expected member.

        A VM that restarted announces a later start, and may no longer be the preferred leader.
        """
        try:
            found = await link.read_next()
        except LinkBrokenError:
            self._record_unreachable(expected)
            return False
        if isinstance(found, Member):
            self._add_member(found)
            return found.is_same_start(expected)
        return False

    def _record_unreachable(self, member: Member) -> None:
        attempts = self._connect_attempts.get(member.vm, 0) + 1
        self._connect_attempts[member.vm] = attempts
        if attempts >= MAX_CONNECT_ATTEMPTS:
            log_event("member_forgotten", vm=member.vm, attempts=attempts)
            self._members.pop(member.vm, None)
            self._connect_attempts.pop(member.vm, None)

    async def _use_leader(self, found: "_LeaderConnection") -> None:
        leader, stream, link = found.member, found.stream, found.link
        link.send(self._own_member)
        log_event("home_found", home=leader.vm)
        self._dispatcher.attach_leader(link)
        self._updates.record_leader_found(link)
        self._links.add(link)
        self._leader = leader
        reason = "another VM is preferred as leader"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.write_queued)
                nursery.start_soon(self._send_pings, link)
                nursery.start_soon(self._watch_for_better_leader, leader, nursery.cancel_scope)
                nursery.start_soon(self._watch_leader_store_access, leader, link)
                await link.read_messages(partial(self._handle_leader_message, link))
        except* LinkBrokenError as errors:
            reason = str(errors.exceptions[0])
        finally:
            # Members that were forgotten meanwhile may be cut off from this VM alone.
            self._leader_lost_at = trio.current_time()
            self._last_seen |= dict.fromkeys(self._members, self._leader_lost_at)
            self._scheduler.suspend_decisions(TAKEOVER_DELAY)
            self._updates.record_leader_lost()
            self._links.remove(link)
            self._leader = self._own_member
            self._dispatcher.detach_leader()
            stream.socket.close()
        log_event("home_lost", level=LogLevel.WARNING, home=leader.vm, reason=reason)

    def _record_store_reachable(self, vm: str) -> None:
        """Records that another VM reaches the store; only a VM's own period ends by time alone."""
        if vm == self._own_member.vm or self._can_reach_store(vm):
            return
        log_event("home_fit", home=vm)
        del self._store_unreachable_until[vm]
        self._signal_change()

    async def _watch_leader_store_access(self, leader: Member, link: MessageLink) -> None:
        """Reports to the leader and to this VM's followers whether the leader reaches the store.

        The leader forwards the report that it does not to its other followers, so that all VMs
        replace it. The report that it does goes to VMs that follow this one because they still
        avoid the leader; otherwise two VMs would schedule the same engines.
        """
        await trio.sleep(LEADER_SETTLING_PERIOD)
        while True:
            if self._updates.leader_can_reach_store():
                self._updates.announce_store_reachable(leader.vm)
            if self._can_reach_store(leader.vm) and self._updates.leader_cannot_reach_store():
                link.send(StoreUnreachable(leader.vm))
                self._record_store_unreachable(leader.vm)
            await trio.sleep(PING_INTERVAL)

    def _handle_leader_message(self, link: MessageLink, message: Message) -> None:
        match message:
            case PathStatement():
                self._paths.handle(message, link)
            case Member():
                self._add_member(message)
            case StoreUnreachable(vm):
                self._record_store_unreachable(vm)
            case StoreReachable(vm):
                self._record_store_reachable(vm)
            case ServersLeaving(starts):
                self._notices.record_leaving(starts, self.leader)
            case ServersLimited(limits):
                self._notices.record_limits(limits, self.leader)
            case ZonesStated(statements):
                self._evacuations.handle(statements, self.leader, link)
            case ServersCold(servers):
                self._notices.record_cold(servers, self.leader)
            case _:
                self._updates.handle_message(message, self._dispatcher.handle_message)

    async def _send_pings(self, link: MessageLink) -> None:
        while True:
            link.send(self._updates.next_ping())
            await trio.sleep(PING_INTERVAL)

    async def _watch_for_better_leader(self, leader: Member, scope: trio.CancelScope) -> None:
        while True:
            members_changed = self._members_changed
            with trio.move_on_after(LEADER_CHECK_INTERVAL):
                await members_changed.wait()
            if self._preference(self._own_member) < self._preference(leader):
                scope.cancel()
                return
            found = await self._find_leader(leader)
            if found is not None:
                found.stream.socket.close()
                scope.cancel()
                return

    async def _serve_followers(self) -> None:
        await trio.serve_tcp(
            self._serve_follower, self._own_member.port, host=self._own_member.host
        )

    async def _serve_follower(self, stream: trio.SocketStream) -> None:
        try:
            await self._serve_follower_until_closed(stream)
        except Exception as error:
            # A fault on one link must not end the process.
            log_event("follower_failed", level=LogLevel.ERROR, error=repr(error))

    async def _serve_follower_until_closed(self, stream: trio.SocketStream) -> None:
        self._last_follower_id += 1
        session = FollowerSession(
            f"{self._last_follower_id}",
            self._scheduler,
            self._updates,
            self._notices,
            self._evacuations,
            self._paths,
            self._links,
            self._add_member,
            self._record_store_unreachable,
            lambda: self._better_leaders(self._own_member),
        )
        link = MessageLink(stream, LINK_IDLE_TIMEOUT)
        link.send(self._own_member)
        if not self._can_reach_store(self._own_member.vm):
            # A VM that does not know this would use this one as its leader.
            link.send(StoreUnreachable(self._own_member.vm))
        session.link = link
        tunnel: Optional[OpenTunnel] = None
        scope = trio.CancelScope()
        connection = self._new_peers.add(close=scope.cancel)
        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(link.write_queued)
                    first = await link.read_next()
                    connection.set_busy()
                    if isinstance(first, OpenTunnel):
                        tunnel = first
                        nursery.cancel_scope.cancel()
                    else:
                        link.handle(first, session.handle)
                        await link.read_messages(session.handle)
            if tunnel is not None:
                await self._tunnels.serve(stream, link, tunnel)
        except* LinkBrokenError:
            pass
        finally:
            connection.remove()
            stream.socket.close()
            if session.member is not None:
                self._last_seen[session.member.vm] = trio.current_time()
            self._updates.remove_follower(link)
            self._links.remove(link)
            self._scheduler.remove_owner(session.follower_id)


@dataclass(frozen=True)
class _LeaderConnection:
    member: Member
    stream: trio.SocketStream
    link: MessageLink
