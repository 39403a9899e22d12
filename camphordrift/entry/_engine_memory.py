"""Looks after the engines' memory: finds holds that nobody claims and releases them."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Optional

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.backend_servers import EngineClient
from camphordrift.clocks import TwoClocks
from camphordrift.engine_memory import (
    EngineMemoryState,
    HoldRegistry,
    HoldSettings,
    OwnerKnowledge,
    OwnerMissing,
    OwnerResponded,
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

#: Time for a VM to say what it claims, in seconds; below the time given to an engine.
ASK_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True)
class HoldClaimsAsk:
    """Asks a VM which holds it claims."""


@dataclass(frozen=True)
class HoldClaimsAnswer:
    """Every hold that a VM claims at the moment of answering."""

    #: The process that answers.
    incarnation: int

    #: The holds.
    hold_ids: tuple[str, ...]


class EngineMemoryKeeper:
    """Compares the engines' holds with what their owners claim, round after round.

    Every VM does so for the engines that fall to it; see
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
        network.register(HoldClaimsAsk, self._answer)

    async def run(self) -> None:
        """Runs one round after the other until cancelled."""
        round_number = 0
        while True:
            await trio.sleep(self._settings.interval_seconds)
            round_number += 1
            await self._run_round(round_number)

    def dump_state(self) -> EngineMemoryState:
        """Returns what a state dump shows."""
        now = TwoClocks(monotonic=trio.current_time(), wall=time.time())
        return dump_state(self._registry, self._last_report, now)

    async def _run_round(self, round_number: int) -> None:
        own = self._network.own.vm_id
        due = engines_due(self._engine_ids(), self._view.live_vms, own, round_number)
        report = await reconcile_engine_memory(due, self._engines, self._ask, self._settings)
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

    async def _ask(self, owner: VmId) -> OwnerKnowledge:
        """Asks a VM for its claims; never answers from memory."""
        asked_at = trio.current_time()
        if owner == self._network.own.vm_id:
            return self._registry.current_claims(asked_at)
        answer = await self._network.request(owner, HoldClaimsAsk(), ASK_TIMEOUT_SECONDS)
        if is_successful(answer):
            self._missing_since.pop(owner, None)
            claims: HoldClaimsAnswer = answer.unwrap()
            claimed = frozenset(HoldId(hold_id) for hold_id in claims.hold_ids)
            return OwnerResponded(Incarnation(claims.incarnation), claimed, asked_at)
        return self._without_answer(owner, asked_at)

    def _without_answer(self, owner: VmId, now: float) -> OwnerKnowledge:
        record = self._view.record_of(owner)
        heard_of = record is not None and record.health is not Health.DEAD
        if heard_of or self._view.is_listed(owner):
            self._missing_since.pop(owner, None)
            return OwnerUnreachable()
        missing_since = self._missing_since.setdefault(owner, now)
        return OwnerMissing(now - missing_since)

    async def _answer(
        self, peer: PeerIdentity, ask: HoldClaimsAsk
    ) -> result.Result[HoldClaimsAnswer, Failure]:
        answer = self._registry.current_claims(trio.current_time())
        hold_ids = tuple(str(hold_id) for hold_id in answer.claimed)
        return result.Success(HoldClaimsAnswer(answer.incarnation, hold_ids))
