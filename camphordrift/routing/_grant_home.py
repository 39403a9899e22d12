"""The home VM's side of the protocol: handles grant requests of other VMs for its pools.

The home VM of a pool is the VM that schedules the pool's engines for all entry VMs.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from returns import result

from camphordrift.identifiers import VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing._grants import Grant, GrantOutcome
from camphordrift.routing._home_messages import (
    FirstTokenNote,
    PoolAsk,
    RunningGrants,
)
from camphordrift.routing._local_source import LocalGrantSource

RequestHandler = Callable[[Any, Any], Awaitable[result.Result[Any, Failure]]]
NoticeHandler = Callable[[Any, Any], None]


class GrantMessenger(Protocol):
    """The part of the network between VMs (:mod:`camphordrift.peers`) that routing uses."""

    def declare(self, message_type: type, name: str | None = None, version: int = 1) -> None:
        """Declares a message type, so that it can be encoded and decoded."""
        ...

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Registers the handler of a request type, which returns the response."""
        ...

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Registers the handler of a notice, a message without a response."""
        ...

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, Failure]:
        """Sends a request and returns the response, or a failure after the timeout."""
        ...

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends a notice without waiting for its delivery."""
        ...


class GrantHome:
    """Handles grant requests for the pools whose home VM this VM is.

    It is safe if two VMs both act as the home VM of a pool: each sees the other's grants in the
    load reports of the engines, and engines refuse memory holds that do not fit. Scheduling is only
    less accurate until the membership views of the VMs agree.
    """

    def __init__(self, local: LocalGrantSource, is_home: Callable[[str], bool]) -> None:
        self._local = local
        self._is_home = is_home

    def register(self, messenger: GrantMessenger) -> None:
        """Registers the handlers of the pool messages with ``messenger``."""
        messenger.declare(Grant)
        messenger.register(PoolAsk, self._on_ask)
        messenger.register_notice(FirstTokenNote, self._on_first_token)
        messenger.register_notice(GrantOutcome, self._on_outcome)
        messenger.register_notice(RunningGrants, self._on_running)

    async def _on_ask(self, sender: object, request: PoolAsk) -> result.Result[Grant, Failure]:
        if not self._is_home(request.pool):
            detail = f"this VM is not the home VM of pool {request.pool}"
            return result.Failure(Failure(ResultCode.NOT_HOME_VM, detail, 1.0))
        return await self._local.acquire(request.ask)

    def _on_first_token(self, sender: object, note: FirstTokenNote) -> None:
        self._local.record_first_token(note.request_id, note.attempt)

    def _on_outcome(self, sender: object, outcome: GrantOutcome) -> None:
        self._local.record_outcome(outcome)

    def _on_running(self, sender: object, message: RunningGrants) -> None:
        self._local.adopt(message.running)
