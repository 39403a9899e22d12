"""Asks the owners of holds, over the streams between VMs, which holds they claim."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Optional, Protocol

import trio
from returns import result

from camphordrift import results
from camphordrift.engine_memory._owners import (
    OwnerKnowledge,
    OwnerMissing,
    OwnerResponded,
    OwnerUnreachable,
)
from camphordrift.engine_memory._registry import HoldRegistry
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.identifiers import HoldId, Incarnation, VmId
from camphordrift.peers import PeerIdentity, RequestHandler

#: VMs whose absence is remembered; the oldest is forgotten first and counted anew.
_REMEMBERED_MISSING = 4096


@dataclass(frozen=True)
class HoldClaimsQuery:
    """Asks a VM for all holds that it claims."""

    #: The VM that asks, for people who read the traffic.
    asked_by: VmId


@dataclass(frozen=True)
class HoldClaims:
    """The answer: every hold that the VM wants to keep, also those it is about to place."""

    #: The process that answers.
    incarnation: Incarnation

    #: The holds.
    claimed: tuple[HoldId, ...]


class PeerRequests(Protocol):
    """What the inquiry needs of :class:`camphordrift.peers.PeerNetwork`."""

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Makes a message known."""
        ...

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Has ``handler`` answer requests."""
        ...

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, results.Failure]:
        """Returns a VM's answer."""
        ...


class OwnerInquiry:
    """Answers other VMs from this VM's registry, and asks them for theirs.

    ``is_listed`` tells whether the platform's list names a VM, or any live VM hears from it. Pass
    :meth:`ask` to :func:`reconcile_engine_memory`.
    """

    def __init__(
        self,
        peers: PeerRequests,
        own_vm: VmId,
        registry: HoldRegistry,
        is_listed: Callable[[VmId], bool],
        settings: HoldSettings,
    ) -> None:
        self._peers = peers
        self._own_vm = own_vm
        self._registry = registry
        self._is_listed = is_listed
        self._settings = settings
        self._missing_since: dict[VmId, float] = {}
        for message_type in (HoldClaimsQuery, HoldClaims):
            peers.declare(message_type, f"engine_memory.{message_type.__name__}")
        peers.register(HoldClaimsQuery, self._answer)

    async def ask(self, owner: VmId) -> OwnerKnowledge:
        """Asks a VM now; a VM that does not answer is missing only if nothing names it."""
        asked_at = trio.current_time()
        if owner == self._own_vm:
            return self._registry.current_claims(asked_at)
        query = HoldClaimsQuery(self._own_vm)
        answer = await self._peers.request(owner, query, self._settings.request_timeout_seconds)
        match answer:
            case result.Success(HoldClaims(incarnation=incarnation, claimed=claimed)):
                self._missing_since.pop(owner, None)
                return OwnerResponded(incarnation, frozenset(claimed), asked_at)
        return self._without_answer(owner)

    def _without_answer(self, owner: VmId) -> OwnerKnowledge:
        if self._is_listed(owner):
            self._missing_since.pop(owner, None)
            return OwnerUnreachable()
        now = trio.current_time()
        since = self._missing_since.setdefault(owner, now)
        if len(self._missing_since) > _REMEMBERED_MISSING:
            del self._missing_since[next(iter(self._missing_since))]
        return OwnerMissing(now - since)

    async def _answer(
        self, sender: PeerIdentity, query: HoldClaimsQuery
    ) -> result.Result[HoldClaims, results.Failure]:
        answer = self._registry.current_claims(trio.current_time())
        return result.Success(HoldClaims(answer.incarnation, tuple(sorted(answer.claimed))))
