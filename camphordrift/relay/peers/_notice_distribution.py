"""Collects the notices of backend servers from their responses, and shares them between VMs."""

from collections.abc import Callable, Iterable, Iterator
from typing import Optional

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.model import BackendServer, ResponseMetadata
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.peers._peer_messages import Message, ServersLeaving, ServersLimited
from camphordrift.relay.scheduling import RequestLimits, ServerLimit
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
        if metadata.leaving and status != WRONG_SERVER_STATUS:
            self.record_leaving([start_of(server)], source)
        if status != WRONG_SERVER_STATUS:
            self._observe_limit(server, metadata.request_limit, sent_at, source)
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

    def _known(self) -> Iterator[Message]:
        if self._notices.leaving:
            yield ServersLeaving(self._notices.leaving)
        if limits := self._limits.known(self._clock()):
            yield ServersLimited(limits)

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
