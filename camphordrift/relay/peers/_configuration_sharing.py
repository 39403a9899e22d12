"""Passes new configurations from VM to VM instead of having each VM read them from the store.

The leader sends a new document to one VM of each availability zone, and the other VMs of the zone
get it from there. A document thus crosses each zone border once, the store is read once, and no VM
sends it to more VMs than its zone has.
"""

from collections.abc import Iterable
from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.connections import connect
from camphordrift.relay.model import Address
from camphordrift.relay.peers._message_link import LinkBrokenError, MessageLink
from camphordrift.relay.peers._peer_messages import (
    ConfigurationDocument,
    ConfigurationRequest,
    Member,
)

#: Timeout in seconds of a connection attempt to the VM that has the document.
CONNECT_TIMEOUT = 0.3

#: Seconds within which the document must arrive; the store is read after that. Both together must
#: take less than the time in which a configuration has to be in force (2 s on today's deployments).
FETCH_TIMEOUT = 0.8


def choose_zone_sources(followers: Iterable[Member]) -> dict[str, Member]:
    """Returns for each availability zone the VM from which the others get new configurations.

    It is the one with the highest capacity, because it sends the document to all others.
    """
    sources: dict[str, Member] = {}
    for member in followers:
        current = sources.get(member.zone)
        if current is None or member.leader_rank < current.leader_rank:
            sources[member.zone] = member
    return sources


async def fetch_configuration(source: Address, version: int) -> Optional[bytes]:
    """Returns a document of at least the given version from another VM.

    Returns ``None`` if the VM does not send it in time.
    """
    reason = "no document in time"
    with trio.move_on_after(FETCH_TIMEOUT):
        try:
            return await _request_document(source, version)
        except (OSError, LinkBrokenError) as error:
            reason = str(error)
    log_event(
        "configuration_not_fetched",
        level=LogLevel.WARNING,
        source=source,
        version=version,
        reason=reason,
    )
    return None


async def _request_document(source: Address, version: int) -> bytes:
    stream = await connect(source.host, source.port, CONNECT_TIMEOUT)
    link = MessageLink(stream, FETCH_TIMEOUT)
    link.send(ConfigurationRequest(version))
    try:
        await link.write_once()
        while True:
            message = await link.read_next()
            if isinstance(message, ConfigurationDocument):
                return message.document
    finally:
        stream.socket.close()
