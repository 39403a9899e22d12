"""The outgoing link to one peer: its address, connection, dial backoff and queued notices."""

from collections import deque
from typing import Any, Optional

import trio

from camphordrift.peers._connection import PeerConnection
from camphordrift.peers._registry import WireMessage

#: Seconds of backoff after the first failed dial; they double with each further failure.
INITIAL_REDIAL_DELAY_SECONDS = 0.1

#: Maximum seconds of backoff after a failed dial.
MAXIMUM_REDIAL_DELAY_SECONDS = 1.0

#: Maximum number of notices queued while there is no connection; the oldest are dropped first.
MAXIMUM_QUEUED_NOTICES = 64


class PeerLink:
    """State of the outgoing link to one peer. A failed connection is never reused."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.connection: Optional[PeerConnection] = None
        self.dial_finished: Optional[trio.Event] = None
        self._queued_notices: deque[WireMessage] = deque()
        self._failed_dials = 0
        self._redial_at = 0.0

    @property
    def open_connection(self) -> Optional[PeerConnection]:
        """The current connection, or ``None`` if there is none or it has failed."""
        if self.connection is not None and self.connection.is_open:
            return self.connection
        return None

    def may_dial(self, now: float) -> bool:
        """Returns whether the backoff after the last failed dial has passed."""
        return now >= self._redial_at

    def on_dial_failed(self, now: float) -> None:
        """Records a failed dial and increases the backoff."""
        delay = INITIAL_REDIAL_DELAY_SECONDS * 2 ** min(self._failed_dials, 10)
        self._failed_dials += 1
        self._redial_at = now + min(delay, MAXIMUM_REDIAL_DELAY_SECONDS)

    def on_connected(self, connection: PeerConnection) -> None:
        """Sets a new connection, resets the backoff and sends the queued notices."""
        self._failed_dials = 0
        self._redial_at = 0.0
        self.connection = connection
        while self._queued_notices:
            connection.notify(self._queued_notices.popleft())

    def queue_notice(self, message: WireMessage) -> int:
        """Queues a notice until there is a connection; returns the number dropped, 0 or 1."""
        self._queued_notices.append(message)
        if len(self._queued_notices) <= MAXIMUM_QUEUED_NOTICES:
            return 0
        self._queued_notices.popleft()
        return 1

    def drop_queued_notices(self) -> int:
        """Drops all queued notices and returns their number."""
        dropped = len(self._queued_notices)
        self._queued_notices.clear()
        return dropped

    def dump_state(self) -> dict[str, Any]:
        """Returns the link's state for the operators' state dump."""
        connection = self.open_connection
        return {
            "address": f"{self.address[0]}:{self.address[1]}",
            "failed_dials": self._failed_dials,
            "waiting_notices": len(self._queued_notices),
            "connection": None if connection is None else connection.dump_state(),
        }
