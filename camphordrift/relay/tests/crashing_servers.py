"""Backend servers that crash on certain requests and start again, for tests."""

import itertools
from collections.abc import Callable
from dataclasses import replace

import trio

from camphordrift.relay import BackendServer
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    chunk,
    events,
    plain_response,
    stream_head,
)
from camphordrift.relay.tests.samples import TOPICS, ScriptedServer, server
from camphordrift.testing import HttpRequest

#: Seconds between the events of a response, and until a response that is no stream.
RESPONSE_TIME = 0.04

#: Seconds after a crash until the server listens again.
DOWNTIME = 0.1

#: Id of the last event of a stream.
LAST_EVENT = 5


class CrashingServer:
    """A server that crashes on some requests after it began to respond.

    All its connections are closed then, and new ones are refused until it is listed again under a
    new id. It rejects requests to the former one.

    Args:
        number: Number of the server.
        service: Its service; those of engines respond with streams.
        crashes_on: Returns whether the server crashes on a request.
        list_again: Called with the entries before and after a crash.
        crash_after: Events of a stream after which the server crashes.

    """

    def __init__(
        self,
        number: int,
        service: str,
        crashes_on: Callable[[HttpRequest], bool],
        list_again: Callable[[BackendServer, BackendServer], None],
        crash_after: int = 0,
    ) -> None:
        self.server = ScriptedServer(server(number, service, port=0), self._respond)
        self._crashes_on = crashes_on
        self._list_again = list_again
        self._crash_after = crash_after
        self._numbers = itertools.count(1)
        self._first_id = self.server.entry.id
        self._streams: set[trio.SocketStream] = set()
        #: Requests that the server began to run.
        self.started_requests: list[HttpRequest] = []
        #: Times at which they began, and at which the server crashed.
        self.started_at: list[float] = []
        self.crashed_at: list[float] = []

    async def _respond(self, request: HttpRequest, stream: trio.SocketStream) -> bool:
        if request.headers.get("x-server") != self.server.entry.id:
            await stream.send_all(plain_response(request, "421 Misdirected Request"))
            return True
        self._streams.add(stream)
        self.started_requests.append(request)
        self.started_at.append(trio.current_time())
        try:
            if self.server.entry.service == "engines":
                await stream.send_all(stream_head(request))
            await trio.sleep(RESPONSE_TIME)
            if self._crashes_on(request) and not self._crash_after:
                self.crash()
                return False
            if self.server.entry.service != "engines":
                await stream.send_all(plain_response(request))
                return True
            first = int(request.headers.get("last-event-id", "0")) + 1
            for number in range(first, LAST_EVENT + 1):
                if self._crashes_on(request) and number == first + self._crash_after:
                    self.crash()
                    return False
                await stream.send_all(chunk(events(number, number)))
                await trio.sleep(RESPONSE_TIME)
            await stream.send_all(b"0\r\n\r\n")
            return True
        finally:
            self._streams.discard(stream)

    def crash(self) -> None:
        """Closes the connections of all requests in progress, and starts the server again."""
        self.crashed_at.append(trio.current_time())
        for stream in self._streams:
            stream.socket.close()
        self.server.refuse_connections(DOWNTIME, self._restart)

    def _restart(self) -> None:
        former = self.server.entry
        restarted = replace(former, id=f"{self._first_id}-{next(self._numbers)}")
        self.server.entry = restarted
        self._list_again(former, restarted)


class CrashingServers:
    """The crashing servers of a relay, or of several relays with one store."""

    def __init__(
        self,
        count: int,
        service: str,
        crashes_on: Callable[[HttpRequest], bool],
        crash_after: int = 0,
    ) -> None:
        self._relay: list[RelayHarness] = []
        self._crashes_on = crashes_on
        self.servers = [
            CrashingServer(number, service, crashes_on, self._list_again, crash_after)
            for number in range(count)
        ]

    @property
    def scripted(self) -> list[ScriptedServer]:
        """The servers to run."""
        return [item.server for item in self.servers]

    def set_relay(self, relay: RelayHarness) -> None:
        """Sets the relay in whose directory the servers are listed."""
        self._relay = [relay]

    @property
    def crashes(self) -> int:
        """Number of crashes of all servers."""
        return sum(len(item.crashed_at) for item in self.servers)

    @property
    def crashing_requests(self) -> int:
        """Number of requests that servers began to run and crash on."""
        return sum(
            self._crashes_on(request) for item in self.servers for request in item.started_requests
        )

    def late_crashing_requests(self, crashes: int, seconds: float) -> int:
        """Returns how many such requests began later than ``seconds`` after so many crashes."""
        times = sorted(time for item in self.servers for time in item.crashed_at)
        if len(times) < crashes:
            return 0
        return sum(
            self._crashes_on(request) and started_at > times[crashes - 1] + seconds
            for item in self.servers
            for request, started_at in zip(item.started_requests, item.started_at, strict=True)
        )

    def _list_again(self, former: BackendServer, restarted: BackendServer) -> None:
        for relay in self._relay:
            relay.log.put(TOPICS.servers, former.id, None)
            relay.log.put(TOPICS.servers, restarted.id, relay.documents.write(restarted))
