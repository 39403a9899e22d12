"""Shares which VMs are cut off from the servers, and chooses VMs that connect for others."""

import itertools
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Optional

import trio

from camphordrift.relay.model import Address
from camphordrift.relay.peers._message_link import MessageLink
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.peers._peer_messages import Member
from camphordrift.relay.servers import STATEMENT_INTERVAL, CutOffVms, PathStatement

#: Maximum number of VMs that are remembered besides the members.
MAX_KNOWN_VMS = 32

#: Seconds for which a VM that opened no connection is asked after the others.
FAILURE_PERIOD = 3.0


class PathSharing:
    """What this VM knows of the other VMs' paths to servers.

    Args:
        own_member: This VM.
        clock: Returns the seconds of a monotonic clock.
        links: Links to the leader and to followers.

    """

    def __init__(self, own_member: Member, clock: Callable[[], float], links: PeerLinks) -> None:
        self._own_member = own_member
        self._clock = clock
        self._cut_off_vms = CutOffVms()
        self._numbers = itertools.count()
        self._is_cut_off = False
        self._links = links
        links.add_greeting(lambda: self._cut_off_vms.current(clock()))
        self._known: OrderedDict[str, Member] = OrderedDict()
        self._failed_at: dict[Address, float] = {}
        #: Returns the members that this VM knows.
        self.members: Callable[[], Iterable[Member]] = lambda: ()

    def add_known(self, member: Member) -> None:
        """Remembers a VM that another one named."""
        self._known[member.vm] = member
        self._known.move_to_end(member.vm)
        if len(self._known) > MAX_KNOWN_VMS:
            self._known.popitem(last=False)

    def handle(self, statement: PathStatement, source: Optional[MessageLink] = None) -> None:
        """Merges a VM's statement, and passes it on if it is new."""
        if self._cut_off_vms.merge(statement, self._clock()):
            self._links.send(statement, source)

    def state_cut_off(self, is_cut_off: bool) -> None:
        """Tells the other VMs whether this one is cut off from the servers."""
        self._is_cut_off = is_cut_off
        own = self._own_member
        self.handle(PathStatement(own.vm, own.started_ms, next(self._numbers), is_cut_off))

    def record_failed(self, vm: Address) -> None:
        """Records that a VM opened no connection to a server that may be sound."""
        self._failed_at[vm] = self._clock()

    def addresses(self) -> list[Address]:
        """Returns the addresses of VMs that may have paths to servers, best first.

        The first one is in this VM's availability zone if possible. The second one is not, as VMs
        of one zone often lose their paths together.
        """
        now = self._clock()
        self._failed_at = {
            vm: at for vm, at in self._failed_at.items() if now < at + FAILURE_PERIOD
        }
        members = {member.vm: member for member in (*self._known.values(), *self.members())}
        usable = [
            member
            for vm, member in members.items()
            if vm != self._own_member.vm and not self._cut_off_vms.is_cut_off(vm, now)
        ]
        random.shuffle(usable)
        local = [member for member in usable if member.zone == self._own_member.zone]
        remote = [member for member in usable if member.zone != self._own_member.zone]
        paired = itertools.chain.from_iterable(itertools.zip_longest(local, remote))
        ordered = [member.address for member in paired if member is not None]
        return sorted(ordered, key=self._failed_at.__contains__)

    async def run(self) -> None:
        """Repeats this VM's statement while it is cut off, until cancelled."""
        while True:
            await trio.sleep(STATEMENT_INTERVAL)
            if self._is_cut_off:
                self.state_cut_off(True)
