"""Remembers which servers ended connections, until it is known whether they crashed."""

from collections.abc import Iterable
from dataclasses import dataclass

from camphordrift.relay.crashes._crash_analysis import RecordedCrash

#: Seconds after a connection was ended in which a new start of its server still shows that the
#: server crashed, although it has accepted a connection since.
RESTART_PERIOD = 5.0

#: Maximum number of servers, and of ended connections of each; further ones are ignored.
MAX_SUSPECTED_SERVERS, MAX_ENDED_CONNECTIONS = 256, 64


@dataclass(frozen=True)
class _EndedConnection:
    """A connection that a server ended before its response was complete."""

    #: Time in seconds.
    at: float
    #: Traits of the response's request.
    traits: tuple[str, ...]


class SuspectedCrashes:
    """The connections that servers ended, by start of the server.

    A server that ended a connection may have crashed, or it lives and gives bad responses.
    """

    def __init__(self) -> None:
        self._open: dict[str, list[_EndedConnection]] = {}
        #: Connections of servers that accepted another connection since.
        self._ruled_out: dict[str, list[_EndedConnection]] = {}

    def __contains__(self, server: str) -> bool:
        return server in self._open

    def __bool__(self) -> bool:
        return bool(self._open)

    def add(self, server: str, traits: Iterable[str], at: float) -> None:
        """Records that a server ended a connection."""
        if server not in self._open and len(self._open) >= MAX_SUSPECTED_SERVERS:
            return
        ended = self._open.setdefault(server, [])
        if len(ended) < MAX_ENDED_CONNECTIONS:
            ended.append(_EndedConnection(at, tuple(traits)))

    def rule_out(self, server: str, until: float, now: float) -> None:
        """Records that a server did not crash before the time ``until``."""
        self._forget_old(now)
        ended = self._open.pop(server, [])
        earlier = [item for item in ended if item.at <= until]
        later = [item for item in ended if item.at > until]
        if later:
            self._open[server] = later
        if earlier:
            known = self._ruled_out.get(server, [])
            self._ruled_out[server] = [*known, *earlier][-MAX_ENDED_CONNECTIONS:]

    def crashes(self, vm: str = "") -> dict[str, RecordedCrash]:
        """Returns what the crashes of all suspected servers would be."""
        return {server: _crash_of(ended, vm) for server, ended in self._open.items()}

    def take(self, server: str, restarted: bool, vm: str, now: float) -> list[RecordedCrash]:
        """Removes and returns the crash of a server, if it is suspected of one.

        Args:
            server: Id and start time of the server.
            restarted: Whether another start of the server is known. If not, connections that it
                ended before it accepted another one had a different cause.
            vm: Id of this VM.
            now: The current time.

        """
        self._forget_old(now)
        ended = self._open.pop(server, [])
        ruled_out = self._ruled_out.pop(server, [])
        if restarted and not ended:
            ended = ruled_out
        return [_crash_of(ended, vm)] if ended else []

    def _forget_old(self, now: float) -> None:
        for server, ended in list(self._ruled_out.items()):
            kept = [item for item in ended if item.at > now - RESTART_PERIOD]
            if kept:
                self._ruled_out[server] = kept
            else:
                del self._ruled_out[server]


def _crash_of(ended: list[_EndedConnection], vm: str) -> RecordedCrash:
    traits = {trait for item in ended for trait in item.traits}
    return RecordedCrash(min(item.at for item in ended), traits, vm)
