"""Messages between VMs in memory, with delay, loss, cut links, pauses and death.

It stands at the interface of the streams between VMs and simulates nothing of a cluster; messages
are encoded as they would be, to count their bytes.
"""

import random
from collections.abc import Mapping
from typing import Any, Optional

import trio
from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.membership import PeerMessenger
from camphordrift.peers import MessageRegistry, NoticeHandler, PeerIdentity, RequestHandler

#: What each message costs besides its body: frame, envelope, TCP and IP headers, in bytes.
MESSAGE_OVERHEAD_BYTES = 100


class FakeNetwork:
    """The links between the VMs, and what is wrong with them."""

    def __init__(self, rng: random.Random, delay_seconds: float = 0.001) -> None:
        self._rng = rng
        self._delay_seconds = delay_seconds
        self._nodes: dict[VmId, FakeMessenger] = {}
        self.loss = 0.0
        self.cut_links: set[frozenset[VmId]] = set()
        self.group_of: dict[VmId, int] = {}
        self.paused: dict[VmId, trio.Event] = {}

    def attach(self, messenger: "FakeMessenger") -> None:
        """Connects a VM; replaces an earlier process of the same VM."""
        self._nodes[messenger.identity.vm_id] = messenger

    def detach(self, vm_id: VmId) -> None:
        """Disconnects a VM that has died."""
        self._nodes.pop(vm_id, None)

    def node(self, vm_id: VmId) -> Optional["FakeMessenger"]:
        """Returns the process that runs on a VM."""
        return self._nodes.get(vm_id)

    def is_cut(self, first: VmId, second: VmId) -> bool:
        """Tells whether no message passes between two VMs."""
        split = self.group_of.get(first, 0) != self.group_of.get(second, 0)
        return split or frozenset((first, second)) in self.cut_links

    async def carry(self, sender: VmId, receiver: VmId) -> bool:
        """Waits for as long as one message travels; returns false if it is lost."""
        await trio.sleep(self._delay_seconds * self._rng.uniform(0.5, 2.0))
        for vm_id in (sender, receiver):
            if vm_id in self.paused:
                await self.paused[vm_id].wait()
        return not self.is_cut(sender, receiver) and self._rng.random() >= self.loss


class FakeMessenger(PeerMessenger):
    """One VM's end of the links."""

    def __init__(self, identity: PeerIdentity, network: FakeNetwork, nursery: trio.Nursery) -> None:
        self.identity = identity
        self.bytes_sent = 0
        self.bytes_received = 0
        self._network = network
        self._nursery = nursery
        self._registry = MessageRegistry()
        self._handlers: dict[type, RequestHandler] = {}
        self._notice_handlers: dict[type, NoticeHandler] = {}

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Makes a message known."""
        self._registry.declare(message_type, name, version)

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Has ``handler`` answer requests."""
        self._handlers[message_type] = handler

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Has ``handler`` take notices."""
        self._notice_handlers[message_type] = handler

    def set_peers(self, addresses: Mapping[VmId, tuple[str, int]]) -> None:
        """Does nothing: all VMs are connected."""

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        """Returns a VM's answer."""
        with trio.move_on_after(timeout_seconds):
            answer = await self._exchange(vm_id, message)
            if answer is None and self._network.node(vm_id) is not None:
                await trio.sleep(timeout_seconds)
            if answer is not None:
                return answer
        code = results.ResultCode.PEER_UNREACHABLE
        return Failure(results.Failure(code, f"{vm_id} did not answer", 1.0))

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends a notice."""
        self._nursery.start_soon(self._deliver, vm_id, message)

    async def _exchange(
        self, vm_id: VmId, message: object
    ) -> Optional[Result[Any, results.Failure]]:
        other = await self._send(vm_id, message)
        if other is None:
            return None
        answer = await other._handlers[type(message)](self.identity, message)
        if isinstance(answer, Success):
            back = await other._send(self.identity.vm_id, answer.unwrap())
            return answer if back is self else None
        return answer

    async def _send(self, vm_id: VmId, message: object) -> Optional["FakeMessenger"]:
        """Carries a message; returns the process that received it, if any did."""
        size = len(self._registry.encode(message).body) + MESSAGE_OVERHEAD_BYTES
        self.bytes_sent += size
        if not await self._network.carry(self.identity.vm_id, vm_id):
            return None
        other = self._network.node(vm_id)
        if other is not None:
            other.bytes_received += size
        return other

    async def _deliver(self, vm_id: VmId, message: object) -> None:
        other = await self._send(vm_id, message)
        if other is not None:
            other._notice_handlers[type(message)](self.identity, message)


def fake_messenger(
    vm_id: VmId, incarnation: Incarnation, network: FakeNetwork, nursery: trio.Nursery
) -> FakeMessenger:
    """Returns a VM's end of the links, connected."""
    messenger = FakeMessenger(PeerIdentity(vm_id, incarnation), network, nursery)
    network.attach(messenger)
    return messenger
