"""The backend servers of a run, with a proxy in front of each."""

import itertools

import trio

from camphordrift.platform.soak._document_publisher import DocumentPublisher
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._proxy import Proxy
from camphordrift.platform.soak._servers import SoakServer

#: Port of all servers of the soak; each has its own loopback address.
SERVER_PORT = 8100

#: Seconds for which a draining server stays listed.
_DRAINING_TIME = 3.0


class ServerFleet:
    """Starts servers and replaces them.

    Args:
        network: First three octets of the loopback network.
        publisher: Publishes the entries of the servers.
        observations: Records what the servers run.

    """

    def __init__(
        self, network: str, publisher: DocumentPublisher, observations: Observations
    ) -> None:
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
        await background.start(server.run)
        await background.start(proxy.run)
        self.servers.append((server, proxy))
        self._publisher.publish_server(server, proxy, "ready")

    async def replace(self, server: SoakServer, proxy: Proxy, background: trio.Nursery) -> None:
        """Adds a new server, marks the old one as draining, and removes it after a while."""
        if server.replaced:
            return
        server.replaced = True
        await self.add(server.streams, background)
        self._publisher.publish_server(server, proxy, "draining")
        await trio.sleep(_DRAINING_TIME)
        self._publisher.remove_server(server)
