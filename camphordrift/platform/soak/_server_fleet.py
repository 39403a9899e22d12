"""The backend servers of a run, with a proxy in front of each."""

import itertools
import random

import trio

from camphordrift.platform.soak._document_publisher import DocumentPublisher
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._proxy import Proxy
from camphordrift.platform.soak._servers import SoakServer

#: Port of all servers of the soak; each has its own loopback address.
SERVER_PORT = 8100

#: Minimum and maximum number of seconds after a crash until a server starts again.
_MIN_DOWNTIME, _MAX_DOWNTIME = 1.0, 3.0

#: Seconds for which a draining server stays listed.
_DRAINING_TIME = 3.0


class ServerFleet:
    """Starts servers and replaces them.

    Args:
        seed: Determines how long crashed servers are down.
        network: First three octets of the loopback network.
        publisher: Publishes the entries of the servers.
        observations: Records what the servers run.

    """

    def __init__(
        self, seed: int, network: str, publisher: DocumentPublisher, observations: Observations
    ) -> None:
        self._random = random.Random(f"servers {seed}")
        self._network = network
        self._publisher = publisher
        self._observations = observations
        self._hosts = itertools.count(100)
        self._numbers = itertools.count()
        #: The servers, including those that were replaced.
        self.servers: list[tuple[SoakServer, Proxy]] = []

    async def add(self, streams: bool, background: trio.Nursery) -> None:
        """Starts a server and its proxy, and publishes the server.

        Args:
            streams: Whether the server is an engine, which sends streams.
            background: Runs the server and the proxy.

        """
        proxy_host, server_host = next(self._hosts), next(self._hosts)
        server = SoakServer(
            next(self._numbers),
            f"{self._network}.{server_host}",
            SERVER_PORT,
            streams,
            self._observations,
        )
        proxy = Proxy(f"{self._network}.{proxy_host}", SERVER_PORT, server.host, SERVER_PORT)
        await background.start(self._run_server, server, proxy)
        await background.start(proxy.run)
        self.servers.append((server, proxy))
        self._publisher.publish_server(server, proxy, "ready")

    async def replace(self, server: SoakServer, proxy: Proxy, background: trio.Nursery) -> None:
        """Adds a new server, marks the old one as draining, and removes it after a while."""
        if server.replaced:
            return
        server.replaced = True
        await self.add(server.streams, background)
        await self._drain(server, proxy)

    async def leave(
        self, server: SoakServer, proxy: Proxy, seconds: float, background: trio.Nursery
    ) -> None:
        """Adds a new server, and lets the old one say in its responses that it leaves.

        Args:
            server: The old server.
            proxy: The proxy in front of it.
            seconds: Seconds after which the old server is listed as draining.
            background: Runs the new server.

        """
        if server.replaced:
            return
        server.replaced = server.leaving = True
        await self.add(server.streams, background)
        await trio.sleep(seconds)
        await self._drain(server, proxy)

    async def _drain(self, server: SoakServer, proxy: Proxy) -> None:
        self._publisher.publish_server(server, proxy, "draining")
        await trio.sleep(_DRAINING_TIME)
        self._publisher.remove_server(server.id)

    async def _run_server(
        self,
        server: SoakServer,
        proxy: Proxy,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs a server, and starts it again under another id when it has crashed."""
        await server.run(task_status.started)
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._publisher.expire, server.id)
                await trio.sleep(self._random.uniform(_MIN_DOWNTIME, _MAX_DOWNTIME))
                server.prepare_restart()
                await server.run(lambda: self._publish_restarted(server, proxy))

    def _publish_restarted(self, server: SoakServer, proxy: Proxy) -> None:
        if not server.replaced:
            self._publisher.publish_server(server, proxy, "ready")
