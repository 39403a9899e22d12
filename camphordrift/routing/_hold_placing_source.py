"""Places the memory holds of grants that span several engines.

A hold reserves KV memory on one engine for a part of a prompt. The holds of a grant are placed all
or none. A claim is this VM's local record that it wants to keep a hold; a hold that no VM claims is
orphaned and gets released.
"""

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

#: Seconds after which an engine drops a hold that is not renewed.
HOLD_EXPIRY_SECONDS = 15.0

#: Seconds between renewals of a hold.
RENEW_INTERVAL_SECONDS = 4.0

#: Timeout in seconds of a call that places, renews or releases a hold.
CALL_TIMEOUT_SECONDS = 2.0

#: Seconds before a refused placement or a failed release is retried.
RETRY_DELAY_SECONDS = 0.5


class HoldClaims(Protocol):
    """Records which holds this VM claims, so that holds without a claim can be found and released.

    :class:`camphordrift.engine_memory.HoldRegistry`, adapted to the clocks of the process,
    implements it.
    """

    def claim(self, part: KvPart, request_id: RequestId, remaining_seconds: float) -> None:
        """Records the claim of a hold before it is placed."""
        ...

    def record_confirmed(self, hold_id: HoldId, sent_at: float) -> None:
        """Records that the engine confirmed a placement or renewal sent at ``sent_at``."""
        ...

    def drop_claim(self, hold_id: HoldId) -> None:
        """Removes the claim of a hold."""
        ...


class NullHoldClaims:
    """Records no claims, for deployments in which nothing searches for orphaned holds."""

    def claim(self, part: KvPart, request_id: RequestId, remaining_seconds: float) -> None:
        """Ignores the claim."""

    def record_confirmed(self, hold_id: HoldId, sent_at: float) -> None:
        """Ignores the confirmation."""

    def drop_claim(self, hold_id: HoldId) -> None:
        """Ignores the end of the claim."""


class HoldPlacingGrantSource:
    """Wraps a grant source and places the memory holds of its grants.

    The holds of a grant are placed in the order of engine ids, so two placements cannot deadlock.
    If an engine refuses a hold, all holds of the grant are released before a new grant is
    requested. All holds are released when the grant is finished, whatever the outcome, and expire
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
        """Number of grants whose holds are being renewed."""
        return len(self._renewals)

    async def run(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Runs the tasks that renew and release holds until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Returns a grant whose holds are placed, or a failure at the deadline at the latest."""
        deadline = trio.current_time() + ask.remaining_seconds
        while True:
            remaining = deadline - trio.current_time()
            if remaining <= 0.0:
                return result.Failure(_memory_failure())
            response = await self._inner.acquire(replace(ask, remaining_seconds=remaining))
            if not isinstance(response, result.Success):
                return response
            grant = response.unwrap()
            if not grant.parts:
                return response
            grant = self._with_unique_hold_ids(grant)
            if await self._place_all_holds(grant, ask):
                return result.Success(grant)
            self._inner.finish(grant, unused_outcome(grant))
            await trio.sleep(RETRY_DELAY_SECONDS)

    def report_first_token(self, grant: Grant) -> None:
        """Reports to the wrapped source that the prefill is complete."""
        self._inner.report_first_token(grant)

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Releases the holds and reports the outcome to the wrapped source."""
        if grant.parts:
            self._start_release(grant)
        self._inner.finish(grant, outcome)

    def _with_unique_hold_ids(self, grant: Grant) -> Grant:
        """Returns the grant with hold ids that no earlier placement has used.

        A request to place a hold of an earlier placement may still be in flight, so its id must not
        be reused.
        """
        self._placements += 1
        prefix = f"{self._owner}/{self._incarnation}/{self._placements}"
        parts = (replace(part, hold_id=HoldId(f"{prefix}/{part.hold_id}")) for part in grant.parts)
        return replace(grant, parts=tuple(parts))

    async def _place_all_holds(self, grant: Grant, ask: GrantAsk) -> bool:
        """Places all holds of a grant; releases them all if one is refused or on cancellation."""
        placed = False
        try:
            placed = await self._place_holds_in_order(grant, ask)
        except trio.Cancelled:
            self._inner.finish(grant, unused_outcome(grant))
            raise
        finally:
            if not placed:
                self._start_release(grant)
        if placed:
            self._start_renewal(grant, ask)
        return placed

    async def _place_holds_in_order(self, grant: Grant, ask: GrantAsk) -> bool:
        for part in _by_engine_id(grant):
            self._claims.claim(part, ask.request_id, ask.remaining_seconds)
        for part in _by_engine_id(grant):
            if not await self._place_hold(part, ask):
                return False
        return True

    async def _place_hold(self, part: KvPart, ask: GrantAsk) -> bool:
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
            self._nursery.start_soon(self._renew_holds, grant, ask, scope)

    async def _renew_holds(self, grant: Grant, ask: GrantAsk, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                await trio.sleep(RENEW_INTERVAL_SECONDS)
                for part in _by_engine_id(grant):
                    await self._place_hold(part, ask)

    def _start_release(self, grant: Grant) -> None:
        scope = self._renewals.pop(AttemptKey(grant.request_id, grant.attempt), None)
        if scope is not None:
            scope.cancel()
        for part in _by_engine_id(grant):
            self._claims.drop_claim(part.hold_id)
            if self._nursery is not None:
                self._nursery.start_soon(self._release_hold, part)

    async def _release_hold(self, part: KvPart) -> None:
        """Releases a hold; retries until an unreachable engine must have dropped it by itself."""
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
    detail = "the engines did not have enough free memory before the deadline"
    return Failure(ResultCode.MEMORY_NOT_AVAILABLE, detail, 5.0)


def holding_grant_source(
    inner: GrantSource,
    engines: EngineClient,
    owner: VmId,
    incarnation: Incarnation,
    claims: Optional[HoldClaims] = None,
) -> HoldPlacingGrantSource:
    """Returns a source that places the holds of large prompts; start its ``run`` in a nursery.

    Without ``claims``, no claims are recorded.
    """
    chosen_claims = claims if claims is not None else NullHoldClaims()
    return HoldPlacingGrantSource(inner, engines, owner, incarnation, chosen_claims)
