"""What backend servers announce in their responses about further requests.

A server that leaves says so in its responses, possibly before its directory entry shows it, and the
directory may list it as ready again when the store is restored from an older copy. A server that
rejects a request may state for how long it wants no other request from this VM. The notices are
kept apart from the directory, and each holds for one start of the server.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.relay.model import BackendServer, Seconds, ServerState

#: Seconds for which a notice is kept after the directory has stopped to list the server. A store
#: that is restored from an older copy lists servers again that were removed some seconds before.
UNLISTED_RETENTION = 60.0


@dataclass(frozen=True)
class ServerStart:
    """One start of a backend server; a server that restarts under its id is another one."""

    server_id: str
    #: Start time in milliseconds since the epoch.
    started_ms: int


@dataclass(frozen=True)
class ServerPause:
    """The time for which a server wants no requests from one VM."""

    start: ServerStart
    #: Remaining seconds.
    seconds: Seconds


def start_of(server: BackendServer) -> ServerStart:
    """Returns the start of a server that a directory entry describes."""
    return ServerStart(server.id, server.started_ms)


def unlisted_since(
    start: ServerStart, listed: Mapping[str, BackendServer], former: Optional[float], now: float
) -> Optional[float]:
    """Returns since when the directory has not listed a start of a server; ``None`` if it does.

    Args:
        start: The start of the server.
        listed: The listed servers, by id. One that started later replaces the others.
        former: What this function returned before.
        now: The current time.

    """
    server = listed.get(start.server_id)
    if server is not None and server.started_ms <= start.started_ms:
        return None
    return now if former is None else former


def is_obsolete(since: Optional[float], now: float) -> bool:
    """Returns whether what a server announced may be forgotten, by :func:`unlisted_since`."""
    return since is not None and now - since >= UNLISTED_RETENTION


@dataclass
class _Notice:
    """The notices of the latest start of a server that gave any."""

    started_ms: int
    leaving: bool = False
    #: Service of the server; known if it paused.
    service: str = ""
    paused_until: float = float("-inf")
    #: Time since which the directory has not listed the server; ``None`` while it does.
    unlisted_since: Optional[float] = None


class ServerNotices:
    """The notices of backend servers; all times are seconds of one monotonic clock.

    Starts of a server before the latest one that gave a notice must have ended, and so get no
    requests either.
    """

    def __init__(self) -> None:
        self._notices: dict[str, _Notice] = {}

    @property
    def leaving(self) -> tuple[ServerStart, ...]:
        """The servers that announced that they leave."""
        return tuple(
            ServerStart(server_id, notice.started_ms)
            for server_id, notice in self._notices.items()
            if notice.leaving
        )

    def record_leaving(self, start: ServerStart) -> bool:
        """Records that a server leaves; returns whether that was not known."""
        notice = self._notice_to_update(start)
        if notice is None or notice.leaving:
            return False
        notice.leaving = True
        return True

    def record_pause(self, server: BackendServer, until: float) -> bool:
        """Records that a server wants no requests; returns whether the pause became longer.

        Args:
            server: The server.
            until: End of the pause.

        """
        notice = self._notice_to_update(start_of(server))
        if notice is None or until <= notice.paused_until:
            return False
        notice.paused_until, notice.service = until, server.service
        return True

    def is_leaving(self, server: BackendServer) -> bool:
        """Returns whether a server announced that it leaves, or has been replaced by a restart."""
        notice = self._notices.get(server.id)
        if notice is None or server.started_ms > notice.started_ms:
            return False
        return notice.leaving or server.started_ms < notice.started_ms

    def pause_left(self, server: BackendServer, now: float) -> float:
        """Returns the seconds for which a server wants no requests; 0 if it does not pause."""
        notice = self._notices.get(server.id)
        if notice is None or server.started_ms > notice.started_ms:
            return 0.0
        return max(0.0, notice.paused_until - now)

    def pauses_of(self, service: str, now: float) -> tuple[ServerPause, ...]:
        """Returns the present pauses of a service's servers."""
        return tuple(
            ServerPause(ServerStart(server_id, notice.started_ms), notice.paused_until - now)
            for server_id, notice in self._notices.items()
            if notice.service == service and notice.paused_until > now
        )

    def accepts_requests(self, server: BackendServer, now: float) -> bool:
        """Returns whether a server neither leaves nor pauses."""
        return not self.is_leaving(server) and self.pause_left(server, now) == 0.0

    def apply_to(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Returns directory entries in which the servers that announced it are draining."""
        return [
            replace(server, state=ServerState.LEAVING) if self.is_leaving(server) else server
            for server in servers
        ]

    def forget_unlisted(self, listed: Mapping[str, BackendServer], now: float) -> None:
        """Drops ended pauses, and the notices of servers that were not listed for some time."""
        for server_id, notice in list(self._notices.items()):
            start = ServerStart(server_id, notice.started_ms)
            notice.unlisted_since = unlisted_since(start, listed, notice.unlisted_since, now)
            has_ended = not notice.leaving and notice.paused_until <= now
            if has_ended or is_obsolete(notice.unlisted_since, now):
                del self._notices[server_id]

    def _notice_to_update(self, start: ServerStart) -> Optional[_Notice]:
        """Returns the notice of a server; ``None`` if a later start has given one."""
        notice = self._notices.get(start.server_id)
        if notice is None or notice.started_ms < start.started_ms:
            notice = self._notices[start.server_id] = _Notice(start.started_ms)
        if notice.started_ms > start.started_ms:
            return None
        notice.unlisted_since = None
        return notice
