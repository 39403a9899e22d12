"""Interfaces of the message transport and the list reader that the service depends on."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Optional, Protocol

from returns.result import Result

from camphordrift import results
from camphordrift.identifiers import VmId
from camphordrift.membership._platform_list import PlatformList
from camphordrift.peers import NoticeHandler, RequestHandler


class PeerMessenger(Protocol):
    """The part of :class:`camphordrift.peers.PeerNetwork` that the service uses."""

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Declares a message type that is sent or received; the name defaults to the class name."""
        ...

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Registers the handler for requests of a message type."""
        ...

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Registers the handler for notices of a message type. It must not block."""
        ...

    def set_peers(self, addresses: Mapping[VmId, tuple[str, int]]) -> None:
        """Replaces the addresses (IP address and port) of the other VMs."""
        ...

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> Result[Any, results.Failure]:
        """Sends a request to a VM and returns its response, or a failure."""
        ...

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends a one-way notice; it may be dropped."""
        ...


#: Reads the platform's list of VMs and backend servers. Raises ``OSError`` if the read fails.
ListReader = Callable[[], Awaitable[PlatformList]]
