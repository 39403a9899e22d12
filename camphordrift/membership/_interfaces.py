"""What the membership service needs of its surroundings."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Optional, Protocol

from returns.result import Result

from camphordrift import results
from camphordrift.identifiers import VmId
from camphordrift.membership._platform_list import PlatformList
from camphordrift.peers import NoticeHandler, RequestHandler


class PeerMessenger(Protocol):
    """What the service needs of :class:`camphordrift.peers.PeerNetwork`."""

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Makes a message known."""
        ...

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Has ``handler`` answer requests."""
        ...

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Has ``handler`` take notices."""
        ...

    def set_peers(self, addresses: Mapping[VmId, tuple[str, int]]) -> None:
        """Replaces the addresses of the other VMs."""
        ...

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        """Returns a VM's answer."""
        ...

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends a notice."""
        ...


#: Reads the platform's list; raises ``OSError`` if it cannot.
ListReader = Callable[[], Awaitable[PlatformList]]
