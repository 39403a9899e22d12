"""Queries the owners of holds, over the peer connections, for the holds that they claim."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Optional, Protocol

import trio
from returns import result

from camphordrift import results
from camphordrift.engine_memory._owners import (
    OwnerMissing,
    OwnerResponded,
    OwnerStatus,
    OwnerUnreachable,
)
from camphordrift.engine_memory._registry import HoldRegistry
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.identifiers import HoldId, Incarnation, VmId
from camphordrift.peers import PeerIdentity, RequestHandler

#: Maximum number of missing VMs whose missing time is tracked. The oldest entry is evicted first;
#: if that VM is still missing, its time starts from zero again.
_MAX_MISSING_OWNERS = 4096


@dataclass(frozen=True)
class HoldClaimsQuery:
    """Requests all holds that a VM claims."""

    #: Id of the requesting VM; only for people who inspect the traffic.
    asked_by: VmId


@dataclass(frozen=True)
class HoldClaims:
    """Response to :class:`HoldClaimsQuery`."""

    #: The incarnation of the responding process.
    incarnation: Incarnation

    #: Ids of all holds that the VM claims, including those that it is about to place.
    claimed: tuple[HoldId, ...]


class PeerRequests(Protocol):
    """The part of :class:`camphordrift.peers.PeerNetwork` that the inquiry uses."""

    def declare(self, message_type: type, name: Optional[str] = None, version: int = 1) -> None:
        """Registers a message type under its name and version on the wire."""
        ...

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Registers ``handler`` for requests of a message type."""
        ...

    async def request(
        self, vm_id: VmId, message: object, timeout_seconds: float
    ) -> result.Result[Any, results.Failure]:
        """Sends a request to a VM and returns its response."""
        ...


class OwnerInquiry:
    """Queries other VMs for their claimed holds, and responds to such queries from the registry.

    ``is_listed`` returns whether a VM is on the platform's list or any live VM receives messages
    from it. Pass :meth:`query_owner` to :func:`reconcile_engine_memory`.
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
        peers.register(HoldClaimsQuery, self._handle_query)

    async def query_owner(self, owner: VmId) -> OwnerStatus:
        """Queries a VM for the holds that it claims.

        A VM that does not respond is reported as unreachable if ``is_listed`` returns true for it,
        and as missing otherwise.
        """
        asked_at = trio.current_time()
        if owner == self._own_vm:
            return self._registry.current_claims(asked_at)
        query = HoldClaimsQuery(self._own_vm)
        response = await self._peers.request(owner, query, self._settings.request_timeout_seconds)
        match response:
            case result.Success(HoldClaims(incarnation=incarnation, claimed=claimed)):
                self._missing_since.pop(owner, None)
                return OwnerResponded(incarnation, frozenset(claimed), asked_at)
        return self._status_without_response(owner)

    def _status_without_response(self, owner: VmId) -> OwnerStatus:
        if self._is_listed(owner):
            self._missing_since.pop(owner, None)
            return OwnerUnreachable()
        now = trio.current_time()
        since = self._missing_since.setdefault(owner, now)
        if len(self._missing_since) > _MAX_MISSING_OWNERS:
            del self._missing_since[next(iter(self._missing_since))]
        return OwnerMissing(now - since)

    async def _handle_query(
        self, sender: PeerIdentity, query: HoldClaimsQuery
    ) -> result.Result[HoldClaims, results.Failure]:
        claims = self._registry.current_claims(trio.current_time())
        return result.Success(HoldClaims(claims.incarnation, tuple(sorted(claims.claimed))))
