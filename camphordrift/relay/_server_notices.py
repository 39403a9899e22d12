"""What backend servers announce in their responses about further requests.

A server that leaves says so in its responses, possibly before its directory entry shows it, and the
directory may list it as ready again when the store is restored from an older copy. The notices are
therefore kept apart from the directory.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from camphordrift.relay._values import BackendServer, ServerState

#: Seconds for which a notice is kept after the directory has stopped to list the server. A store
#: that is restored from an older copy lists servers again that were removed some seconds before.
UNLISTED_RETENTION = 60.0


@dataclass(frozen=True)
class ServerStart:
    """One start of a backend server; a server that restarts under its id is another one."""

    server_id: str
    #: Start time in milliseconds since the epoch.
    started_ms: int


def start_of(server: BackendServer) -> ServerStart:
    """Returns the start of a server that a directory entry describes."""
    return ServerStart(server.id, server.started_ms)


class ServerNotices:
    """The notices of backend servers; all times are seconds of one monotonic clock.

    A notice holds for the start of the server that gave it and for earlier ones, which must have
    ended.
    """

    def __init__(self) -> None:
        #: Latest start that announced that it leaves, by server id.
        self._leaving: dict[str, int] = {}
        #: Times since which the directory has not listed the servers, by server id.
        self._unlisted_since: dict[str, float] = {}

    @property
    def leaving(self) -> tuple[ServerStart, ...]:
        """The servers that announced that they leave."""
        return tuple(ServerStart(*item) for item in self._leaving.items())

    def record_leaving(self, start: ServerStart) -> bool:
        """Records that a server leaves; returns whether that was not known."""
        self._unlisted_since.pop(start.server_id, None)
        if self._covers_leaving(start):
            return False
        self._leaving[start.server_id] = start.started_ms
        return True

    def is_leaving(self, server: BackendServer) -> bool:
        """Returns whether a server announced that it leaves."""
        return self._covers_leaving(start_of(server))

    def accepts_requests(self, server: BackendServer) -> bool:
        """Returns whether a server has not asked to get no more requests."""
        return not self.is_leaving(server)

    def apply_to(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Returns directory entries in which the servers that announced it are draining."""
        return [
            replace(server, state=ServerState.LEAVING) if self.is_leaving(server) else server
            for server in servers
        ]

    def forget_unlisted(self, listed: Mapping[str, BackendServer], now: float) -> None:
        """Drops the notices of servers that the directory has not listed for some time."""
        for server_id, started_ms in list(self._leaving.items()):
            server = listed.get(server_id)
            if server is not None and server.started_ms <= started_ms:
                self._unlisted_since.pop(server_id, None)
            elif now - self._unlisted_since.setdefault(server_id, now) >= UNLISTED_RETENTION:
                del self._leaving[server_id], self._unlisted_since[server_id]

    def _covers_leaving(self, start: ServerStart) -> bool:
        return start.started_ms <= self._leaving.get(start.server_id, -1)
