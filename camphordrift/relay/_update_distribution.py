"""What the home hands on to other VMs: the configuration, the servers, and how old they are."""

from collections.abc import Callable, Iterable

import trio

from camphordrift.relay._configuration_lease import ConfigurationLease
from camphordrift.relay._peer_messages import (
    ConfigurationDocument,
    ConfigurationRequest,
    ConfigurationUpdate,
    Member,
    Message,
    MessageLink,
    Ping,
    Pong,
    ServerUpdate,
    StoreUnreachable,
)
from camphordrift.relay._server_directory import DirectoryChange
from camphordrift.relay._store_watchers import (
    STALE_NEWS,
    ConfigurationWatcher,
    ServersWatcher,
    boot_time_clock,
)

#: Seconds since a VM read the store itself within which it is taken to reach it.
OWN_READ_TIME = 1.5


class UpdateDistributor:
    """Sends news to the VMs that have this VM as their home, and takes those of this VM's home."""

    def __init__(
        self,
        configuration: ConfigurationWatcher,
        servers: ServersWatcher,
        lease: ConfigurationLease,
    ) -> None:
        self._configuration = configuration
        self._servers = servers
        self._lease = lease
        self._followers: set[MessageLink] = set()
        self._pings: dict[int, tuple[float, float]] = {}
        self._next_ping = 0
        self._home_age = 0.0

    def add_follower(self, link: MessageLink, better_homes: Iterable[Member]) -> None:
        """Starts to send news to another VM.

        Args:
            link: The way to that VM.
            better_homes: VMs that would be better homes than this one.

        """
        self._followers.add(link)
        for member in better_homes:
            link.send(member)

    def remove_follower(self, link: MessageLink) -> None:
        """Stops to send news to another VM."""
        self._followers.discard(link)

    def unfit(self, vm: str) -> None:
        """Hands on that a VM has lost the store."""
        self._send_all(StoreUnreachable(vm))

    def member_known(self, member: Member) -> None:
        """Hands on that a VM has run longer than this one."""
        self._send_all(member)

    def configuration_changed(self) -> None:
        """Says that there is a new configuration."""
        self._send_all(ConfigurationUpdate(self._configuration.version))

    def servers_changed(self, changes: list[DirectoryChange]) -> None:
        """Hands changes of servers on."""
        self._send_all(ServerUpdate(tuple(changes)))

    def pong(self, ping: Ping) -> Pong:
        """Answers another VM's ping."""
        return Pong(
            ping.number,
            self._configuration.version,
            self._lease.age(boot_time_clock()),
            self._servers.age(trio.current_time()),
        )

    def send_document(self, link: MessageLink) -> None:
        """Sends the configuration to a VM that cannot read the store."""
        document = self._configuration.document
        if document is not None:
            link.send(ConfigurationDocument(document))

    def is_home_unfit(self) -> bool:
        """Tells whether the home has lost the store, which answers this VM."""
        return (
            self._home_age > STALE_NEWS
            and self._configuration.store_reachable
            and self._configuration.read_age(trio.current_time()) < OWN_READ_TIME
        )

    def home_found(self, link: MessageLink) -> None:
        """Notes that this VM has a home."""
        self._configuration.ask_home = lambda: link.send(ConfigurationRequest())
        self._home_age = 0.0
        self._configuration.has_home = True
        self._servers.home_found()

    def home_lost(self) -> None:
        """Notes that this VM has no home."""
        self._configuration.has_home = False
        self._servers.has_home = False
        self._pings.clear()

    def next_ping(self) -> Ping:
        """Returns a ping for this VM's home."""
        self._next_ping += 1
        self._pings[self._next_ping] = (boot_time_clock(), trio.current_time())
        return Ping(self._next_ping)

    def handle(self, message: Message, pass_on: Callable[[Message], None]) -> None:
        """Takes news of this VM's home; passes other messages on."""
        match message:
            case ConfigurationUpdate(version):
                self._configuration.expect(version)
            case ConfigurationDocument(document):
                self._configuration.apply(document)
            case ServerUpdate(changes):
                self._servers.apply(changes)
            case Pong():
                self._take_pong(message)
            case _:
                pass_on(message)

    def _take_pong(self, pong: Pong) -> None:
        asked = self._pings.pop(pong.number, None)
        if asked is None:
            return
        self._home_age = pong.configuration_age
        # The home answered after the ping was sent, so its own question is at most this old.
        if self._configuration.version >= pong.version:
            self._configuration.confirm(asked[0] - pong.configuration_age)
        else:
            self._configuration.expect(pong.version)
        self._servers.confirm(asked[1] - pong.servers_age)

    def _send_all(self, message: Message) -> None:
        for link in self._followers:
            link.send(message)
