"""Puts the limits of client accounts before the gateway's requests."""

from collections.abc import Callable

import trio
from returns import result

from camphordrift.account_limits import AccountLimiter, Admission
from camphordrift.configuration import ConfigurationSnapshot
from camphordrift.identifiers import AccountId
from camphordrift.results import Failure


class LimitsGate:
    """An admission gate around an account limiter.

    Call :meth:`configure` with each new configuration. An account without configured limits is not
    limited.
    """

    def __init__(self, limiter: AccountLimiter) -> None:
        self._limiter = limiter
        self._limited: frozenset[AccountId] = frozenset()

    def configure(self, snapshot: ConfigurationSnapshot) -> None:
        """Puts the limits of ``snapshot`` in force."""
        self._limited = frozenset(snapshot.limits)
        memory_tokens = sum(engine.memory_tokens for engine in snapshot.engines())
        self._limiter.set_limits(snapshot.limits, memory_tokens)

    def try_admit(
        self, account_id: AccountId, tokens: int, is_long: bool
    ) -> result.Result[Callable[[], None], Failure]:
        """Returns what to call when the request has ended, or why it is refused."""
        if account_id not in self._limited:
            return result.Success(_nothing)
        admitted = self._limiter.try_admit(account_id, tokens, trio.current_time(), is_long)
        return admitted.map(self._release_of)

    def _release_of(self, admission: Admission) -> Callable[[], None]:
        def release() -> None:
            self._limiter.release(admission, trio.current_time())

        return release


def _nothing() -> None:
    """Releases nothing."""
