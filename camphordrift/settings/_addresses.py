"""Addresses by IP number.

Host names are refused: a process must be able to start while no name service answers.
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
    """An IP number and a TCP port, written ``10.0.0.1:8080`` or ``[fd00::1]:8080``."""

    #: The IP number, without brackets.
    host: str

    #: The TCP port; 0 lets the operating system choose one when it is listened on.
    port: int

    def __str__(self) -> str:
        """Returns the address as it is written in settings."""
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_socket_address(text: str) -> SocketAddress:
    """Reads ``IP:port``.

    Raises ``ValueError`` if the host is not an IP number or the port is no port number.
    """
    host_text, separator, port_text = text.rpartition(":")
    if not separator:
        raise ValueError("the port is missing")
    host = _parse_ip(_without_brackets(host_text))
    return SocketAddress(str(host), _parse_port(port_text))


def parse_base_url(text: str) -> str:
    """Checks a URL whose host is an IP number and returns it without a trailing slash.

    Raises ``ValueError`` if it is no such URL.
    """
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https"):
        raise ValueError("the scheme is neither http nor https")
    if parts.query or parts.fragment or parts.username or parts.password:
        raise ValueError("it has more than scheme, IP number, port and path")
    if any(character.isspace() for character in text):
        raise ValueError("it has a space in it")
    _parse_ip(parts.hostname or "")
    if parts.port == 0:
        raise ValueError("port 0 cannot be connected to")
    return text.rstrip("/")


def _without_brackets(host: str) -> str:
    if host.startswith("[") and host.endswith("]"):
        return host[1:-1]
    if ":" in host:
        raise ValueError("an IPv6 number needs brackets")
    return host


def _parse_ip(text: str) -> IpAddress:
    try:
        return ipaddress.ip_address(text)
    except ValueError as error:
        raise ValueError(f"{text!r} is not an IP number") from error


def _parse_port(text: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_PORT)):
        raise ValueError(f"{text!r} is not a port number")
    port = int(text)
    if port > MAX_PORT:
        raise ValueError(f"{port} is over the highest port")
    return port
