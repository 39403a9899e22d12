"""Messages between the entry VMs of a run, with the network delay of the zone and with faults."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Optional

import trio
from returns import result

from camphordrift.experiments._control_cost import ControlCost
from camphordrift.identifiers import VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing import PoolAsk

RequestHandler = Callable[[Any, Any], Awaitable[result.Result[Any, Failure]]]
NoticeHandler = Callable[[Any, Any], None]

#: A request to a disconnected VM fails after this time, in seconds.
UNREACHABLE_AFTER_SECONDS = 1.5


@dataclass
class _Endpoint:
    """Handlers and connection state of one VM; ``failed`` fails its open requests."""

    requests: dict[type, RequestHandler] = field(default_factory=dict)
    notices: dict[type, NoticeHandler] = field(default_factory=dict)
    failed: trio.Event = field(default_factory=trio.Event)
    is_disconnected: bool = False


class MessageBus:
    """Connects the VMs of one run; a disconnected VM neither sends nor receives messages."""

    def __init__(self, hop_seconds: float, cost: ControlCost, nursery: trio.Nursery) -> None:
        self._hop_seconds = hop_seconds
        self._cost = cost
        self._nursery = nursery
        self._endpoints: dict[VmId, _Endpoint] = {}

    def messenger(self, vm_id: VmId) -> "BusMessenger":
        """Returns the messenger of one VM; registers the VM on first use."""
        self._endpoints.setdefault(vm_id, _Endpoint())
        return BusMessenger(self, vm_id)

    def endpoint(self, vm_id: VmId) -> _Endpoint:
        """Returns the handlers and the connection state of a VM."""
        return self._endpoints[vm_id]

    def disconnect(self, vm_id: VmId) -> None:
        """Disconnects a VM; open requests to it fail ``UNREACHABLE_AFTER_SECONDS`` later."""
        endpoint = self._endpoints[vm_id]
        endpoint.is_disconnected = True
        self._nursery.start_soon(self._fail_requests_later, endpoint)

    def reconnect(self, vm_id: VmId) -> None:
        """Reconnects a VM."""
        endpoint = self._endpoints[vm_id]
        endpoint.is_disconnected = False
        endpoint.failed = trio.Event()

    async def request(
        self, sender: VmId, receiver: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, Failure]:
        """Returns the response, or ``PEER_UNREACHABLE`` if it does not arrive in time."""
        self._count_message(message)
        endpoint = self._endpoints[receiver]
        if endpoint.is_disconnected or self._endpoints[sender].is_disconnected:
            await trio.sleep(min(UNREACHABLE_AFTER_SECONDS, timeout_seconds))
            return _unreachable(receiver)
        await trio.sleep(self._hop_seconds)
        response = await self._handle_request(endpoint, sender, message, timeout_seconds)
        if response is None or endpoint.is_disconnected:
            return _unreachable(receiver)
        self._cost.add_small()
        await trio.sleep(self._hop_seconds)
        return response

    def notify(self, sender: VmId, receiver: VmId, message: object) -> None:
        """Sends a notice in the background; it is dropped if either VM is disconnected."""
        self._count_message(message)
        self._nursery.start_soon(self._deliver, sender, receiver, message)

    async def _handle_request(
        self, endpoint: _Endpoint, sender: VmId, message: object, timeout_seconds: float
    ) -> Optional[result.Result[Any, Failure]]:
        """Returns the handler's response, or ``None`` after a disconnection or the timeout."""
        responses: list[result.Result[Any, Failure]] = []
        with trio.move_on_after(timeout_seconds):
            async with trio.open_nursery() as nursery:

                async def handle() -> None:
                    responses.append(await endpoint.requests[type(message)](sender, message))
                    nursery.cancel_scope.cancel()

                nursery.start_soon(handle)
                await endpoint.failed.wait()
                nursery.cancel_scope.cancel()
        return responses[0] if responses else None

    async def _deliver(self, sender: VmId, receiver: VmId, message: object) -> None:
        await trio.sleep(self._hop_seconds)
        endpoint = self._endpoints[receiver]
        if not endpoint.is_disconnected and not self._endpoints[sender].is_disconnected:
            endpoint.notices[type(message)](sender, message)

    async def _fail_requests_later(self, endpoint: _Endpoint) -> None:
        await trio.sleep(UNREACHABLE_AFTER_SECONDS)
        if endpoint.is_disconnected:
            endpoint.failed.set()

    def _count_message(self, message: object) -> None:
        if isinstance(message, PoolAsk):
            self._cost.add_grant_request(message.ask)
        else:
            self._cost.add_small()


class BusMessenger:
    """Messenger of one VM; implements :class:`camphordrift.routing.GrantMessenger`."""

    def __init__(self, bus: MessageBus, own: VmId) -> None:
        self._bus = bus
        self._own_id = own

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Does nothing: messages are not encoded."""

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Sets the handler of requests of one type."""
        self._bus.endpoint(self._own_id).requests[message_type] = handler

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Sets the handler of notices of one type."""
        self._bus.endpoint(self._own_id).notices[message_type] = handler

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, Failure]:
        """Returns the response of a VM, or ``PEER_UNREACHABLE`` if it does not arrive in time."""
        return await self._bus.request(self._own_id, vm_id, message, timeout_seconds)

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends a notice in the background; it may be dropped."""
        self._bus.notify(self._own_id, vm_id, message)


def _unreachable(vm_id: VmId) -> result.Result[Any, Failure]:
    return result.Failure(Failure(ResultCode.PEER_UNREACHABLE, f"no response from {vm_id}", 1.0))
