"""Finds out whether servers that ended connections have crashed.

A server that is faulty but lives, and truncates its responses, says nothing about the requests that
it got. One that crashed refuses connections, ends them at once, or is listed under another start.
"""

import math
from collections.abc import Callable
from enum import Enum, auto

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import OpenStream, PathBrokenError
from camphordrift.relay.crashes import RESTART_PERIOD
from camphordrift.relay.model import BackendServer
from camphordrift.relay.peers import CrashMonitor
from camphordrift.relay.servers import ServerDirectory

#: Timeout in seconds of the connection that shows whether a server lives.
CONNECT_TIMEOUT = 0.5

#: Seconds for which this connection has to stay open. A process in front of the server may accept
#: connections, and end them as soon as the server refuses them.
OPEN_TIME = 0.15

#: Seconds between two connections if the first one said nothing, and after which checking ends.
RETRY_INTERVAL, MAX_CHECK_TIME = 0.25, 15.0


class _Finding(Enum):
    """What a connection says about its server."""

    LIVES = auto()
    GONE = auto()
    #: The path to the server may be at fault.
    UNKNOWN = auto()


class CrashChecks:
    """Checks servers that are suspected of a crash; :meth:`run` must be running.

    Args:
        monitor: Gets the suspicions, and what becomes of them.
        directory: The listed servers.
        connect: Opens a connection to a server.
        clock: Returns the seconds of the monitor's clock.

    """

    def __init__(
        self,
        monitor: CrashMonitor,
        directory: ServerDirectory,
        connect: OpenStream,
        clock: Callable[[], float],
    ) -> None:
        self._monitor = monitor
        self._directory = directory
        self._connect = connect
        self._clock = clock
        #: Holds each server at most once, so that it needs no limit.
        self._to_check, self._checks = trio.open_memory_channel[BackendServer](math.inf)
        self._checking: set[tuple[str, int]] = set()
        #: The suspected servers and those that lived, with the time until which another start at
        #: the same address shows that they crashed.
        self._watched: dict[tuple[str, int], tuple[BackendServer, float]] = {}

    def suspect(self, server: BackendServer, traits: tuple[str, ...]) -> None:
        """Starts to check a server that ended a connection.

        Args:
            server: The server.
            traits: Traits of the request whose response was not complete.

        """
        self._monitor.suspect_crash(traits, server)
        start = _start_of(server)
        self._watched[start] = server, self._clock() + MAX_CHECK_TIME
        if start not in self._checking:
            self._checking.add(start)
            self._to_check.send_nowait(server)

    async def run(self) -> None:
        """Checks servers until cancelled."""
        async with trio.open_nursery() as nursery:
            async for server in self._checks:
                nursery.start_soon(self._check, server)

    def review_entries(self) -> None:
        """Derives from the directory which servers have crashed."""
        now = self._clock()
        for start, (server, watched_until) in list(self._watched.items()):
            if now >= watched_until:
                del self._watched[start]
            elif self._is_started_again(server):
                self._monitor.confirm_crash(server, restarted=True)
            elif self._directory.has_removed(server.id):
                self._monitor.confirm_crash(server)

    async def _check(self, server: BackendServer) -> None:
        start = _start_of(server)
        ends_at = self._clock() + MAX_CHECK_TIME
        finding = _Finding.UNKNOWN
        self.review_entries()
        while self._monitor.is_crash_suspected(server):
            began_at = self._clock()
            finding = await self._try_connection(server)
            self.review_entries()
            match finding:
                case _Finding.GONE:
                    self._monitor.confirm_crash(server)
                case _Finding.LIVES:
                    self._monitor.rule_out_crash(server, began_at)
                case _Finding.UNKNOWN if self._clock() >= ends_at:
                    self._monitor.rule_out_crash(server, self._clock())
                case _Finding.UNKNOWN:
                    await trio.sleep(RETRY_INTERVAL)
        if finding is _Finding.LIVES:
            log_event("crash_ruled_out", level=LogLevel.WARNING, server=server.id)
        self._watched[start] = server, self._clock() + RESTART_PERIOD
        self._checking.discard(start)

    async def _try_connection(self, server: BackendServer) -> _Finding:
        try:
            stream = await self._connect(server.host, server.port, CONNECT_TIMEOUT)
        except ConnectionRefusedError:
            return _Finding.GONE
        except OSError:
            return _Finding.UNKNOWN
        try:
            with trio.move_on_after(OPEN_TIME):
                return _Finding.LIVES if await stream.receive_some(1) else _Finding.GONE
            return _Finding.LIVES
        except PathBrokenError:
            return _Finding.UNKNOWN
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return _Finding.GONE
        finally:
            stream.abort()

    def _is_started_again(self, server: BackendServer) -> bool:
        """Returns whether another start of a server, or another server, is at its address."""
        return any(
            (item.host, item.port) == (server.host, server.port)
            and _start_of(item) != _start_of(server)
            for item in self._directory.servers.values()
        )


def _start_of(server: BackendServer) -> tuple[str, int]:
    return server.id, server.started_ms
