"""Places the memory holds of a grant that spans several engines, all or none."""

from dataclasses import replace
from typing import Any, Optional, Protocol

import trio
from returns import result

from camphordrift.backend_servers import (
    BackendError,
    EngineClient,
    KvPart,
    MemoryHold,
)
from camphordrift.identifiers import HoldId, Incarnation, RequestId, VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome, GrantSource
from camphordrift.routing._local_source import unused_outcome
from camphordrift.routing._placement import hold_tokens
from camphordrift.routing._scheduler import AttemptKey

#: An engine drops a hold by itself after this time without renewal, in seconds.
HOLD_EXPIRY_SECONDS = 15.0

#: Holds are renewed this often, in seconds.
RENEW_INTERVAL_SECONDS = 4.0

#: One call about a hold may take this time, in seconds.
CALL_TIMEOUT_SECONDS = 2.0

#: Delay before holds that were refused are tried again, in seconds.
RETRY_DELAY_SECONDS = 0.5


class HoldClaims(Protocol):
    """Where this VM notes which holds it wants, for whoever looks for lost ones.

    :class:`camphordrift.engine_memory.HoldRegistry` behind the process's clocks.
    """

    def claim(self, part: KvPart, request_id: RequestId, remaining_seconds: float) -> None:
        """Claims a hold that is about to be placed."""
        ...

    def record_confirmed(self, hold_id: HoldId, sent_at: float) -> None:
        """Notes that the engine confirmed a placement or renewal sent at ``sent_at``."""
        ...

    def drop(self, hold_id: HoldId) -> None:
        """Stops claiming a hold."""
        ...


class NullHoldClaims:
    """Claims kept nowhere, for runs in which nobody looks for lost holds."""

    def claim(self, part: KvPart, request_id: RequestId, remaining_seconds: float) -> None:
        """Notes nothing."""

    def record_confirmed(self, hold_id: HoldId, sent_at: float) -> None:
        """Notes nothing."""

    def drop(self, hold_id: HoldId) -> None:
        """Notes nothing."""


class HoldingGrantSource:
    """Adds holds to the grants of another source.

    The holds of a grant are placed in the order of engine ids, so two placements cannot wait for
    each other in a circle, and a refused one gives back all that was placed before it asks again.
    Every hold is released when the grant is finished, whatever the outcome, and expires by itself
    if this VM dies. Start ``run`` in a nursery.
    """

    def __init__(
        self,
        inner: GrantSource,
        engines: EngineClient,
        owner: VmId,
        incarnation: Incarnation,
        claims: HoldClaims,
    ) -> None:
        self._claims = claims
        self._placements = 0
        self._inner = inner
        self._engines = engines
        self._owner = owner
        self._incarnation = incarnation
        self._nursery: Optional[trio.Nursery] = None
        self._renewals: dict[AttemptKey, trio.CancelScope] = {}

    @property
    def held_grants(self) -> int:
        """Grants whose holds are being renewed."""
        return len(self._renewals)

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Renews and releases holds until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Returns a grant whose holds are placed, or why there is none."""
        deadline = trio.current_time() + ask.remaining_seconds
        while True:
            remaining = deadline - trio.current_time()
            if remaining <= 0.0:
                return result.Failure(_memory_failure())
            answer = await self._inner.acquire(replace(ask, remaining_seconds=remaining))
            if not isinstance(answer, result.Success):
                return answer
            grant = answer.unwrap()
            if not grant.parts:
                return answer
            grant = self._with_unique_hold_ids(grant)
            if await self._place_all(grant, ask):
                return result.Success(grant)
            self._inner.finish(grant, unused_outcome(grant))
            await trio.sleep(RETRY_DELAY_SECONDS)

    def report_first_token(self, grant: Grant) -> None:
        """Passes the note on."""
        self._inner.report_first_token(grant)

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Releases the holds and passes the outcome on."""
        if grant.parts:
            self._start_release(grant)
        self._inner.finish(grant, outcome)

    def _with_unique_hold_ids(self, grant: Grant) -> Grant:
        """Gives the holds names that no earlier placement of the attempt has had.

        A request to place one of those may still be on its way.
        """
        self._placements += 1
        prefix = f"{self._owner}/{self._incarnation}/{self._placements}"
        parts = (replace(part, hold_id=HoldId(f"{prefix}/{part.hold_id}")) for part in grant.parts)
        return replace(grant, parts=tuple(parts))

    async def _place_all(self, grant: Grant, ask: GrantAsk) -> bool:
        """Places all holds; gives them all back if one is refused or the wait is cancelled."""
        placed = False
        try:
            placed = await self._place_in_order(grant, ask)
        except trio.Cancelled:
            self._inner.finish(grant, unused_outcome(grant))
            raise
        finally:
            if not placed:
                self._start_release(grant)
        if placed:
            self._start_renewal(grant, ask)
        return placed

    async def _place_in_order(self, grant: Grant, ask: GrantAsk) -> bool:
        for part in _by_engine_id(grant):
            self._claims.claim(part, ask.request_id, ask.remaining_seconds)
        for part in _by_engine_id(grant):
            if not await self._place(part, ask):
                return False
        return True

    async def _place(self, part: KvPart, ask: GrantAsk) -> bool:
        sent_at = trio.current_time()
        with trio.move_on_after(CALL_TIMEOUT_SECONDS):
            try:
                await self._engines.place_hold(part.engine_id, self._memory_hold(part, ask))
                self._claims.record_confirmed(part.hold_id, sent_at)
                return True
            except BackendError:
                return False
        return False

    def _memory_hold(self, part: KvPart, ask: GrantAsk) -> MemoryHold:
        return MemoryHold(
            hold_id=part.hold_id,
            token_count=hold_tokens(ask, part),
            owner=self._owner,
            owner_incarnation=self._incarnation,
            request_id=ask.request_id,
            expires_in_seconds=HOLD_EXPIRY_SECONDS,
        )

    def _start_renewal(self, grant: Grant, ask: GrantAsk) -> None:
        scope = trio.CancelScope()
        self._renewals[AttemptKey(grant.request_id, grant.attempt)] = scope
        if self._nursery is not None:
            self._nursery.start_soon(self._renew, grant, ask, scope)

    async def _renew(self, grant: Grant, ask: GrantAsk, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                await trio.sleep(RENEW_INTERVAL_SECONDS)
                for part in _by_engine_id(grant):
                    await self._place(part, ask)

    def _start_release(self, grant: Grant) -> None:
        scope = self._renewals.pop(AttemptKey(grant.request_id, grant.attempt), None)
        if scope is not None:
            scope.cancel()
        for part in _by_engine_id(grant):
            self._claims.drop(part.hold_id)
            if self._nursery is not None:
                self._nursery.start_soon(self._release, part)

    async def _release(self, part: KvPart) -> None:
        """Releases a hold; an engine that does not answer drops it by itself in time."""
        retry_until = trio.current_time() + HOLD_EXPIRY_SECONDS
        while trio.current_time() < retry_until:
            with trio.move_on_after(CALL_TIMEOUT_SECONDS):
                try:
                    await self._engines.release_hold(part.engine_id, part.hold_id)
                    return
                except BackendError:
                    await trio.lowlevel.checkpoint()
            await trio.sleep(RETRY_DELAY_SECONDS)


def _by_engine_id(grant: Grant) -> list[KvPart]:
    return sorted(grant.parts, key=lambda part: part.engine_id)


def _memory_failure() -> Failure:
    detail = "the engines' memory did not come free in time"
    return Failure(ResultCode.MEMORY_NOT_AVAILABLE, detail, 5.0)


def holding_grant_source(
    inner: GrantSource,
    engines: EngineClient,
    owner: VmId,
    incarnation: Incarnation,
    claims: Optional[HoldClaims] = None,
) -> HoldingGrantSource:
    """Returns a source that places the holds of large prompts; start its ``run`` in a nursery."""
    chosen_claims = claims if claims is not None else NullHoldClaims()
    return HoldingGrantSource(inner, engines, owner, incarnation, chosen_claims)
