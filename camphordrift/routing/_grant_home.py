"""The home VM's side: answers the asks of other VMs with its own scheduler."""

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
    """What routing needs of the network between entry VMs (:mod:`camphordrift.peers`)."""

    def declare(self, message_type: type, name: str | None = None, version: int = 1) -> None:
        """Makes a message known."""
        ...

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Has ``handler`` answer requests."""
        ...

    def register_notice(self, message_type: type, handler: NoticeHandler) -> None:
        """Has ``handler`` take notices."""
        ...

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, Failure]:
        """Returns a VM's answer."""
        ...

    def notify(self, vm_id: VmId, message: object) -> None:
        """Sends a notice."""
        ...


class GrantHome:
    """Answers for the pools that this VM is home to.

    Two VMs that both believe to be home are safe: each counts what the other has granted through
    the engines' load reports, and engines refuse memory that they do not have. The split is only
    less exact until the views agree.
    """

    def __init__(self, local: LocalGrantSource, is_home: Callable[[str], bool]) -> None:
        self._local = local
        self._is_home = is_home

    def register(self, messenger: GrantMessenger) -> None:
        """Has the messenger hand asks and notices to this home."""
        messenger.declare(Grant)
        messenger.register(PoolAsk, self._on_ask)
        messenger.register_notice(FirstTokenNote, self._on_first_token)
        messenger.register_notice(GrantOutcome, self._on_outcome)
        messenger.register_notice(RunningGrants, self._on_running)

    async def _on_ask(self, sender: object, request: PoolAsk) -> result.Result[Grant, Failure]:
        if not self._is_home(request.pool):
            detail = f"this VM is not home to {request.pool}"
            return result.Failure(Failure(ResultCode.NOT_HOME_VM, detail, 1.0))
        return await self._local.acquire(request.ask)

    def _on_first_token(self, sender: object, note: FirstTokenNote) -> None:
        self._local.record_first_token(note.request_id, note.attempt)

    def _on_outcome(self, sender: object, outcome: GrantOutcome) -> None:
        self._local.record_outcome(outcome)

    def _on_running(self, sender: object, message: RunningGrants) -> None:
        self._local.adopt(message.running)
