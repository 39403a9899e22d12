"""Messages between the entry VMs of a run, with the delay of the zone and with faults."""

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

#: A peer that says nothing is given up after this time, in seconds.
SILENT_SECONDS = 1.5


@dataclass
class _Port:
    requests: dict[type, RequestHandler] = field(default_factory=dict)
    notices: dict[type, NoticeHandler] = field(default_factory=dict)
    lost: trio.Event = field(default_factory=trio.Event)
    is_cut: bool = False


class MessageBus:
    """Connects the VMs of one run. A VM that is cut off hears nothing and says nothing."""

    def __init__(self, hop_seconds: float, cost: ControlCost, nursery: trio.Nursery) -> None:
        self._hop_seconds = hop_seconds
        self._cost = cost
        self._nursery = nursery
        self._ports: dict[VmId, _Port] = {}

    def messenger(self, vm_id: VmId) -> "BusMessenger":
        """Returns the messenger of one VM."""
        self._ports.setdefault(vm_id, _Port())
        return BusMessenger(self, vm_id)

    def port(self, vm_id: VmId) -> _Port:
        """Returns a VM's handlers."""
        return self._ports[vm_id]

    def cut_off(self, vm_id: VmId) -> None:
        """Makes a VM silent: its open requests are given up a little later."""
        port = self._ports[vm_id]
        port.is_cut = True
        self._nursery.start_soon(self._lose_later, port)

    def reconnect(self, vm_id: VmId) -> None:
        """Ends the silence of a VM."""
        port = self._ports[vm_id]
        port.is_cut = False
        port.lost = trio.Event()

    async def request(
        self, sender: VmId, receiver: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, Failure]:
        """Carries a request there and its answer back."""
        self._count(message)
        port = self._ports[receiver]
        if port.is_cut or self._ports[sender].is_cut:
            await trio.sleep(min(SILENT_SECONDS, timeout_seconds))
            return _unreachable(receiver)
        await trio.sleep(self._hop_seconds)
        answer = await self._answer(port, sender, message, timeout_seconds)
        if answer is None or port.is_cut:
            return _unreachable(receiver)
        self._cost.add_small()
        await trio.sleep(self._hop_seconds)
        return answer

    def notify(self, sender: VmId, receiver: VmId, message: object) -> None:
        """Carries a notice, if both VMs can be heard."""
        self._count(message)
        self._nursery.start_soon(self._deliver, sender, receiver, message)

    async def _answer(
        self, port: _Port, sender: VmId, message: object, timeout_seconds: float
    ) -> Optional[result.Result[Any, Failure]]:
        """Returns the handler's answer, or ``None`` if the VM fell silent or took too long."""
        found: list[result.Result[Any, Failure]] = []
        with trio.move_on_after(timeout_seconds):
            async with trio.open_nursery() as nursery:

                async def handle() -> None:
                    found.append(await port.requests[type(message)](sender, message))
                    nursery.cancel_scope.cancel()

                nursery.start_soon(handle)
                await port.lost.wait()
                nursery.cancel_scope.cancel()
        return found[0] if found else None

    async def _deliver(self, sender: VmId, receiver: VmId, message: object) -> None:
        await trio.sleep(self._hop_seconds)
        port = self._ports[receiver]
        if not port.is_cut and not self._ports[sender].is_cut:
            port.notices[type(message)](sender, message)

    async def _lose_later(self, port: _Port) -> None:
        await trio.sleep(SILENT_SECONDS)
        if port.is_cut:
            port.lost.set()

    def _count(self, message: object) -> None:
        if isinstance(message, PoolAsk):
            self._cost.add_grant_request(message.ask)
        else:
            self._cost.add_small()


class BusMessenger:
    """One VM's side of the bus; implements :class:`camphordrift.routing.GrantMessenger`."""

    def __init__(self, bus: MessageBus, own: VmId) -> None:
        self._bus = bus
        self._own = own

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Does nothing: nothing is encoded."""

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Has ``handler`` answer requests."""
        self._bus.port(self._own).requests[message_type] = handler

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Has ``handler`` take notices."""
        self._bus.port(self._own).notices[message_type] = handler

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, Failure]:
        """Returns a VM's answer."""
        return await self._bus.request(self._own, vm_id, message, timeout_seconds)

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends a notice."""
        self._bus.notify(self._own, vm_id, message)


def _unreachable(vm_id: VmId) -> result.Result[Any, Failure]:
    return result.Failure(Failure(ResultCode.PEER_UNREACHABLE, f"{vm_id} does not answer", 1.0))
