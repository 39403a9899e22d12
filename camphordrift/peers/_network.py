"""Messages between entry VMs."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Optional

import trio
from returns.result import Failure, Result, Success

from camphordrift import results
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.peers._connection import PeerConnection
from camphordrift.peers._dispatch import (
    Dispatcher,
    NoticeHandler,
    RequestHandler,
    peer_unreachable,
)
from camphordrift.peers._establish import HANDSHAKE_TIMEOUT_SECONDS, HandshakeStream
from camphordrift.peers._handshake import Session
from camphordrift.peers._identity import FleetKeys, PeerIdentity
from camphordrift.peers._link import PeerLink
from camphordrift.peers._refusals import PeerCounters, Refusal, RefusalReason
from camphordrift.peers._registry import MessageRegistry
from camphordrift.peers._tcp import Dialer, tcp_dialer

#: Streams that may be in their handshake at once; further ones are closed unread.
MAXIMUM_HANDSHAKES = 64


class PeerNetwork:
    """Sends requests and notices to other entry VMs, and answers theirs.

    Example::

        network = peer_network(vm_id, incarnation, keys)
        network.declare(Grant)
        network.register(GrantAsk, answer_ask)
        network.set_peers({VmId("oliwa-2"): ("10.0.0.2", 7400)})
        nursery.start_soon(network.serve, await open_listeners("10.0.0.1", 7400))
        outcome = await network.request(VmId("oliwa-2"), ask, timeout_seconds=2.0)

    A request to this VM itself goes straight to its handler.
    """

    def __init__(self, own: PeerIdentity, keys: FleetKeys, dial: Dialer) -> None:
        self._own = own
        self._keys = keys
        self._dial = dial
        self._registry = MessageRegistry()
        self._counters = PeerCounters()
        self._dispatcher = Dispatcher(self._registry, self._counters)
        self._links: dict[VmId, PeerLink] = {}
        self._accepted: set[PeerConnection] = set()
        self._handshakes = 0
        self._nursery: Optional[trio.Nursery] = None

    @property
    def own(self) -> PeerIdentity:
        """Identity of the process that the network belongs to."""
        return self._own

    @property
    def counters(self) -> PeerCounters:
        """What happened, for metrics."""
        return self._counters

    @property
    def message_versions(self) -> dict[str, int]:
        """Version of each message that this process reads."""
        return self._registry.versions

    @property
    def connected_count(self) -> int:
        """Other VMs to which a stream of this VM works."""
        return sum(link.open_connection is not None for link in self._links.values())

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Makes a message known that is sent, or received as an answer."""
        self._registry.declare(message_type, name, version)

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Has ``handler`` answer requests of this type; declares the type if need be."""
        self._declare_once(message_type)
        self._dispatcher.add_request_handler(message_type, handler)

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Has ``handler``, which must not wait, take notices of this type."""
        self._declare_once(message_type)
        self._dispatcher.add_notice_handler(message_type, handler)

    def set_peers(self, addresses: Mapping[VmId, tuple[str, int]]) -> None:
        """Replaces the addresses of the other VMs; connections to unchanged ones stay."""
        for vm_id in list(self._links):
            if addresses.get(vm_id) != self._links[vm_id].address:
                self._drop_link(vm_id)
        for vm_id, address in addresses.items():
            if vm_id != self._own.vm_id and vm_id not in self._links:
                self._links[vm_id] = PeerLink(address)

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        """Returns the answer of a VM, or why there is none.

        A failure whose run state is not-run means that the peer cannot have seen the request. If
        the wait is cancelled, so is the peer's handler.
        """
        deadline = trio.current_time() + timeout_seconds
        if vm_id == self._own.vm_id:
            return await self._request_locally(message, timeout_seconds)
        wire = self._registry.encode(message)
        connection: Optional[PeerConnection] = None
        with trio.move_on_at(deadline):
            connected = await self._connected(vm_id)
            if isinstance(connected, Failure):
                return Failure(connected.failure())
            connection = connected.unwrap()
        if connection is None:
            return Failure(peer_unreachable(f"{vm_id} could not be connected in time", False, 1.0))
        return await connection.request(wire, max(0.0, deadline - trio.current_time()))

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends a notice if that is possible; counts it as dropped otherwise. Does not wait."""
        if vm_id == self._own.vm_id:
            self._dispatcher.take_local_notice(self._own, message)
            return
        link = self._links.get(vm_id)
        if link is None or self._nursery is None:
            self._counters.add("dropped_notices")
            return
        wire = self._registry.encode(message)
        connection = link.open_connection
        if connection is None:
            self._counters.add("dropped_notices", link.hold_notice(wire))
            self._start_dialling(vm_id, link)
        elif not connection.notify(wire):
            self._counters.add("dropped_notices")

    async def serve(
        self,
        listeners: Sequence[trio.abc.Listener[trio.abc.Stream]] = (),
        *,
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs all connections, and accepts streams of the listeners, until cancelled.

        Start it with ``trio.Nursery.start``: notices sent earlier are dropped.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                if listeners:
                    await trio.serve_listeners(
                        self.accept, list(listeners), handler_nursery=nursery
                    )
                else:
                    await trio.sleep_forever()
            finally:
                self._nursery = None

    async def accept(self, stream: trio.abc.Stream) -> None:
        """Serves one stream that another process opened, until it ends."""
        if self._handshakes >= MAXIMUM_HANDSHAKES:
            self._refuse(Refusal(RefusalReason.TOO_MANY_CONNECTIONS, "too many handshakes"))
            await trio.aclose_forcefully(stream)
            return
        handshake = HandshakeStream(stream)
        session = await self._within_handshake(lambda: handshake.respond(self._own, self._keys))
        if session is None:
            await trio.aclose_forcefully(stream)
            return
        connection = self._connection(stream, handshake, session, opened_here=False)
        self._accepted.add(connection)
        try:
            await connection.run()
        finally:
            self._accepted.discard(connection)

    def dump_state(self) -> dict[str, Any]:
        """Returns what an operator wants to see; it holds no secret."""
        return {
            "vm_id": self._own.vm_id,
            "incarnation": self._own.incarnation,
            "counters": self._counters.as_dict(),
            "message_versions": self._registry.versions,
            "links": {vm_id: link.dump_state() for vm_id, link in sorted(self._links.items())},
            "accepted": [connection.dump_state() for connection in self._accepted],
        }

    def _declare_once(self, message_type: type) -> None:
        if not self._registry.is_declared(message_type):
            self._registry.declare(message_type)

    async def _request_locally(
        self, message: object, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        with trio.move_on_after(timeout_seconds):
            return await self._dispatcher.answer_local(self._own, message)
        return Failure(peer_unreachable(f"{self._own.vm_id} did not answer in time", True, 1.0))

    async def _connected(self, vm_id: VmId) -> Result[PeerConnection, results.Failure]:
        link = self._links.get(vm_id)
        if link is None:
            return Failure(peer_unreachable(f"the address of {vm_id} is unknown", False, 1.0))
        if link.open_connection is None:
            self._start_dialling(vm_id, link)
            if link.dialled is not None:
                await link.dialled.wait()
        connection = link.open_connection
        if connection is None:
            return Failure(peer_unreachable(f"{vm_id} cannot be connected", False, 1.0))
        return Success(connection)

    def _start_dialling(self, vm_id: VmId, link: PeerLink) -> None:
        if link.dialled is not None or self._nursery is None:
            return
        if link.may_dial(trio.current_time()):
            link.dialled = trio.Event()
            self._nursery.start_soon(self._run_link, vm_id, link)

    async def _run_link(self, vm_id: VmId, link: PeerLink) -> None:
        """Dials once and serves the connection until it ends."""
        connection = await self._dial_once(vm_id, link)
        if connection is None:
            link.on_dial_failed(trio.current_time())
            self._counters.add("failed_dials")
            self._counters.add("dropped_notices", link.drop_notices())
        else:
            link.on_connected(connection)
        dialled, link.dialled = link.dialled, None
        if dialled is not None:
            dialled.set()
        if connection is not None:
            await connection.run()

    async def _dial_once(self, vm_id: VmId, link: PeerLink) -> Optional[PeerConnection]:
        stream: Optional[trio.abc.Stream] = None
        connection: Optional[PeerConnection] = None
        try:
            with trio.move_on_after(HANDSHAKE_TIMEOUT_SECONDS):
                stream = await self._dial(*link.address)
                connection = await self._initiate(vm_id, stream)
        except OSError:
            return None
        finally:
            if connection is None and stream is not None:
                await trio.aclose_forcefully(stream)
        return connection

    async def _initiate(self, vm_id: VmId, stream: trio.abc.Stream) -> Optional[PeerConnection]:
        handshake = HandshakeStream(stream)
        session = await self._within_handshake(
            lambda: handshake.initiate(self._own, vm_id, self._keys)
        )
        if session is None:
            return None
        return self._connection(stream, handshake, session, opened_here=True)

    async def _within_handshake(
        self, handshake: Callable[[], Awaitable[Result[Session, Refusal]]]
    ) -> Optional[Session]:
        """Runs a handshake within its time; counts why it was refused."""
        self._handshakes += 1
        try:
            with trio.move_on_after(HANDSHAKE_TIMEOUT_SECONDS):
                outcome = await handshake()
                if isinstance(outcome, Failure):
                    self._refuse(outcome.failure())
                    return None
                return outcome.unwrap()
            self._refuse(Refusal(RefusalReason.HANDSHAKE_TIMEOUT, "the handshake took too long"))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._counters.add("broken_handshakes")
        finally:
            self._handshakes -= 1
        return None

    def _connection(
        self,
        stream: trio.abc.Stream,
        handshake: HandshakeStream,
        session: Session,
        opened_here: bool,
    ) -> PeerConnection:
        return PeerConnection(
            stream, handshake.splitter, session, self._dispatcher, self._counters, opened_here
        )

    def _refuse(self, refusal: Refusal) -> None:
        self._counters.add_refusal(refusal)

    def _drop_link(self, vm_id: VmId) -> None:
        link = self._links.pop(vm_id)
        if link.connection is not None:
            link.connection.close()


def peer_network(
    vm_id: VmId,
    incarnation: Incarnation,
    keys: Sequence[bytes],
    dial: Optional[Dialer] = None,
) -> PeerNetwork:
    """Returns the network of one process; over TCP unless another dialer is given."""
    own = PeerIdentity(vm_id, incarnation)
    return PeerNetwork(own, FleetKeys(keys), dial or tcp_dialer())
