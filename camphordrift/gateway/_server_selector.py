"""Chooses among the servers of a plain service."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Optional

import trio
from returns import result

from camphordrift.backend_http import HttpResponse
from camphordrift.identifiers import BackendServerId
from camphordrift.results import Failure, ResultCode
from camphordrift.retries import (
    AttemptError,
    AttemptResult,
    CircuitBreakers,
    CircuitBreakerSettings,
    Permit,
    classify,
)

#: After this long a caller may ask again when no server takes calls.
NO_SERVER_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True)
class ServerLease:
    """Leave to send one call to one server."""

    #: The server.
    server_id: BackendServerId

    #: The permit of its circuit breaker.
    permit: Permit


class ServerUse:
    """Collects what one call says of its server."""

    def __init__(self) -> None:
        self._result = AttemptResult.NEUTRAL

    @property
    def attempt_result(self) -> AttemptResult:
        """What the call says; neutral until :meth:`note` is called."""
        return self._result

    def note(self, answer: HttpResponse | AttemptError) -> None:
        """Takes the call's answer or error."""
        if isinstance(answer, HttpResponse):
            self._result = AttemptResult.SUCCEEDED
        else:
            self._result = classify(answer).attempt_result


class ServerSelector:
    """Chooses the server with the fewest calls of this VM under way, ties at random.

    ``address_of`` returns a server's base URL, and ``takes_work`` tells whether the server may get
    new work: whether it is live and not leaving. Servers that fail too often are cut off by a
    circuit breaker each.
    """

    def __init__(
        self,
        address_of: Callable[[BackendServerId], Optional[str]],
        takes_work: Callable[[BackendServerId], bool],
        rng: random.Random,
    ) -> None:
        self._address_of = address_of
        self._takes_work = takes_work
        self._rng = rng
        self._breakers = CircuitBreakers(CircuitBreakerSettings(), rng)
        self._calls: Counter[BackendServerId] = Counter()

    @property
    def breakers(self) -> CircuitBreakers:
        """The circuit breakers, for the state dump."""
        return self._breakers

    def address_of(self, server: BackendServerId) -> Optional[str]:
        """Returns the server's base URL, or ``None`` if it is not known."""
        return self._address_of(server)

    def choose(
        self, servers: Sequence[BackendServerId], avoided: Collection[BackendServerId], now: float
    ) -> result.Result[ServerLease, Failure]:
        """Returns the server to call; use it with :meth:`using`.

        Servers in ``avoided`` are chosen only if no other takes work.
        """
        willing = [server for server in servers if self._takes_work(server)]
        if not willing:
            detail = "no permitted backend server takes calls"
            return result.Failure(
                Failure(ResultCode.NO_ENGINE_AVAILABLE, detail, NO_SERVER_RETRY_AFTER_SECONDS)
            )
        ordered = sorted(
            willing,
            key=lambda server: (server in avoided, self._calls[server], self._rng.random()),
        )
        for server in ordered:
            if self._breakers.breaker_of(server).admits(now):
                return self._lease(server, now)
        detail = "all permitted backend servers failed too often and are left alone"
        return result.Failure(
            Failure(ResultCode.CIRCUIT_OPEN, detail, NO_SERVER_RETRY_AFTER_SECONDS)
        )

    def _lease(self, server: BackendServerId, now: float) -> result.Result[ServerLease, Failure]:
        permit = self._breakers.breaker_of(server).try_acquire(now)
        return permit.map(lambda given: ServerLease(server, given))

    @contextmanager
    def using(self, lease: ServerLease) -> Iterator[ServerUse]:
        """Counts a call as under way inside the context, and tells the breaker how it went."""
        use = ServerUse()
        self._calls[lease.server_id] += 1
        try:
            yield use
        finally:
            self._calls[lease.server_id] -= 1
            breaker = self._breakers.breaker_of(lease.server_id)
            breaker.on_result(lease.permit, use.attempt_result, trio.current_time())
