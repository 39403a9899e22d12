"""Chooses among the servers of a plain service."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager
from typing import Optional

from camphordrift.identifiers import BackendServerId


class ServerChoice:
    """Chooses the server with the fewest calls of this VM under way, ties at random.

    ``address_of`` returns a server's base URL, and ``takes_work`` tells whether the server may get
    new work: whether it is live, not leaving, and not cut off by a circuit breaker.
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
        self._calls: Counter[BackendServerId] = Counter()

    def address_of(self, server: BackendServerId) -> Optional[str]:
        """Returns the server's base URL, or ``None`` if it is not known."""
        return self._address_of(server)

    def choose(
        self, servers: Sequence[BackendServerId], avoided: Collection[BackendServerId]
    ) -> Optional[BackendServerId]:
        """Returns the server to call, or ``None`` if none takes work."""
        candidates = [
            server for server in servers if server not in avoided and self._takes_work(server)
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda server: (self._calls[server], self._rng.random()))

    @contextmanager
    def counting(self, server: BackendServerId) -> Iterator[None]:
        """Counts a call as under way inside the context."""
        self._calls[server] += 1
        try:
            yield
        finally:
            self._calls[server] -= 1
