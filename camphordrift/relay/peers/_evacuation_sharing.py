"""Shares between VMs which availability zones are evacuated."""

import math
from collections.abc import Callable, Iterable, Iterator
from typing import Optional

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.peers._message_link import MessageLink
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.peers._peer_messages import Message, ZonesStated
from camphordrift.relay.servers import ZoneEvacuations, ZoneStatement


class EvacuationSharing:
    """Merges statements on zones, and passes new ones on to the leader and the followers.

    Args:
        evacuations: What this VM knows.
        links: Links to the leader and to followers.
        known_age: Returns the seconds since this VM's knowledge of the store was last up to date.
        on_change: Called after a zone was evacuated or taken back.

    """

    def __init__(
        self,
        evacuations: ZoneEvacuations,
        links: PeerLinks,
        known_age: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._evacuations = evacuations
        self._links = links
        self._known_age = known_age
        self._on_change = on_change
        links.add_greeting(self._known)

    def handle(
        self,
        statements: Iterable[ZoneStatement],
        source: str,
        link: Optional[MessageLink] = None,
    ) -> None:
        """Merges statements.

        Args:
            statements: The statements.
            source: Where they come from, for the log.
            link: The link over which they arrived, if another VM sent them.

        """
        before = self._evacuations.evacuated_zones
        new = tuple(item for item in statements if self._evacuations.merge(item))
        if not new:
            return
        self._links.send(ZonesStated(new), link)
        for item in new:
            if item.evacuated != (item.zone in before):
                self._log(item, source)
        if self._evacuations.evacuated_zones != before:
            self._on_change()

    def _known(self) -> Iterator[Message]:
        if statements := self._evacuations.statements:
            yield ZonesStated(statements)

    def _log(self, statement: ZoneStatement, source: str) -> None:
        age = self._known_age()
        log_event(
            "zone_evacuated" if statement.evacuated else "zone_returned",
            level=LogLevel.WARNING,
            zone=statement.zone,
            era=statement.era,
            offset=statement.offset,
            source=source,
            age=age if math.isfinite(age) else None,
        )
