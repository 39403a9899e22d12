"""In-memory messages between VMs, with delays, loss, partitions, pauses and crashes.

It implements the interface of the message streams between VMs. Messages are encoded only to count
their bytes.
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

#: Size of a message besides its body: frame, envelope, TCP and IP headers, in bytes.
MESSAGE_OVERHEAD_BYTES = 100


class FakeNetwork:
    """The links between the VMs and their faults.

    ``loss_probability`` applies to each message. VMs exchange messages only within one partition
    of ``partition_of`` (0 by default) and over links that are not in ``cut_links``. Messages from
    and to VMs in ``paused`` wait for their event.
    """

    def __init__(self, rng: random.Random, delay_seconds: float = 0.001) -> None:
        self._rng = rng
        self._delay_seconds = delay_seconds
        self._messengers: dict[VmId, FakeMessenger] = {}
        self.loss_probability = 0.0
        self.cut_links: set[frozenset[VmId]] = set()
        self.partition_of: dict[VmId, int] = {}
        self.paused: dict[VmId, trio.Event] = {}

    def attach(self, messenger: "FakeMessenger") -> None:
        """Connects a VM process; replaces a previous process of the same VM."""
        self._messengers[messenger.identity.vm_id] = messenger

    def detach(self, vm_id: VmId) -> None:
        """Disconnects a VM that crashed."""
        self._messengers.pop(vm_id, None)

    def messenger_of(self, vm_id: VmId) -> Optional["FakeMessenger"]:
        """Returns the messenger of a VM, or ``None`` if the VM does not run."""
        return self._messengers.get(vm_id)

    def is_cut(self, first: VmId, second: VmId) -> bool:
        """Returns whether the link between two VMs is cut or crosses a partition."""
        partitioned = self.partition_of.get(first, 0) != self.partition_of.get(second, 0)
        return partitioned or frozenset((first, second)) in self.cut_links

    async def transmit(self, sender: VmId, receiver: VmId) -> bool:
        """Waits for the transmission of one message; returns whether it arrives."""
        await trio.sleep(self._delay_seconds * self._rng.uniform(0.5, 2.0))
        for vm_id in (sender, receiver):
            if vm_id in self.paused:
                await self.paused[vm_id].wait()
        return not self.is_cut(sender, receiver) and self._rng.random() >= self.loss_probability


class FakeMessenger(PeerMessenger):
    """Messenger of one VM process; counts the bytes it sent and received."""

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
        """Declares a message type, so that its messages can be encoded."""
        self._registry.declare(message_type, name, version)

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Sets the handler of requests of one type."""
        self._handlers[message_type] = handler

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Sets the handler of notices of one type."""
        self._notice_handlers[message_type] = handler

    def set_peers(self, addresses: Mapping[VmId, tuple[str, int]]) -> None:
        """Does nothing: every VM is connected to every other."""

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        """Returns the response of a VM, or ``PEER_UNREACHABLE`` after the timeout."""
        with trio.move_on_after(timeout_seconds):
            response = await self._exchange(vm_id, message)
            if response is None and self._network.messenger_of(vm_id) is not None:
                await trio.sleep(timeout_seconds)
            if response is not None:
                return response
        code = results.ResultCode.PEER_UNREACHABLE
        return Failure(results.Failure(code, f"no response from {vm_id}", 1.0))

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends a notice in the background; it may be lost."""
        self._nursery.start_soon(self._deliver, vm_id, message)

    async def _exchange(
        self, vm_id: VmId, message: object
    ) -> Optional[Result[Any, results.Failure]]:
        receiver = await self._send(vm_id, message)
        if receiver is None:
            return None
        response = await receiver._handlers[type(message)](self.identity, message)
        if isinstance(response, Success):
            reached = await receiver._send(self.identity.vm_id, response.unwrap())
            return response if reached is self else None
        return response

    async def _send(self, vm_id: VmId, message: object) -> Optional["FakeMessenger"]:
        """Sends a message; returns the messenger that received it, or ``None`` if it was lost."""
        size = len(self._registry.encode(message).body) + MESSAGE_OVERHEAD_BYTES
        self.bytes_sent += size
        if not await self._network.transmit(self.identity.vm_id, vm_id):
            return None
        receiver = self._network.messenger_of(vm_id)
        if receiver is not None:
            receiver.bytes_received += size
        return receiver

    async def _deliver(self, vm_id: VmId, message: object) -> None:
        receiver = await self._send(vm_id, message)
        if receiver is not None:
            receiver._notice_handlers[type(message)](self.identity, message)


def fake_messenger(
    vm_id: VmId, incarnation: Incarnation, network: FakeNetwork, nursery: trio.Nursery
) -> FakeMessenger:
    """Returns a messenger for a VM process, connected to ``network``."""
    messenger = FakeMessenger(PeerIdentity(vm_id, incarnation), network, nursery)
    network.attach(messenger)
    return messenger
