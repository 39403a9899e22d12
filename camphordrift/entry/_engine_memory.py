"""Releases holds that no VM claims.

A hold is KV memory reserved on an engine. The VM that placed it, its owner, claims it as long as
the request needs it.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Optional

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.backend_servers import EngineClient
from camphordrift.clocks import ClockReading
from camphordrift.engine_memory import (
    EngineMemoryState,
    HoldRegistry,
    HoldSettings,
    OwnerMissing,
    OwnerResponded,
    OwnerStatus,
    OwnerUnreachable,
    ReconcileReport,
    dump_state,
    engines_due,
    reconcile_engine_memory,
)
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, VmId
from camphordrift.membership import Health, MembershipView
from camphordrift.peers import PeerIdentity, PeerNetwork
from camphordrift.results import Failure
from camphordrift.telemetry import LogLevel, Metrics, log_event

#: Seconds to wait for a VM's response with its claims; less than the timeout of an engine.
CLAIMS_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True)
class HoldClaimsAsk:
    """A request for the ids of all holds that the receiving VM claims."""


@dataclass(frozen=True)
class HoldClaimsAnswer:
    """All holds that a VM claims at the time of its response."""

    #: The incarnation of the responding process.
    incarnation: int

    #: The ids of all holds that the VM claims.
    hold_ids: tuple[str, ...]


class EngineMemoryReconciler:
    """Compares the engines' holds with the claims of their owners, in periodic rounds.

    In each round, every VM handles the engines that are assigned to it; see
    :func:`camphordrift.engine_memory.engines_due`. Run :meth:`run` in a nursery.
    """

    def __init__(
        self,
        registry: HoldRegistry,
        engines: EngineClient,
        network: PeerNetwork,
        view: MembershipView,
        engine_ids: Callable[[], tuple[BackendServerId, ...]],
        metrics: Metrics,
    ) -> None:
        self._registry = registry
        self._engines = engines
        self._network = network
        self._view = view
        self._engine_ids = engine_ids
        self._metrics = metrics
        self._settings = HoldSettings()
        self._missing_since: dict[VmId, float] = {}
        self._last_report: Optional[ReconcileReport] = None
        network.declare(HoldClaimsAnswer)
        network.register(HoldClaimsAsk, self._handle_claims_request)

    async def run(self) -> None:
        """Releases unclaimed holds in a round every ``interval_seconds``, until cancelled."""
        round_number = 0
        while True:
            await trio.sleep(self._settings.interval_seconds)
            round_number += 1
            await self._run_round(round_number)

    def dump_state(self) -> EngineMemoryState:
        """Returns the claimed holds and the results of the last round, for the state dump."""
        now = ClockReading(monotonic=trio.current_time(), wall=time.time())
        return dump_state(self._registry, self._last_report, now)

    async def _run_round(self, round_number: int) -> None:
        own = self._network.own.vm_id
        due = engines_due(self._engine_ids(), self._view.live_vms, own, round_number)
        report = await reconcile_engine_memory(
            due, self._engines, self._request_claims, self._settings
        )
        self._last_report = report
        for release in report.released:
            self._metrics.holds_released.add(reason=release.reason.value)
            log_event(
                "hold_released",
                level=LogLevel.WARNING,
                engine=release.engine_id,
                hold=release.hold.hold_id,
                owner=release.hold.owner,
                reason=release.reason,
            )

    async def _request_claims(self, owner: VmId) -> OwnerStatus:
        """Requests the current claims of a VM. Earlier responses are never used."""
        asked_at = trio.current_time()
        if owner == self._network.own.vm_id:
            return self._registry.current_claims(asked_at)
        response = await self._network.request(owner, HoldClaimsAsk(), CLAIMS_TIMEOUT_SECONDS)
        if is_successful(response):
            self._missing_since.pop(owner, None)
            claims: HoldClaimsAnswer = response.unwrap()
            claimed = frozenset(HoldId(hold_id) for hold_id in claims.hold_ids)
            return OwnerResponded(Incarnation(claims.incarnation), claimed, asked_at)
        return self._owner_without_response(owner, asked_at)

    def _owner_without_response(self, owner: VmId, now: float) -> OwnerStatus:
        record = self._view.record_of(owner)
        is_known_member = record is not None and record.health is not Health.DEAD
        if is_known_member or self._view.is_listed(owner):
            self._missing_since.pop(owner, None)
            return OwnerUnreachable()
        missing_since = self._missing_since.setdefault(owner, now)
        return OwnerMissing(now - missing_since)

    async def _handle_claims_request(
        self, peer: PeerIdentity, request: HoldClaimsAsk
    ) -> result.Result[HoldClaimsAnswer, Failure]:
        claims = self._registry.current_claims(trio.current_time())
        hold_ids = tuple(str(hold_id) for hold_id in claims.claimed)
        return result.Success(HoldClaimsAnswer(claims.incarnation, hold_ids))
