"""The grant source of an entry VM: it asks the pool's home VM, and decides alone without one."""

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

#: A home VM that could not be asked is left alone for this time, in seconds.
HOME_RETRY_SECONDS = 3.0

#: The homes of running grants are looked at this often, in seconds.
REVIEW_INTERVAL_SECONDS = 0.5

#: Codes by which a VM says that it did not decide; the asker then decides alone.
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
class _Running:
    pool: str
    ask: GrantAsk
    grant: Grant
    deadline: float
    decoding: bool = False
    counted_by: set[VmId] = field(default_factory=set)


class RemoteGrantSource:
    """Asks the home VM of the ask's pool.

    If the home VM cannot be reached, or says that it is not home, this VM decides alone with its
    own scheduler, from late load reports. A home that comes, or comes back, is told what runs.
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
        self._running: dict[AttemptKey, _Running] = {}
        self._unavailable_until: dict[VmId, float] = {}
        self._fallback_count = 0

    @property
    def running_count(self) -> int:
        """Grants in use."""
        return len(self._running)

    @property
    def local_fallback_count(self) -> int:
        """Asks that were decided without their home VM."""
        return self._fallback_count

    async def run(self) -> None:
        """Tells new homes what runs; runs until cancelled."""
        while True:
            await trio.sleep(REVIEW_INTERVAL_SECONDS)
            self._notify_new_homes()

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Waits for the decision of the home VM, or decides alone."""
        pool = self._pool_of(ask)
        deadline = trio.current_time() + ask.remaining_seconds
        home = self._home_of(pool)
        if home != self._own and self._may_ask(home):
            answer = await self._ask_home(home, pool, ask)
            if not _is_undecided(answer):
                return self._record_grant(answer, pool, ask, deadline, home)
            self._unavailable_until[home] = trio.current_time() + HOME_RETRY_SECONDS
            self._messenger.notify(home, _withdrawal(ask))
            ask = replace(ask, remaining_seconds=max(0.0, deadline - trio.current_time()))
        if home != self._own:
            self._fallback_count += 1
        answer = await self._local.acquire(ask)
        return self._record_grant(answer, pool, ask, deadline, self._own)

    def report_first_token(self, grant: Grant) -> None:
        """Tells whoever counts the grant that its prompt has been prefilled."""
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
        """Tells whoever counts the grant how it ended."""
        running = self._running.pop(AttemptKey(grant.request_id, grant.attempt), None)
        for vm_id in sorted(running.counted_by) if running is not None else ():
            if vm_id == self._own:
                self._local.finish(grant, outcome)
            else:
                self._messenger.notify(vm_id, outcome)
        if outcome.engine_failed:
            self._local.mark_failed(grant.engine_id)

    async def _ask_home(
        self, home: VmId, pool: str, ask: GrantAsk
    ) -> result.Result[Grant, Failure]:
        try:
            return await self._messenger.request(home, PoolAsk(pool, ask), ask.remaining_seconds)
        except trio.Cancelled:
            self._messenger.notify(home, _withdrawal(ask))
            raise

    def _record_grant(
        self,
        answer: result.Result[Grant, Failure],
        pool: str,
        ask: GrantAsk,
        deadline: float,
        decider: VmId,
    ) -> result.Result[Grant, Failure]:
        if isinstance(answer, result.Success):
            grant = answer.unwrap()
            key = AttemptKey(grant.request_id, grant.attempt)
            self._running[key] = _Running(pool, ask, grant, deadline, counted_by={decider})
        return answer

    def _may_ask(self, home: VmId) -> bool:
        return trio.current_time() >= self._unavailable_until.get(home, 0.0)

    def _notify_new_homes(self) -> None:
        by_home: dict[VmId, list[RunningGrant]] = {}
        for running in self._running.values():
            home = self._home_of(running.pool)
            if home in running.counted_by or not self._may_ask(home):
                continue
            running.counted_by.add(home)
            by_home.setdefault(home, []).append(_running_grant(running))
        for home, grants in by_home.items():
            if home == self._own:
                self._local.adopt(tuple(grants))
            else:
                self._messenger.notify(home, RunningGrants(self._own, tuple(grants)))


def _is_undecided(answer: result.Result[Grant, Failure]) -> bool:
    return isinstance(answer, result.Failure) and answer.failure().code in _UNDECIDED_CODES


def _withdrawal(ask: GrantAsk) -> GrantOutcome:
    """Returns the outcome that takes back an ask, granted in the meantime or not."""
    return GrantOutcome(
        ask.request_id,
        ask.attempt,
        engine_id=BackendServerId(""),
        completed=False,
        engine_failed=False,
        output_tokens=0,
    )


def _running_grant(running: _Running) -> RunningGrant:
    left = max(0.0, running.deadline - trio.current_time())
    return RunningGrant(
        replace(running.ask, remaining_seconds=left), running.grant, running.decoding
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
