"""Finds the VM that decides for the pools: the best one that can be reached.

Of the VMs that have not lost the store, it is one with the most capacity, and of these the one that
has run longest. VMs introduce themselves on the store and to the home. Views may differ for a
while; then two VMs decide for the same engines, which costs time but breaks nothing, since engines
refuse what they cannot take.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._byte_stream import connect
from camphordrift.relay._dispatcher import Dispatcher
from camphordrift.relay._engine_scheduler import EngineScheduler
from camphordrift.relay._interfaces import KeyedLog, KeyedRecord, LogTopics, StoreError
from camphordrift.relay._peer_messages import (
    ConfigurationRequest,
    EventGapReport,
    Finished,
    Granted,
    LinkBrokenError,
    Member,
    Message,
    MessageLink,
    Ping,
    PrefillFinished,
    Refused,
    Register,
    StoreUnreachable,
    Submit,
    Waiting,
    Withdraw,
    decode_member,
    encode_member,
)
from camphordrift.relay._placement_values import Grant, PlacementDecision
from camphordrift.relay._update_distribution import UpdateDistributor

#: Seconds between pings.
PING_INTERVAL = 0.25

#: Seconds without a message after which a link is given up.
LINK_SILENCE = 0.8

#: Seconds for a connection to another VM.
CONNECT_TIMEOUT = 0.4

#: Seconds between attempts to reach a VM that has run longer than the home.
SENIOR_RETRY_INTERVAL = 2.0

#: Attempts in a row after which a VM is forgotten; it introduces itself again when it restarts.
MAX_ATTEMPTS = 10

#: Seconds between reads of the members by a VM that has no home: short at first, as VMs that start
#: together do not see each other at once.
MEMBER_READ_INTERVALS = (0.5, 1.0, 2.0, 4.0)

#: Seconds between later reads.
LONGEST_MEMBER_READ_INTERVAL = 10.0

#: Seconds between attempts to write the own entry while the store does not answer.
INTRODUCTION_RETRY_INTERVAL = 0.5

#: Seconds for which a VM that had lost the store is not taken as home again.
UNFIT_TIME = 10.0

#: Seconds for which a VM that takes over waits for what the others report of their requests.
TAKE_OVER_TIME = 0.04


class LeaderElection:
    """Keeps the link to the home, and serves other VMs as their home."""

    def __init__(
        self,
        me: Member,
        log: KeyedLog,
        topics: LogTopics,
        dispatcher: Dispatcher,
        own_home: EngineScheduler,
        updates: UpdateDistributor,
    ) -> None:
        self._me = me
        self._log = log
        self._topic = topics.members
        self._dispatcher = dispatcher
        self._own = own_home
        self._updates = updates
        self._members: dict[str, Member] = {me.vm: me}
        self._attempts: dict[str, int] = {}
        self._unfit_until: dict[str, float] = {}
        self._changed = trio.Event()
        self._links = 0
        self._home = me

    @property
    def leader(self) -> str:
        """The VM that decides for this one; may be itself."""
        return self._home.vm

    @property
    def member_count(self) -> int:
        """VMs that are known, this one included."""
        return len(self._members)

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._introduce)
            nursery.start_soon(self._read_members)
            nursery.start_soon(self._listen)
            await self._follow_home()

    async def _introduce(self) -> None:
        record = KeyedRecord(self._me.vm, encode_member(self._me))
        while True:
            try:
                await self._log.append(self._topic, record)
                return
            except StoreError as error:
                log_event("introduction_failed", level=LogLevel.WARNING, reason=str(error))
                await trio.sleep(INTRODUCTION_RETRY_INTERVAL)

    async def _read_members(self) -> None:
        intervals = iter(MEMBER_READ_INTERVALS)
        while True:
            if self._dispatcher.schedules_locally:
                await self._read_members_once()
            else:
                intervals = iter(MEMBER_READ_INTERVALS)
            await trio.sleep(next(intervals, LONGEST_MEMBER_READ_INTERVAL))

    async def _read_members_once(self) -> None:
        try:
            batch = await self._log.newest(self._topic)
        except StoreError as error:
            log_event("members_unread", level=LogLevel.WARNING, reason=str(error))
            return
        for record in batch.records:
            if record.value is None:
                continue
            try:
                self._learn(decode_member(record.value))
            except ValueError as error:
                log_event("member_unreadable", vm=record.key, reason=str(error))

    def _learn(self, member: Member) -> None:
        known = self._members.get(member.vm)
        if known is not None and known.started_ms >= member.started_ms:
            return
        self._members[member.vm] = member
        self._attempts.pop(member.vm, None)
        log_event("member_known", vm=member.vm, started_ms=member.started_ms)
        if member.seniority < self._me.seniority:
            # VMs that have this one as their home may not know of the better one.
            self._updates.member_known(member)
        self._wake()

    def _wake(self) -> None:
        """Has those that wait for a change of the members look again."""
        self._changed.set()
        self._changed = trio.Event()

    def _better_homes(self, than: Member) -> list[Member]:
        """Returns the VMs that are better homes, the best one first.

        A VM that is fit is better than one that is not; where all are unfit, as the store is away
        for all of them, they still share one home.
        """
        better = [m for m in self._members.values() if self._rank(m) < self._rank(than)]
        return sorted(better, key=self._rank)

    def _rank(self, member: Member) -> tuple[bool, tuple[int, int, str]]:
        return not self._is_fit(member.vm), member.seniority

    def _is_fit(self, vm: str) -> bool:
        return self._unfit_until.get(vm, 0.0) <= trio.current_time()

    def _note_unfit(self, vm: str) -> None:
        """Notes that a VM has lost the store while others reach it."""
        if not self._is_fit(vm):
            return
        log_event("home_unfit", level=LogLevel.WARNING, home=vm)
        self._unfit_until[vm] = trio.current_time() + UNFIT_TIME
        # Those that have this VM as their home must hear of it, above all if it is the unfit one.
        self._updates.unfit(vm)
        self._wake()

    async def _follow_home(self) -> None:
        while True:
            found = await self._find_home(self._me)
            if found is None:
                changed = self._changed
                with trio.move_on_after(SENIOR_RETRY_INTERVAL):
                    await changed.wait()
                continue
            await self._use_home(found)

    async def _find_home(self, than: Member) -> Optional["_FoundHome"]:
        """Returns the best home that can be reached, if it is better than ``than``."""
        tried: set[Member] = set()
        while better := [m for m in self._better_homes(than) if m not in tried]:
            member = better[0]
            tried.add(member)
            try:
                stream = await connect(member.host, member.port, CONNECT_TIMEOUT)
            except OSError:
                self._note_unreachable(member)
                continue
            link = MessageLink(stream, LINK_SILENCE)
            if await self._is_expected(member, link):
                self._attempts.pop(member.vm, None)
                return _FoundHome(member, stream, link)
            stream.socket.close()
        return None

    async def _is_expected(self, expected: Member, link: MessageLink) -> bool:
        """Checks who is at the other end; a VM that restarted has not run as long as believed."""
        try:
            found = await link.read_first()
        except LinkBrokenError:
            self._note_unreachable(expected)
            return False
        if isinstance(found, Member):
            self._learn(found)
        return found == expected

    def _note_unreachable(self, member: Member) -> None:
        attempts = self._attempts.get(member.vm, 0) + 1
        self._attempts[member.vm] = attempts
        if attempts >= MAX_ATTEMPTS:
            log_event("member_forgotten", vm=member.vm, attempts=attempts)
            self._members.pop(member.vm, None)
            self._attempts.pop(member.vm, None)

    async def _use_home(self, found: "_FoundHome") -> None:
        home, stream, link = found.member, found.stream, found.link
        link.send(self._me)
        log_event("home_found", home=home.vm)
        self._dispatcher.attach(link)
        self._updates.home_found(link)
        self._home = home
        reason = "another VM is a better home"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.write_queued)
                nursery.start_soon(self._ping, link)
                nursery.start_soon(self._leave_for_better, home, nursery.cancel_scope)
                nursery.start_soon(self._watch_fitness, home, link)
                await link.read_messages(self._handle_home_message)
        except* LinkBrokenError as errors:
            reason = str(errors.exceptions[0])
        finally:
            self._own.suspend_decisions(TAKE_OVER_TIME)
            self._updates.home_lost()
            self._home = self._me
            self._dispatcher.detach()
            stream.socket.close()
        log_event("home_lost", level=LogLevel.WARNING, home=home.vm, reason=reason)

    async def _watch_fitness(self, home: Member, link: MessageLink) -> None:
        """Tells all VMs if the home has lost the store, so that they look for a better one."""
        while True:
            if self._is_fit(home.vm) and self._updates.is_home_unfit():
                link.send(StoreUnreachable(home.vm))
                self._note_unfit(home.vm)
            await trio.sleep(PING_INTERVAL)

    def _handle_home_message(self, message: Message) -> None:
        match message:
            case Member():
                self._learn(message)
            case StoreUnreachable(vm):
                self._note_unfit(vm)
            case _:
                self._updates.handle(message, self._dispatcher.handle)

    async def _ping(self, link: MessageLink) -> None:
        while True:
            link.send(self._updates.next_ping())
            await trio.sleep(PING_INTERVAL)

    async def _leave_for_better(self, home: Member, scope: trio.CancelScope) -> None:
        while True:
            changed = self._changed
            with trio.move_on_after(SENIOR_RETRY_INTERVAL):
                await changed.wait()
            if self._rank(self._me) < self._rank(home):
                scope.cancel()
                return
            found = await self._find_home(home)
            if found is not None:
                found.stream.socket.close()
                scope.cancel()
                return

    async def _listen(self) -> None:
        await trio.serve_tcp(self._serve_member, self._me.port, host=self._me.host)

    async def _serve_member(self, stream: trio.SocketStream) -> None:
        self._links += 1
        serving = _MemberService(
            f"{self._links}",
            self._own,
            self._updates,
            self._learn,
            self._note_unfit,
            lambda: self._better_homes(self._me),
        )
        link = MessageLink(stream, LINK_SILENCE)
        link.send(self._me)
        if not self._is_fit(self._me.vm):
            # A VM that did not hear of it would take this one as its home.
            link.send(StoreUnreachable(self._me.vm))
        serving.link = link
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.write_queued)
                await link.read_messages(serving.handle)
        except* LinkBrokenError:
            pass
        finally:
            self._updates.remove_follower(link)
            self._own.remove_owner(serving.owner)
            stream.socket.close()


@dataclass(frozen=True)
class _FoundHome:
    member: Member
    stream: trio.SocketStream
    link: MessageLink


class _MemberService:
    """Answers the messages of one other VM."""

    def __init__(
        self,
        owner: str,
        home: EngineScheduler,
        updates: UpdateDistributor,
        learn: Callable[[Member], None],
        note_unfit: Callable[[str], None],
        better_homes: Callable[[], list[Member]],
    ) -> None:
        self.owner = owner
        self._updates = updates
        self.link: Optional[MessageLink] = None
        self._home = home
        self._learn = learn
        self._note_unfit = note_unfit
        self._better_homes = better_homes

    def handle(self, message: Message) -> None:
        """Takes a message of the other VM."""
        match message:
            case Member():
                self._learn(message)
                if self.link is not None:
                    self._updates.add_follower(self.link, self._better_homes())
            case Ping():
                if self.link is not None:
                    self.link.send(self._updates.pong(message))
            case StoreUnreachable(vm):
                self._note_unfit(vm)
            case ConfigurationRequest() if self.link is not None:
                self._updates.send_document(self.link)
            case Submit():
                self._submit(message)
            case Register(ask, grant, reading):
                self._home.register(self.owner, ask, grant, reading)
            case Withdraw(ask_id):
                self._home.withdraw(ask_id)
            case PrefillFinished(ask_id):
                self._home.record_first_event(ask_id)
            case EventGapReport(ask_id, pause):
                self._home.record_event_gap(ask_id, pause)
            case Finished(ask_id, outcome, at_fault):
                self._home.record_finished(ask_id, outcome, at_fault)
            case _:
                pass

    def _submit(self, message: Submit) -> None:
        ask = message.ask
        if not self._home.has_pool(ask.service):
            return
        answered = False

        def reply(decision: PlacementDecision) -> None:
            nonlocal answered
            answered = True
            self._send_decision(decision)

        self._home.submit(self.owner, ask, reply)
        if not answered and self.link is not None:
            self.link.send(Waiting(ask.id))

    def _send_decision(self, decision: PlacementDecision) -> None:
        if self.link is None:
            return
        match decision:
            case Grant():
                self.link.send(Granted(decision))
            case _:
                self.link.send(Refused(decision))
