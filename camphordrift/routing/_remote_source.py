"""The grant source of an entry VM, with a local fallback.

It requests grants from the home VM of a pool, the VM that schedules the pool's engines. If the home
VM is unavailable, it uses the local scheduler.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import trio
from returns import result

from camphordrift.identifiers import BackendServerId, VmId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing._grant_home import GrantMessenger
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome
from camphordrift.routing._home_messages import (
    FirstTokenNote,
    PoolAsk,
    RunningGrant,
    RunningGrants,
)
from camphordrift.routing._local_source import LocalGrantSource
from camphordrift.routing._scheduler import AttemptKey

#: Seconds for which a home VM gets no request or report after a failed request to it.
HOME_RETRY_SECONDS = 3.0

#: Seconds between checks of whether the home VM of a running grant has changed.
REVIEW_INTERVAL_SECONDS = 0.5

#: Result codes of failures in which the home VM made no decision; the local scheduler then decides.
_UNDECIDED_CODES = frozenset(
    {
        ResultCode.PEER_UNREACHABLE,
        ResultCode.PEER_FRAME_REFUSED,
        ResultCode.PEER_UNAUTHENTICATED,
        ResultCode.PEER_VERSION_UNSUPPORTED,
        ResultCode.NOT_HOME_VM,
    }
)


@dataclass
class _TrackedGrant:
    pool: str
    ask: GrantAsk
    grant: Grant
    deadline: float
    decoding: bool = False
    counted_by: set[VmId] = field(default_factory=set)


class RemoteGrantSource:
    """Requests grants from the home VM of the pool.

    If the home VM is unreachable, or responds that it is not the home VM, the local scheduler
    decides, based on delayed load reports. A new home VM, or one that is reachable again, gets a
    report of the running grants.
    """

    def __init__(
        self,
        own: VmId,
        local: LocalGrantSource,
        messenger: GrantMessenger,
        pool_of: Callable[[GrantAsk], str],
        home_of: Callable[[str], VmId],
    ) -> None:
        self._own = own
        self._local = local
        self._messenger = messenger
        self._pool_of = pool_of
        self._home_of = home_of
        self._running: dict[AttemptKey, _TrackedGrant] = {}
        self._unavailable_until: dict[VmId, float] = {}
        self._fallback_count = 0

    @property
    def running_count(self) -> int:
        """Number of grants in use."""
        return len(self._running)

    @property
    def local_fallback_count(self) -> int:
        """Number of grant requests that the local scheduler decided in place of the home VM."""
        return self._fallback_count

    async def run(self) -> None:
        """Reports running grants to new home VMs until cancelled."""
        while True:
            await trio.sleep(REVIEW_INTERVAL_SECONDS)
            self._notify_new_homes()

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Waits for a grant of the home VM or, if that is unavailable, of the local scheduler."""
        pool = self._pool_of(ask)
        deadline = trio.current_time() + ask.remaining_seconds
        home = self._home_of(pool)
        if home != self._own and self._may_request(home):
            response = await self._request_from_home(home, pool, ask)
            if not _is_undecided(response):
                return self._record_grant(response, pool, ask, deadline, home)
            self._unavailable_until[home] = trio.current_time() + HOME_RETRY_SECONDS
            self._messenger.notify(home, _withdrawal(ask))
            ask = replace(ask, remaining_seconds=max(0.0, deadline - trio.current_time()))
        if home != self._own:
            self._fallback_count += 1
        response = await self._local.acquire(ask)
        return self._record_grant(response, pool, ask, deadline, self._own)

    def report_first_token(self, grant: Grant) -> None:
        """Reports a complete prefill to every scheduler that counts the grant."""
        running = self._running.get(AttemptKey(grant.request_id, grant.attempt))
        if running is None:
            return
        running.decoding = True
        for vm_id in sorted(running.counted_by):
            if vm_id == self._own:
                self._local.report_first_token(grant)
            else:
                self._messenger.notify(vm_id, FirstTokenNote(grant.request_id, grant.attempt))

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Reports the outcome to every scheduler that counts the grant."""
        running = self._running.pop(AttemptKey(grant.request_id, grant.attempt), None)
        for vm_id in sorted(running.counted_by) if running is not None else ():
            if vm_id == self._own:
                self._local.finish(grant, outcome)
            else:
                self._messenger.notify(vm_id, outcome)
        if outcome.engine_failed:
            self._local.mark_failed(grant.engine_id)

    async def _request_from_home(
        self, home: VmId, pool: str, ask: GrantAsk
    ) -> result.Result[Grant, Failure]:
        try:
            return await self._messenger.request(home, PoolAsk(pool, ask), ask.remaining_seconds)
        except trio.Cancelled:
            self._messenger.notify(home, _withdrawal(ask))
            raise

    def _record_grant(
        self,
        response: result.Result[Grant, Failure],
        pool: str,
        ask: GrantAsk,
        deadline: float,
        decided_by: VmId,
    ) -> result.Result[Grant, Failure]:
        if isinstance(response, result.Success):
            grant = response.unwrap()
            key = AttemptKey(grant.request_id, grant.attempt)
            self._running[key] = _TrackedGrant(pool, ask, grant, deadline, counted_by={decided_by})
        return response

    def _may_request(self, home: VmId) -> bool:
        return trio.current_time() >= self._unavailable_until.get(home, 0.0)

    def _notify_new_homes(self) -> None:
        by_home: dict[VmId, list[RunningGrant]] = {}
        for running in self._running.values():
            home = self._home_of(running.pool)
            if home in running.counted_by or not self._may_request(home):
                continue
            running.counted_by.add(home)
            by_home.setdefault(home, []).append(_running_grant(running))
        for home, grants in by_home.items():
            if home == self._own:
                self._local.adopt(tuple(grants))
            else:
                self._messenger.notify(home, RunningGrants(self._own, tuple(grants)))


def _is_undecided(response: result.Result[Grant, Failure]) -> bool:
    return isinstance(response, result.Failure) and response.failure().code in _UNDECIDED_CODES


def _withdrawal(ask: GrantAsk) -> GrantOutcome:
    """Returns the outcome that withdraws a grant request, whether or not it has been granted."""
    return GrantOutcome(
        ask.request_id,
        ask.attempt,
        engine_id=BackendServerId(""),
        completed=False,
        engine_failed=False,
        output_tokens=0,
    )


def _running_grant(running: _TrackedGrant) -> RunningGrant:
    remaining = max(0.0, running.deadline - trio.current_time())
    return RunningGrant(
        replace(running.ask, remaining_seconds=remaining), running.grant, running.decoding
    )


def remote_grant_source(
    own: VmId,
    local: LocalGrantSource,
    messenger: GrantMessenger,
    pool_of: Callable[[GrantAsk], str],
    home_of: Callable[[str], VmId],
) -> RemoteGrantSource:
    """Returns the grant source of an entry VM; start its ``run`` in a nursery.

    Example::

        home = GrantHome(local, is_home=lambda pool: view.home_of(pool, now()) == own)
        home.register(network)
        source = remote_grant_source(own, local, network, pool_of, home_of)
    """
    return RemoteGrantSource(own, local, messenger, pool_of, home_of)
