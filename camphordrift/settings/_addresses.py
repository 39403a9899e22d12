"""Socket addresses and URLs that contain an IP address instead of a host name.

Host names are rejected, since a process must be able to start while DNS is unavailable.
"""

import ipaddress
from dataclasses import dataclass
from typing import Union
from urllib.parse import urlsplit

#: The highest TCP port.
MAX_PORT = 65535

IpAddress = Union[ipaddress.IPv4Address, ipaddress.IPv6Address]


@dataclass(frozen=True)
class SocketAddress:
    """An IP address and a TCP port, written ``10.0.0.1:8080`` or ``[fd00::1]:8080``."""

    #: The IP address; an IPv6 address has no brackets here.
    host: str

    #: The TCP port; for a listening socket, 0 lets the operating system choose one.
    port: int

    def __str__(self) -> str:
        """Returns ``host:port``, with brackets around an IPv6 address."""
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_socket_address(text: str) -> SocketAddress:
    """Parses ``IP:port``.

    Raises ``ValueError`` if the host is not an IP address or the port is not from 0 to 65535.
    """
    host_text, separator, port_text = text.rpartition(":")
    if not separator:
        raise ValueError("the port is missing")
    host = _parse_ip(_without_brackets(host_text))
    return SocketAddress(str(host), _parse_port(port_text))


def parse_base_url(text: str) -> str:
    """Validates a URL whose host is an IP address; returns it without trailing slashes.

    Raises ``ValueError`` if the URL has another form, credentials, a query or a fragment.
    """
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https"):
        raise ValueError("the scheme is neither http nor https")
    if parts.query or parts.fragment or parts.username or parts.password:
        raise ValueError("only scheme, IP address, port and path are allowed")
    if any(character.isspace() for character in text):
        raise ValueError("it contains white space")
    _parse_ip(parts.hostname or "")
    if parts.port == 0:
        raise ValueError("port 0 cannot be connected to")
    return text.rstrip("/")


def _without_brackets(host: str) -> str:
    if host.startswith("[") and host.endswith("]"):
        return host[1:-1]
    if ":" in host:
        raise ValueError("an IPv6 address needs brackets")
    return host


def _parse_ip(text: str) -> IpAddress:
    try:
        return ipaddress.ip_address(text)
    except ValueError as error:
        raise ValueError(f"{text!r} is not an IP address") from error


def _parse_port(text: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_PORT)):
        raise ValueError(f"{text!r} is not a port number")
    port = int(text)
    if port > MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return port
