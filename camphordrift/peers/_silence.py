"""Finds a connection that has gone silent without closing."""

from dataclasses import dataclass
from typing import Optional, Union

#: A ping is sent if a frame has not been followed by any sign of life for this long.
PING_AFTER_SECONDS = 1.0

#: A connection on which something was sent is silent if nothing came back for this long.
SILENT_AFTER_SECONDS = 2.5

#: A connection without traffic is pinged this often.
IDLE_PING_SECONDS = 5.0

#: The accepting side, which never pings, gives up after this long without a frame.
ACCEPTED_SILENT_AFTER_SECONDS = 3 * IDLE_PING_SECONDS


@dataclass(frozen=True)
class SendPing:
    """A sign of life has to be asked for now."""


@dataclass(frozen=True)
class ConnectionSilent:
    """The connection is dead and has to be replaced by a new one."""

    #: Time since the last frame from the other end.
    silent_seconds: float


@dataclass(frozen=True)
class CheckAgain:
    """Nothing to do yet."""

    #: When to look again, on the caller's clock, unless a frame is sent earlier.
    at: float


SilenceVerdict = Union[SendPing, ConnectionSilent, CheckAgain]


class SilenceDetector:
    """Decides, for the side that opened a connection, when to ping and when to give up.

    An answer restarts both times, so a slow but living peer is never given up, and a peer that is
    silent is found ``SILENT_AFTER_SECONDS`` after the first frame that it left unanswered.
    """

    def __init__(self, now: float) -> None:
        self._last_received = now
        self._unanswered_since: Optional[float] = None
        self._pinged = False

    def on_sent(self, now: float) -> None:
        """Notes that a frame was handed to the connection."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def on_received(self, now: float, expecting: bool) -> None:
        """Notes that a frame has arrived; ``expecting`` tells whether answers are still due."""
        self._last_received = now
        self._unanswered_since = now if expecting else None
        self._pinged = False

    def check(self, now: float) -> SilenceVerdict:
        """Returns what to do now. After ``SendPing`` the caller sends one and notes it as sent."""
        if self._unanswered_since is None:
            return self._check_idle(now)
        silent_at = self._unanswered_since + SILENT_AFTER_SECONDS
        if now >= silent_at:
            return ConnectionSilent(now - self._last_received)
        if self._pinged:
            return CheckAgain(silent_at)
        return self._ping_or_wait(self._unanswered_since + PING_AFTER_SECONDS, now)

    def _check_idle(self, now: float) -> SilenceVerdict:
        return self._ping_or_wait(self._last_received + IDLE_PING_SECONDS, now)

    def _ping_or_wait(self, ping_at: float, now: float) -> SilenceVerdict:
        if now < ping_at:
            return CheckAgain(ping_at)
        self._pinged = True
        return SendPing()
