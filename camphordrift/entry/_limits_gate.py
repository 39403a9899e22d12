"""Puts the limits of client accounts before the gateway's requests."""

from collections.abc import Callable

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.account_limits import AccountLimitService, Admission
from camphordrift.configuration import ConfigurationSnapshot
from camphordrift.identifiers import AccountId
from camphordrift.results import Failure

#: A request waits at most this long for room in its account's rates before it is refused, in
#: seconds. A caller that is told to come back so soon would gain nothing from the refusal.
LONGEST_WAIT_SECONDS = 0.25


class LimitsGate:
    """An admission gate around the limits of client accounts.

    Call :meth:`configure` with each new configuration. An account without configured limits is not
    limited. The first requests of an account on this VM would find only the small share that every
    VM may use unasked, so a request that would be refused for lack of a lease has one asked for.
    """

    def __init__(self, service: AccountLimitService) -> None:
        self._service = service
        self._limiter = service.limiter
        self._limited: frozenset[AccountId] = frozenset()

    def configure(self, snapshot: ConfigurationSnapshot) -> None:
        """Puts the limits of ``snapshot`` in force."""
        self._limited = frozenset(snapshot.limits)
        memory_tokens = sum(engine.memory_tokens for engine in snapshot.engines())
        self._limiter.set_limits(snapshot.limits, memory_tokens)

    async def admit(
        self, account_id: AccountId, tokens: int, is_long: bool
    ) -> result.Result[Callable[[], None], Failure]:
        """Returns what to call when the request has ended, or why it is refused."""
        if account_id not in self._limited:
            return result.Success(_nothing)
        admitted = self._try(account_id, tokens, is_long)
        if not is_successful(admitted):
            admitted = await self._try_again(account_id, tokens, is_long, admitted.failure())
        return admitted.map(self._release_of)

    async def _try_again(
        self, account_id: AccountId, tokens: int, is_long: bool, refusal: Failure
    ) -> result.Result[Admission, Failure]:
        """Waits a little for a lease, or for a rate to allow one more request."""
        give_up_at = trio.current_time() + LONGEST_WAIT_SECONDS
        if not self._limiter.has_lease(account_id, trio.current_time()):
            await self._service.request_due_leases()
            admitted = self._try(account_id, tokens, is_long)
            if is_successful(admitted):
                return admitted
            refusal = admitted.failure()
        while True:
            wait_seconds = refusal.retry_after_seconds
            if wait_seconds is None or trio.current_time() + wait_seconds > give_up_at:
                return result.Failure(refusal)
            await trio.sleep(wait_seconds)
            admitted = self._try(account_id, tokens, is_long)
            if is_successful(admitted):
                return admitted
            refusal = admitted.failure()

    def _try(
        self, account_id: AccountId, tokens: int, is_long: bool
    ) -> result.Result[Admission, Failure]:
        return self._limiter.try_admit(account_id, tokens, trio.current_time(), is_long)

    def _release_of(self, admission: Admission) -> Callable[[], None]:
        def release() -> None:
            self._limiter.release(admission, trio.current_time())

        return release


def _nothing() -> None:
    """Releases nothing."""
