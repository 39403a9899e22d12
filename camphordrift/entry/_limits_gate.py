"""Admits or refuses requests by the limits of their client accounts."""

from collections.abc import Callable

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.account_limits import AccountLimitService, Admission
from camphordrift.configuration import ConfigurationSnapshot
from camphordrift.identifiers import AccountId
from camphordrift.results import Failure

#: Maximum number of seconds that a request waits for its account's rate limit before it is refused.
#: If the limit would allow the request earlier, waiting here is quicker than a refusal and a retry.
MAX_WAIT_SECONDS = 0.25


class LimitsGate:
    """Admits or refuses requests by the limits of their client accounts.

    Call :meth:`configure` with each new configuration. An account without configured limits is not
    limited. A lease is the right to use a share of an account's limits. Without one, this VM may
    use only a small fallback share. If that is too small for a request, a lease is requested before
    the request is refused.
    """

    def __init__(self, service: AccountLimitService) -> None:
        self._service = service
        self._limiter = service.limiter
        self._limited_accounts: frozenset[AccountId] = frozenset()

    def configure(self, snapshot: ConfigurationSnapshot) -> None:
        """Applies the limits of ``snapshot``."""
        self._limited_accounts = frozenset(snapshot.limits)
        memory_tokens = sum(engine.memory_tokens for engine in snapshot.engines())
        self._limiter.set_limits(snapshot.limits, memory_tokens)

    async def admit(
        self, account_id: AccountId, tokens: int, is_long: bool
    ) -> result.Result[Callable[[], None], Failure]:
        """Returns the function to call when the request has ended, or why it is refused."""
        if account_id not in self._limited_accounts:
            return result.Success(_no_release)
        admitted = self._try_admit(account_id, tokens, is_long)
        if not is_successful(admitted):
            admitted = await self._retry_admit(account_id, tokens, is_long, admitted.failure())
        return admitted.map(self._release_function)

    async def _retry_admit(
        self, account_id: AccountId, tokens: int, is_long: bool, refusal: Failure
    ) -> result.Result[Admission, Failure]:
        """Retries admission after requesting a lease, or once a rate limit allows the request.

        Waits at most ``MAX_WAIT_SECONDS`` for a rate limit.
        """
        give_up_at = trio.current_time() + MAX_WAIT_SECONDS
        if not self._limiter.has_lease(account_id, trio.current_time()):
            await self._service.request_due_leases()
            admitted = self._try_admit(account_id, tokens, is_long)
            if is_successful(admitted):
                return admitted
            refusal = admitted.failure()
        while True:
            wait_seconds = refusal.retry_after_seconds
            if wait_seconds is None or trio.current_time() + wait_seconds > give_up_at:
                return result.Failure(refusal)
            await trio.sleep(wait_seconds)
            admitted = self._try_admit(account_id, tokens, is_long)
            if is_successful(admitted):
                return admitted
            refusal = admitted.failure()

    def _try_admit(
        self, account_id: AccountId, tokens: int, is_long: bool
    ) -> result.Result[Admission, Failure]:
        return self._limiter.try_admit(account_id, tokens, trio.current_time(), is_long)

    def _release_function(self, admission: Admission) -> Callable[[], None]:
        def release() -> None:
            self._limiter.release(admission, trio.current_time())

        return release


def _no_release() -> None:
    """Releases a request of an account without limits; there is nothing to release."""
