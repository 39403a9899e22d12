"""Opens and accepts TCP streams by IP number, with TLS if wanted."""

import ipaddress
import ssl
from collections.abc import Awaitable, Callable, Sequence
from typing import Optional

import trio

#: Opens a stream to an IP number and a port. Raises ``OSError`` if it cannot.
Dialer = Callable[[str, int], Awaitable[trio.abc.Stream]]


def tcp_dialer(ssl_context: Optional[ssl.SSLContext] = None) -> Dialer:
    """Returns a dialer over TCP, or over TLS if a context is given."""

    async def dial(ip: str, port: int) -> trio.abc.Stream:
        ipaddress.ip_address(ip)
        stream = await trio.open_tcp_stream(ip, port)
        if ssl_context is None:
            return stream
        return trio.SSLStream(stream, ssl_context, server_hostname=ip)

    return dial


async def open_listeners(
    ip: str, port: int, ssl_context: Optional[ssl.SSLContext] = None
) -> Sequence[trio.abc.Listener[trio.abc.Stream]]:
    """Returns listeners on an IP number and a port; port 0 takes a free one."""
    ipaddress.ip_address(ip)
    listeners = await trio.open_tcp_listeners(port, host=ip)
    if ssl_context is None:
        return listeners
    return [trio.SSLListener(listener, ssl_context) for listener in listeners]
