"""Keepalive of connections: detects a peer that stopped responding without closing."""

from dataclasses import dataclass
from typing import Optional, Union

#: Seconds after which a ping is sent if nothing was received since a frame was sent.
PING_AFTER_SECONDS = 1.0

#: Seconds after which the connection times out if nothing was received since a frame was sent.
KEEPALIVE_TIMEOUT_SECONDS = 2.5

#: Seconds between two pings on a connection without other traffic.
IDLE_PING_INTERVAL_SECONDS = 5.0

#: Seconds without a received frame after which the accepting side, which sends no pings, closes
#: the connection.
ACCEPTED_IDLE_TIMEOUT_SECONDS = 3 * IDLE_PING_INTERVAL_SECONDS


@dataclass(frozen=True)
class SendPing:
    """The caller has to send a ping now."""


@dataclass(frozen=True)
class ConnectionTimedOut:
    """The connection timed out and has to be replaced by a new one."""

    #: Seconds since the last frame was received.
    idle_seconds: float


@dataclass(frozen=True)
class CheckAgain:
    """The caller has nothing to do until the next check."""

    #: Time of the next check, in seconds on the caller's clock. A frame that is sent before then
    #: makes an earlier check necessary.
    at: float


#: What the caller of the keepalive monitor has to do.
KeepaliveAction = Union[SendPing, ConnectionTimedOut, CheckAgain]


class KeepaliveMonitor:
    """Decides, for the side that opened a connection, when to ping and when to close it.

    Any received frame restarts both timers, so the connection to a slow peer that still responds
    never times out. A peer that stops responding is detected ``KEEPALIVE_TIMEOUT_SECONDS`` after
    the first frame that it did not respond to.

    Times are seconds on the caller's monotonic clock.
    """

    def __init__(self, now: float) -> None:
        self._last_received = now
        self._no_response_since: Optional[float] = None
        self._pinged = False

    def on_sent(self, now: float) -> None:
        """Records that a frame was queued for sending."""
        if self._no_response_since is None:
            self._no_response_since = now

    def on_received(self, now: float, awaiting_responses: bool) -> None:
        """Records a received frame.

        ``awaiting_responses`` is true if requests of this side still have no response.
        """
        self._last_received = now
        self._no_response_since = now if awaiting_responses else None
        self._pinged = False

    def next_action(self, now: float) -> KeepaliveAction:
        """Returns what to do now.

        After ``SendPing`` the caller must send a ping and record it with :meth:`on_sent`.
        """
        if self._no_response_since is None:
            return self._check_idle(now)
        timeout_at = self._no_response_since + KEEPALIVE_TIMEOUT_SECONDS
        if now >= timeout_at:
            return ConnectionTimedOut(now - self._last_received)
        if self._pinged:
            return CheckAgain(timeout_at)
        return self._ping_or_wait(self._no_response_since + PING_AFTER_SECONDS, now)

    def _check_idle(self, now: float) -> KeepaliveAction:
        return self._ping_or_wait(self._last_received + IDLE_PING_INTERVAL_SECONDS, now)

    def _ping_or_wait(self, ping_at: float, now: float) -> KeepaliveAction:
        if now < ping_at:
            return CheckAgain(ping_at)
        self._pinged = True
        return SendPing()
