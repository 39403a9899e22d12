"""Compares engines' holds with what their owners claim, and releases what is lost."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.backend_servers import BackendError, EngineClient
from camphordrift.engine_memory._owners import OwnerKnowledge
from camphordrift.engine_memory._reconciler import EngineListing, HoldRelease, find_orphaned_holds
from camphordrift.engine_memory._settings import HoldSettings
from camphordrift.identifiers import BackendServerId, VmId

#: Engines that are looked at by one VM at once.
_ENGINES_AT_ONCE = 16

#: Asks a VM, now, which holds it claims, or tells why it cannot be asked. It must not answer from
#: memory, and must return within the settings' request timeout.
AskOwner = Callable[[VmId], Awaitable[OwnerKnowledge]]


@dataclass(frozen=True)
class ReconcileReport:
    """What one round found."""

    #: Engines that listed their holds.
    engines_listed: int

    #: Holds that were listed.
    holds_listed: int

    #: Holds that were released, and why.
    released: tuple[HoldRelease, ...]

    #: Engines that could not be asked, or where a release was not confirmed; the next round does
    #: it again.
    failed_engines: tuple[BackendServerId, ...]


class _Round:
    """One round over some engines."""

    def __init__(self, client: EngineClient, ask_owner: AskOwner, settings: HoldSettings) -> None:
        self._client = client
        self._ask_owner = ask_owner
        self._settings = settings
        self._listed = 0
        self._holds = 0
        self._released: list[HoldRelease] = []
        self._failed: list[BackendServerId] = []

    @property
    def report(self) -> ReconcileReport:
        """What the round found."""
        return ReconcileReport(
            self._listed, self._holds, tuple(self._released), tuple(self._failed)
        )

    async def look_at(self, engine_id: BackendServerId, limit: trio.CapacityLimiter) -> None:
        """Lists an engine's holds, asks their owners, and releases what is lost."""
        async with limit:
            listing = await self._list(engine_id)
            if listing is None:
                self._failed.append(engine_id)
                return
            owners = await self._ask_owners({hold.owner for hold in listing.holds})
            for release in find_orphaned_holds(listing, owners, self._settings):
                await self._release(release)

    async def _list(self, engine_id: BackendServerId) -> Optional[EngineListing]:
        try:
            with trio.fail_after(self._settings.request_timeout_seconds):
                holds = await self._client.list_holds(engine_id)
        except (BackendError, trio.TooSlowError):
            return None
        self._listed += 1
        self._holds += len(holds)
        return EngineListing(engine_id, holds, listed_at=trio.current_time())

    async def _ask_owners(self, owners: Iterable[VmId]) -> dict[VmId, OwnerKnowledge]:
        known: dict[VmId, OwnerKnowledge] = {}

        async def ask(owner: VmId) -> None:
            known[owner] = await self._ask_owner(owner)

        async with trio.open_nursery() as nursery:
            for owner in owners:
                nursery.start_soon(ask, owner)
        return known

    async def _release(self, release: HoldRelease) -> None:
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
    ask_owner: AskOwner,
    settings: HoldSettings,
) -> ReconcileReport:
    """Releases the lost holds of some engines, once.

    Repeat it every ``settings.interval_seconds`` on every VM, for the engines that
    :func:`engines_due` names. It keeps nothing, so a VM that dies during a round leaves nothing
    behind, and another VM's next round does the rest.
    """
    this_round = _Round(client, ask_owner, settings)
    limit = trio.CapacityLimiter(_ENGINES_AT_ONCE)
    async with trio.open_nursery() as nursery:
        for engine_id in engines:
            nursery.start_soon(this_round.look_at, engine_id, limit)
    return this_round.report
