"""Collects the notices of backend servers from their responses, and shares them between VMs."""

from collections.abc import Callable, Iterable

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay._peer_messages import MessageLink, ServersLeaving
from camphordrift.relay._server_notices import ServerNotices, ServerStart, start_of
from camphordrift.relay._values import BackendServer, ResponseMetadata

#: Status of a response in which another server than the intended one says that it is another one.
WRONG_SERVER_STATUS = 421


class NoticeDistributor:
    """Records notices, and passes new ones on to this VM's leader and followers.

    Args:
        notices: The notices that this VM knows.
        on_leaving: Called when a server newly announced that it leaves.

    """

    def __init__(self, notices: ServerNotices, on_leaving: Callable[[], None]) -> None:
        self._notices = notices
        self._on_leaving = on_leaving
        #: Links to the leader and to followers.
        self._links: list[MessageLink] = []

    def add_link(self, link: MessageLink) -> None:
        """Starts to share notices with the VM at the other end of a link."""
        self._links.append(link)
        if self._notices.leaving:
            link.send(ServersLeaving(self._notices.leaving))

    def remove_link(self, link: MessageLink) -> None:
        """Stops to share notices on a link; unknown links are ignored."""
        if link in self._links:
            self._links.remove(link)

    def observe(
        self, server: BackendServer, status: int, metadata: ResponseMetadata, source: str
    ) -> None:
        """Records the notice in a response, if there is one.

        Args:
            server: The server that responded.
            status: Status of the response.
            metadata: Metadata of the response.
            source: What the server responded to, for the log.

        """
        if metadata.leaving and status != WRONG_SERVER_STATUS:
            self.record_leaving([start_of(server)], source)

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
            for link in self._links:
                link.send(ServersLeaving(new))
