"""Sends messages to other entry VMs, and passes received ones to their handlers."""

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
    unreachable_failure,
)
from camphordrift.peers._handshake import Session
from camphordrift.peers._handshake_stream import HANDSHAKE_TIMEOUT_SECONDS, HandshakeStream
from camphordrift.peers._identity import FleetKeys, PeerIdentity
from camphordrift.peers._link import PeerLink
from camphordrift.peers._refusals import PeerCounters, Refusal, RefusalReason
from camphordrift.peers._registry import MessageRegistry
from camphordrift.peers._tcp import Dialer, tcp_dialer

#: Maximum number of concurrent handshakes; further accepted streams are closed without reading.
MAXIMUM_HANDSHAKES = 64


class PeerNetwork:
    """Sends requests and notices to other entry VMs, and handles theirs.

    Example::

        network = peer_network(vm_id, incarnation, keys)
        network.declare(Grant)
        network.register(GrantAsk, handle_grant_request)
        network.set_peers({VmId("oliwa-2"): ("10.0.0.2", 7400)})
        nursery.start_soon(network.serve, await open_listeners("10.0.0.1", 7400))
        outcome = await network.request(VmId("oliwa-2"), request, timeout_seconds=2.0)

    A request to this VM itself is passed directly to its handler.
    """

    def __init__(self, own: PeerIdentity, keys: FleetKeys, dial: Dialer) -> None:
        self._own = own
        self._keys = keys
        self._dial = dial
        self._registry = MessageRegistry()
        self._counters = PeerCounters()
        self._dispatcher = Dispatcher(self._registry, self._counters)
        self._links: dict[VmId, PeerLink] = {}
        self._accepted_connections: set[PeerConnection] = set()
        self._handshake_count = 0
        self._nursery: Optional[trio.Nursery] = None

    @property
    def own(self) -> PeerIdentity:
        """Identity of this process."""
        return self._own

    @property
    def counters(self) -> PeerCounters:
        """Counters of events on all connections, such as refused frames, for metrics."""
        return self._counters

    @property
    def message_versions(self) -> dict[str, int]:
        """Version of each declared message type, by name."""
        return self._registry.versions

    @property
    def connected_count(self) -> int:
        """Number of other VMs to which this VM has an open connection."""
        return sum(link.open_connection is not None for link in self._links.values())

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Declares a message type that this VM sends, or receives as a response."""
        self._registry.declare(message_type, name, version)

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Sets the handler for requests of a message type; declares the type if necessary."""
        self._declare_if_needed(message_type)
        self._dispatcher.add_request_handler(message_type, handler)

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Sets the handler for notices of a message type; it must not block."""
        self._declare_if_needed(message_type)
        self._dispatcher.add_notice_handler(message_type, handler)

    def set_peers(self, addresses: Mapping[VmId, tuple[str, int]]) -> None:
        """Replaces the addresses of the other VMs.

        Connections to VMs whose address is unchanged stay open; all others are closed.
        """
        for vm_id in list(self._links):
            if addresses.get(vm_id) != self._links[vm_id].address:
                self._remove_link(vm_id)
        for vm_id, address in addresses.items():
            if vm_id != self._own.vm_id and vm_id not in self._links:
                self._links[vm_id] = PeerLink(address)

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        """Sends a request to a VM and returns its response, or a failure.

        If there is no response, the failure's run state is not-run if the peer cannot have received
        the request. If the wait is cancelled, the peer's handler is cancelled as well.
        """
        deadline = trio.current_time() + timeout_seconds
        if vm_id == self._own.vm_id:
            return await self._request_local(message, timeout_seconds)
        wire = self._registry.encode(message)
        connection: Optional[PeerConnection] = None
        with trio.move_on_at(deadline):
            connected = await self._connect(vm_id)
            if isinstance(connected, Failure):
                return Failure(connected.failure())
            connection = connected.unwrap()
        if connection is None:
            return Failure(unreachable_failure(f"connecting to {vm_id} timed out", False, 1.0))
        return await connection.request(wire, max(0.0, deadline - trio.current_time()))

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends or queues a notice without blocking; drops and counts it if neither is possible."""
        if vm_id == self._own.vm_id:
            self._dispatcher.handle_local_notice(self._own, message)
            return
        link = self._links.get(vm_id)
        if link is None or self._nursery is None:
            self._counters.add("dropped_notices")
            return
        wire = self._registry.encode(message)
        connection = link.open_connection
        if connection is None:
            self._counters.add("dropped_notices", link.queue_notice(wire))
            self._start_dial(vm_id, link)
        elif not connection.notify(wire):
            self._counters.add("dropped_notices")

    async def serve(
        self,
        listeners: Sequence[trio.abc.Listener[trio.abc.Stream]] = (),
        *,
        task_status: Any = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs all connections, and accepts streams from the listeners, until cancelled.

        Start it with ``trio.Nursery.start``, because notices sent before it runs are dropped.
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
        """Runs the handshake and the connection on a stream that another process opened."""
        if self._handshake_count >= MAXIMUM_HANDSHAKES:
            self._record_refusal(
                Refusal(RefusalReason.TOO_MANY_CONNECTIONS, "too many concurrent handshakes")
            )
            await trio.aclose_forcefully(stream)
            return
        handshake = HandshakeStream(stream)
        session = await self._run_handshake(lambda: handshake.respond(self._own, self._keys))
        if session is None:
            await trio.aclose_forcefully(stream)
            return
        connection = self._create_connection(stream, handshake, session, opened_here=False)
        self._accepted_connections.add(connection)
        try:
            await connection.run()
        finally:
            self._accepted_connections.discard(connection)

    def dump_state(self) -> dict[str, Any]:
        """Returns the network's state for the operators' state dump; contains no secrets."""
        return {
            "vm_id": self._own.vm_id,
            "incarnation": self._own.incarnation,
            "counters": self._counters.as_dict(),
            "message_versions": self._registry.versions,
            "links": {vm_id: link.dump_state() for vm_id, link in sorted(self._links.items())},
            "accepted": [connection.dump_state() for connection in self._accepted_connections],
        }

    def _declare_if_needed(self, message_type: type) -> None:
        if not self._registry.is_declared(message_type):
            self._registry.declare(message_type)

    async def _request_local(
        self, message: object, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        with trio.move_on_after(timeout_seconds):
            return await self._dispatcher.handle_local_request(self._own, message)
        return Failure(unreachable_failure(f"{self._own.vm_id} did not respond in time", True, 1.0))

    async def _connect(self, vm_id: VmId) -> Result[PeerConnection, results.Failure]:
        link = self._links.get(vm_id)
        if link is None:
            return Failure(unreachable_failure(f"the address of {vm_id} is unknown", False, 1.0))
        if link.open_connection is None:
            self._start_dial(vm_id, link)
            if link.dial_finished is not None:
                await link.dial_finished.wait()
        connection = link.open_connection
        if connection is None:
            return Failure(unreachable_failure(f"cannot connect to {vm_id}", False, 1.0))
        return Success(connection)

    def _start_dial(self, vm_id: VmId, link: PeerLink) -> None:
        if link.dial_finished is not None or self._nursery is None:
            return
        if link.may_dial(trio.current_time()):
            link.dial_finished = trio.Event()
            self._nursery.start_soon(self._dial_and_run, vm_id, link)

    async def _dial_and_run(self, vm_id: VmId, link: PeerLink) -> None:
        """Dials once and, if that succeeds, runs the connection until it ends."""
        connection = await self._dial_once(vm_id, link)
        if connection is None:
            link.on_dial_failed(trio.current_time())
            self._counters.add("failed_dials")
            self._counters.add("dropped_notices", link.drop_queued_notices())
        else:
            link.on_connected(connection)
        dial_finished, link.dial_finished = link.dial_finished, None
        if dial_finished is not None:
            dial_finished.set()
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
        session = await self._run_handshake(
            lambda: handshake.initiate(self._own, vm_id, self._keys)
        )
        if session is None:
            return None
        return self._create_connection(stream, handshake, session, opened_here=True)

    async def _run_handshake(
        self, handshake: Callable[[], Awaitable[Result[Session, Refusal]]]
    ) -> Optional[Session]:
        """Runs a handshake with a timeout; counts a refusal and then returns ``None``."""
        self._handshake_count += 1
        try:
            with trio.move_on_after(HANDSHAKE_TIMEOUT_SECONDS):
                outcome = await handshake()
                if isinstance(outcome, Failure):
                    self._record_refusal(outcome.failure())
                    return None
                return outcome.unwrap()
            self._record_refusal(Refusal(RefusalReason.HANDSHAKE_TIMEOUT, "handshake timed out"))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._counters.add("broken_handshakes")
        finally:
            self._handshake_count -= 1
        return None

    def _create_connection(
        self,
        stream: trio.abc.Stream,
        handshake: HandshakeStream,
        session: Session,
        opened_here: bool,
    ) -> PeerConnection:
        return PeerConnection(
            stream, handshake.splitter, session, self._dispatcher, self._counters, opened_here
        )

    def _record_refusal(self, refusal: Refusal) -> None:
        self._counters.add_refusal(refusal)

    def _remove_link(self, vm_id: VmId) -> None:
        link = self._links.pop(vm_id)
        if link.connection is not None:
            link.connection.close()


def peer_network(
    vm_id: VmId,
    incarnation: Incarnation,
    keys: Sequence[bytes],
    dial: Optional[Dialer] = None,
) -> PeerNetwork:
    """Creates the network of one process.

    Connections use TCP unless another dialer is given. Raises ``ValueError`` if ``keys`` is empty
    or a key is too short.
    """
    own = PeerIdentity(vm_id, incarnation)
    return PeerNetwork(own, FleetKeys(keys), dial or tcp_dialer())
