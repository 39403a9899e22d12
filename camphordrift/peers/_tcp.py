"""Opens and accepts TCP streams by IP address, optionally with TLS."""

import ipaddress
import ssl
from collections.abc import Awaitable, Callable, Sequence
from typing import Optional

import trio

#: Opens a stream to an IP address and a port. Raises ``OSError`` if the connection fails.
Dialer = Callable[[str, int], Awaitable[trio.abc.Stream]]


def tcp_dialer(ssl_context: Optional[ssl.SSLContext] = None) -> Dialer:
    """Returns a dialer for TCP, or for TLS if a context is given.

    The dialer raises ``ValueError`` if its first argument is not an IP address.
    """

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
    """Opens listeners on an IP address and a port; port 0 selects a free port.

    Raises ``ValueError`` if ``ip`` is not an IP address, and ``OSError`` if the port is taken.
    """
    ipaddress.ip_address(ip)
    listeners = await trio.open_tcp_listeners(port, host=ip)
    if ssl_context is None:
        return listeners
    return [trio.SSLListener(listener, ssl_context) for listener in listeners]
