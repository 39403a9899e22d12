"""Collects the notices of backend servers from their responses, and shares them between VMs."""

from collections.abc import Callable, Iterable, Iterator
from typing import Optional

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.model import BackendServer, ResponseMetadata
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.peers._peer_messages import (
    Message,
    ServersCold,
    ServersLeaving,
    ServersLimited,
)
from camphordrift.relay.scheduling import ColdServer, RequestLimits, ServerLimit
from camphordrift.relay.servers import ServerNotices, ServerPause, ServerStart, start_of

#: Status of a response in which another server than the intended one says that it is another one.
WRONG_SERVER_STATUS = 421

#: Status of a rejection in which a server may state for how long it wants no other request.
PAUSE_STATUS = 503


class NoticeDistributor:
    """Records notices, and passes those that concern all VMs on to the leader and followers.

    A pause holds for this VM only, so only whoever schedules for this VM has to know of it.

    Args:
        notices: The notices that this VM knows.
        limits: The limits of requests that this VM knows.
        clock: Returns the seconds of a monotonic clock.
        on_leaving: Called when a server newly announced that it leaves.
        on_pause: Called with the service of a server that starts or extends a pause.
        links: Links to the leader and to followers.

    """

    def __init__(
        self,
        notices: ServerNotices,
        limits: RequestLimits,
        clock: Callable[[], float],
        on_leaving: Callable[[], None],
        on_pause: Callable[[str, ServerPause], None],
        links: PeerLinks,
    ) -> None:
        self._notices = notices
        self._limits = limits
        self._clock = clock
        self._on_leaving = on_leaving
        self._on_pause = on_pause
        self._links = links
        links.add_greeting(self._known)

    def observe(
        self,
        server: BackendServer,
        status: int,
        metadata: ResponseMetadata,
        source: str,
        sent_at: Optional[float],
    ) -> None:
        """Records the notices in a response.

        Args:
            server: The server that responded.
            status: Status of the response.
            metadata: Metadata of the response.
            source: What the server responded to, for the log.
            sent_at: When a caller's request was sent; ``None`` for the relay's own requests, whose
                responses need not state a limit that holds.

        """
        for header in metadata.unreadable:
            log_event(
                "header_unreadable",
                level=LogLevel.WARNING,
                server=server.id,
                address=server.address,
                header=header.name,
                value=header.value,
                source=source,
            )
        if metadata.leaving and status != WRONG_SERVER_STATUS:
            self.record_leaving([start_of(server)], source)
        if status != WRONG_SERVER_STATUS:
            self._observe_limit(server, metadata.request_limit, sent_at, source)
        if status != WRONG_SERVER_STATUS and metadata.cold_left is not None:
            self._observe_cold(server, metadata.cold_left, sent_at, source)
        if metadata.retry_after and status == PAUSE_STATUS:
            self._record_pause(server, metadata.retry_after, source)

    def record_leaving(self, starts: Iterable[ServerStart], source: str) -> None:
        """Records servers that announced that they leave, in a response or to another VM.

        Args:
            starts: The servers.
            source: Where the announcement comes from, for the log.

        """
        new = tuple(start for start in starts if self._notices.record_leaving(start))
        for start in new:
            log_event(
                "server_leaving",
                level=LogLevel.WARNING,
                server=start.server_id,
                started_ms=start.started_ms,
                source=source,
            )
        if new:
            self._on_leaving()
            self._links.send(ServersLeaving(new))

    def record_limits(self, limits: Iterable[ServerLimit], source: str) -> None:
        """Records limits that another VM knows, or that have ended.

        Args:
            limits: The limits.
            source: Where they come from, for the log.

        """
        self._share_limits([x for x in limits if self._limits.merge(x, self._clock())], source)

    def record_listed(self, servers: Iterable[BackendServer]) -> None:
        """Records the starts of the listed servers; those during traffic make them cold."""
        news = self._limits.cold.observe_listed(servers, self._clock())
        self._share_cold(news, "start")

    def record_entries(self, entries: Iterable[tuple[BackendServer, tuple[int, int]]]) -> None:
        """Records entries that were read from the store, each with its era and offset."""
        cold, now = self._limits.cold, self._clock()
        news = [cold.observe_entry(server, position, now) for server, position in entries]
        self._share_cold([item for item in news if item is not None], "directory")

    def record_cold(self, servers: Iterable[ColdServer], source: str) -> None:
        """Records cold servers that another VM knows.

        Args:
            servers: The servers.
            source: Where they come from, for the log.

        """
        cold, now = self._limits.cold, self._clock()
        self._share_cold([item for item in servers if cold.merge(item, now)], source)

    def log_warm_servers(self) -> None:
        """Logs the servers whose cold period has ended."""
        for item in self._limits.cold.take_ended(self._clock()):
            self._log_cold("server_warm", item, "time")

    def _known(self) -> Iterator[Message]:
        if self._notices.leaving:
            yield ServersLeaving(self._notices.leaving)
        if limits := self._limits.known(self._clock()):
            yield ServersLimited(limits)
        if cold := self._limits.cold.known(self._clock()):
            yield ServersCold(cold)

    def _observe_cold(
        self, server: BackendServer, left: float, sent_at: Optional[float], source: str
    ) -> None:
        news = self._limits.cold.observe_response(server, left, sent_at, self._clock())
        if news is not None:
            self._share_cold([news], source)

    def _share_cold(self, news: list[ColdServer], source: str) -> None:
        for item in news:
            if item.left > 0:
                self._log_cold("server_cold", item, source)
        if news:
            self._links.send(ServersCold(tuple(news)))

    def _log_cold(self, event: str, item: ColdServer, source: str) -> None:
        log_event(
            event,
            server=item.start.server_id,
            rate=self._limits.cold.rate(item.service),
            seconds=item.left,
            source=source,
            age=item.age,
        )

    def _observe_limit(
        self, server: BackendServer, rate: Optional[float], sent_at: Optional[float], source: str
    ) -> None:
        change = self._limits.observe_response(server, rate, sent_at, self._clock())
        if change is not None:
            self._share_limits([change], source)

    def _share_limits(self, changes: list[ServerLimit], source: str) -> None:
        for change in changes:
            log_event(
                "server_limited",
                level=LogLevel.WARNING,
                server=change.start.server_id,
                limit=change.rate,
                source=source,
            )
        if changes:
            self._links.send(ServersLimited(tuple(changes)))

    def _record_pause(self, server: BackendServer, seconds: float, source: str) -> None:
        if not self._notices.record_pause(server, self._clock() + seconds):
            return
        log_event(
            "server_paused",
            level=LogLevel.WARNING,
            server=server.id,
            seconds=seconds,
            source=source,
        )
        self._on_pause(server.service, ServerPause(start_of(server), seconds))
