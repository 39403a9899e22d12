"""Bounds how many connections are open. Decisions only, no I/O."""

import math
from collections.abc import Callable


class OpenConnection:
    """An accepted connection; idle at first.

    Args:
        limit: The limit that it counts against.
        close: Closes the connection; called at most once.

    """

    def __init__(self, limit: "ConnectionLimit", close: Callable[[], None]) -> None:
        self._limit = limit
        self.close = close

    def set_idle(self) -> None:
        """Records that no request has begun."""
        self._limit.set_idle(self)

    def set_receiving(self) -> None:
        """Records that a part of a request has arrived."""
        self._limit.set_receiving(self)

    def set_busy(self) -> None:
        """Records that a request is in progress, so that the connection does not give way."""
        self._limit.set_busy(self)

    def remove(self) -> None:
        """Records that the connection has been closed."""
        self._limit.remove(self)


class ConnectionLimit:
    """Closes connections when too many are open: those that wait longest for a complete request.

    Args:
        limit: Maximum sum of the weights of open connections.
        busy_weight: Weight of a connection with a request in progress; that of others is 1.

    """

    def __init__(self, limit: float = math.inf, busy_weight: int = 1) -> None:
        self._limit = limit
        self._busy_weight = busy_weight
        #: Connections without a complete request, in the order in which they became idle or their
        #: request began, and whether it has begun.
        self._waiting: dict[OpenConnection, bool] = {}
        self._busy: set[OpenConnection] = set()
        #: Number of connections that gave way.
        self.closed_count = 0

    @property
    def idle_count(self) -> int:
        """Number of connections without a request."""
        return len(self._waiting) - self.receiving_count

    @property
    def receiving_count(self) -> int:
        """Number of connections whose request has not arrived completely."""
        return sum(self._waiting.values())

    def add(self, close: Callable[[], None]) -> OpenConnection:
        """Counts a connection; closes another one, or this one if all others are busy."""
        connection = OpenConnection(self, close)
        self._waiting[connection] = False
        self._make_room()
        return connection

    def set_idle(self, connection: OpenConnection) -> None:
        """See :meth:`OpenConnection.set_idle`."""
        if self.remove(connection):
            self._waiting[connection] = False

    def set_receiving(self, connection: OpenConnection) -> None:
        """See :meth:`OpenConnection.set_receiving`."""
        if self.remove(connection):
            self._waiting[connection] = True

    def set_busy(self, connection: OpenConnection) -> None:
        """See :meth:`OpenConnection.set_busy`."""
        if self.remove(connection):
            self._busy.add(connection)
            self._make_room()

    def remove(self, connection: OpenConnection) -> bool:
        """Forgets a connection; returns whether it counted, and so was not told to close."""
        if connection in self._busy:
            self._busy.remove(connection)
            return True
        return self._waiting.pop(connection, None) is not None

    def _make_room(self) -> None:
        while self._waiting and self._weight > self._limit:
            longest = next(iter(self._waiting))
            self.remove(longest)
            self.closed_count += 1
            longest.close()

    @property
    def _weight(self) -> int:
        return len(self._waiting) + len(self._busy) * self._busy_weight
