"""Compares engines' holds with the claims of their owners, and releases the orphaned ones."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.backend_servers import BackendError, EngineClient
from camphordrift.engine_memory._orphaned_holds import (
    EngineListing,
    HoldRelease,
    find_orphaned_holds,
)
from camphordrift.engine_memory._owners import OwnerStatus
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.identifiers import BackendServerId, VmId

#: Maximum number of engines that one VM checks concurrently.
_MAX_CONCURRENT_ENGINES = 16

#: Queries a VM for the holds that it claims, and returns the claims or why there is no response. It
#: must send a new query on each call, not return a cached result, and finish within the request
#: timeout.
QueryOwner = Callable[[VmId], Awaitable[OwnerStatus]]


@dataclass(frozen=True)
class ReconcileReport:
    """The results of one reconciliation round of one VM."""

    #: Number of engines that listed their holds.
    engines_listed: int

    #: Number of holds that these engines listed.
    holds_listed: int

    #: Orphaned holds that were released, with the reasons.
    released: tuple[HoldRelease, ...]

    #: Engines that could not be queried, or that did not confirm a release; the next round retries.
    failed_engines: tuple[BackendServerId, ...]


class _ReconciliationRound:
    """Checks some engines once, and collects the results."""

    def __init__(
        self, client: EngineClient, query_owner: QueryOwner, settings: HoldSettings
    ) -> None:
        self._client = client
        self._query_owner = query_owner
        self._settings = settings
        self._engines_listed = 0
        self._holds_listed = 0
        self._released: list[HoldRelease] = []
        self._failed: list[BackendServerId] = []

    @property
    def report(self) -> ReconcileReport:
        """The results of the checks that have ended so far."""
        return ReconcileReport(
            self._engines_listed, self._holds_listed, tuple(self._released), tuple(self._failed)
        )

    async def check_engine(self, engine_id: BackendServerId, limit: trio.CapacityLimiter) -> None:
        """Lists an engine's holds, queries their owners, and releases the orphaned holds."""
        async with limit:
            listing = await self._list_holds(engine_id)
            if listing is None:
                self._failed.append(engine_id)
                return
            owners = await self._query_owners({hold.owner for hold in listing.holds})
            for release in find_orphaned_holds(listing, owners, self._settings):
                await self._release_hold(release)

    async def _list_holds(self, engine_id: BackendServerId) -> Optional[EngineListing]:
        try:
            with trio.fail_after(self._settings.request_timeout_seconds):
                holds = await self._client.list_holds(engine_id)
        except (BackendError, trio.TooSlowError):
            return None
        self._engines_listed += 1
        self._holds_listed += len(holds)
        return EngineListing(engine_id, holds, listed_at=trio.current_time())

    async def _query_owners(self, owners: Iterable[VmId]) -> dict[VmId, OwnerStatus]:
        statuses: dict[VmId, OwnerStatus] = {}

        async def query(owner: VmId) -> None:
            statuses[owner] = await self._query_owner(owner)

        async with trio.open_nursery() as nursery:
            for owner in owners:
                nursery.start_soon(query, owner)
        return statuses

    async def _release_hold(self, release: HoldRelease) -> None:
        try:
            with trio.fail_after(self._settings.request_timeout_seconds):
                await self._client.release_hold(release.engine_id, release.hold.hold_id)
        except (BackendError, trio.TooSlowError):
            self._failed.append(release.engine_id)
        else:
            self._released.append(release)


async def reconcile_engine_memory(
    engines: Iterable[BackendServerId],
    client: EngineClient,
    query_owner: QueryOwner,
    settings: HoldSettings,
) -> ReconcileReport:
    """Releases the orphaned holds of some engines, once.

    Call it every ``settings.interval_seconds`` on every VM, for the engines that
    :func:`engines_due` returns. It keeps no state between rounds, so if a VM fails during a round,
    the next round of another VM completes the work.
    """
    current_round = _ReconciliationRound(client, query_owner, settings)
    limit = trio.CapacityLimiter(_MAX_CONCURRENT_ENGINES)
    async with trio.open_nursery() as nursery:
        for engine_id in engines:
            nursery.start_soon(current_round.check_engine, engine_id, limit)
    return current_round.report
