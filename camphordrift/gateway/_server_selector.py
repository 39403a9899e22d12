"""Selects the backend server for each call to a plain service."""

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

#: Retry-After in seconds for a call that failed because no server accepts calls.
NO_SERVER_RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True)
class SelectedServer:
    """The server selected for one call."""

    #: Id of the server.
    server_id: BackendServerId

    #: Permission of the server's circuit breaker to send this call.
    permit: Permit


class CallTracker:
    """Stores the result of one call until it is reported to the server's circuit breaker."""

    def __init__(self) -> None:
        self._result = AttemptResult.NEUTRAL

    @property
    def attempt_result(self) -> AttemptResult:
        """The result of the call; ``NEUTRAL`` until :meth:`record` is called."""
        return self._result

    def record(self, response: HttpResponse | AttemptError) -> None:
        """Records the response or the error of the call."""
        if isinstance(response, HttpResponse):
            self._result = AttemptResult.SUCCEEDED
        else:
            self._result = classify(response).attempt_result


class ServerSelector:
    """Selects the server with the fewest calls in flight from this VM; ties are broken at random.

    ``address_of`` returns a server's base URL. ``accepts_work`` returns whether a server may get
    new calls; a draining server may not. Each server has a circuit breaker, which stops calls to a
    server that fails too often.
    """

    def __init__(
        self,
        address_of: Callable[[BackendServerId], Optional[str]],
        accepts_work: Callable[[BackendServerId], bool],
        rng: random.Random,
    ) -> None:
        self._address_of = address_of
        self._accepts_work = accepts_work
        self._rng = rng
        self._breakers = CircuitBreakers(CircuitBreakerSettings(), rng)
        self._calls: Counter[BackendServerId] = Counter()

    @property
    def breakers(self) -> CircuitBreakers:
        """The circuit breakers, for the state dump."""
        return self._breakers

    def address_of(self, server: BackendServerId) -> Optional[str]:
        """Returns the server's base URL, or ``None`` if none is configured."""
        return self._address_of(server)

    def select(
        self, servers: Sequence[BackendServerId], avoided: Collection[BackendServerId], now: float
    ) -> result.Result[SelectedServer, Failure]:
        """Returns the server for a call; pass it to :meth:`track_call` while the call runs.

        A server in ``avoided`` is selected only if no other server can be. Returns a failure if no
        server accepts work, or if the circuit breakers of all servers that do are open.
        """
        available = [server for server in servers if self._accepts_work(server)]
        if not available:
            detail = "no permitted backend server accepts calls"
            return result.Failure(
                Failure(ResultCode.NO_ENGINE_AVAILABLE, detail, NO_SERVER_RETRY_AFTER_SECONDS)
            )
        ordered = sorted(
            available,
            key=lambda server: (server in avoided, self._calls[server], self._rng.random()),
        )
        for server in ordered:
            if self._breakers.breaker_of(server).admits(now):
                return self._acquire(server, now)
        detail = "the circuits of all permitted backend servers are open after repeated failures"
        return result.Failure(
            Failure(ResultCode.CIRCUIT_OPEN, detail, NO_SERVER_RETRY_AFTER_SECONDS)
        )

    def _acquire(
        self, server: BackendServerId, now: float
    ) -> result.Result[SelectedServer, Failure]:
        acquired = self._breakers.breaker_of(server).try_acquire(now)
        return acquired.map(lambda permit: SelectedServer(server, permit))

    @contextmanager
    def track_call(self, selected: SelectedServer) -> Iterator[CallTracker]:
        """Counts a call as in flight inside the context, then reports its result to the breaker."""
        tracker = CallTracker()
        self._calls[selected.server_id] += 1
        try:
            yield tracker
        finally:
            self._calls[selected.server_id] -= 1
            breaker = self._breakers.breaker_of(selected.server_id)
            breaker.on_result(selected.permit, tracker.attempt_result, trio.current_time())
