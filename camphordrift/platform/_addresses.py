"""Parses the addresses of the platform's documents and settings."""

import socket

from camphordrift.relay import Address

#: Highest TCP port.
MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Parses an IPv4 address and a port, written ``10.0.0.1:8080``.

    Host names are rejected, as the platform resolves none.

    Raises:
        ValueError: No connection can be opened to such an address.

    """
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise ValueError(f"not an IPv4 address and port: {text[:100]!r}") from error
    return Address(host, _parse_port(port))


def _parse_port(text: str) -> int:
    is_decimal = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))
    if not is_decimal or not 1 <= int(text) <= MAX_PORT:
        raise ValueError(f"not a port from 1 to {MAX_PORT}: {text[:100]!r}")
    return int(text)
