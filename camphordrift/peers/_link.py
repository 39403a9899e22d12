"""The way to one peer: its address, its connection, and how often it is dialled."""

from collections import deque
from typing import Any, Optional

import trio

from camphordrift.peers._connection import PeerConnection
from camphordrift.peers._registry import WireMessage

#: Waiting time after the first failed dial, in seconds; it doubles from failure to failure.
FIRST_REDIAL_SECONDS = 0.1

#: Longest waiting time between dials, in seconds.
LONGEST_REDIAL_SECONDS = 1.0

#: Notices that wait for a connection; the oldest are dropped first.
MAXIMUM_WAITING_NOTICES = 64


class PeerLink:
    """What is known of the way to one peer. A failed connection is never used again."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.connection: Optional[PeerConnection] = None
        self.dialled: Optional[trio.Event] = None
        self._waiting_notices: deque[WireMessage] = deque()
        self._failed_dials = 0
        self._redial_at = 0.0

    @property
    def open_connection(self) -> Optional[PeerConnection]:
        """The connection, if there is one that works."""
        if self.connection is not None and self.connection.is_open:
            return self.connection
        return None

    def may_dial(self, now: float) -> bool:
        """Tells whether enough time has passed since the last failed dial."""
        return now >= self._redial_at

    def on_dial_failed(self, now: float) -> None:
        """Notes a failed dial."""
        delay = FIRST_REDIAL_SECONDS * 2 ** min(self._failed_dials, 10)
        self._failed_dials += 1
        self._redial_at = now + min(delay, LONGEST_REDIAL_SECONDS)

    def on_connected(self, connection: PeerConnection) -> None:
        """Notes a new connection and sends the notices that waited for it."""
        self._failed_dials = 0
        self._redial_at = 0.0
        self.connection = connection
        while self._waiting_notices:
            connection.notify(self._waiting_notices.popleft())

    def hold_notice(self, message: WireMessage) -> int:
        """Keeps a notice until there is a connection; returns how many were dropped for it."""
        self._waiting_notices.append(message)
        if len(self._waiting_notices) <= MAXIMUM_WAITING_NOTICES:
            return 0
        self._waiting_notices.popleft()
        return 1

    def drop_notices(self) -> int:
        """Forgets the notices that wait; returns how many they were."""
        dropped = len(self._waiting_notices)
        self._waiting_notices.clear()
        return dropped

    def dump_state(self) -> dict[str, Any]:
        """Returns what an operator wants to see."""
        connection = self.open_connection
        return {
            "address": f"{self.address[0]}:{self.address[1]}",
            "failed_dials": self._failed_dials,
            "waiting_notices": len(self._waiting_notices),
            "connection": None if connection is None else connection.dump_state(),
        }
