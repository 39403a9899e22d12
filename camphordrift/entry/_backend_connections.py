"""HTTP connections to backend servers and to platform services, and their addresses."""

import ssl
from collections.abc import Callable
from typing import Optional

from returns.pipeline import is_successful

from camphordrift.backend_http import HttpConnections, HttpTimeouts
from camphordrift.configuration import ConfigurationSnapshot
from camphordrift.identifiers import BackendServerId
from camphordrift.security import client_tls_context
from camphordrift.settings import EntrySettings, SocketAddress


class BackendAddresses:
    """Looks up the addresses of backend servers in the current configuration."""

    def __init__(self, snapshot: Callable[[], Optional[ConfigurationSnapshot]]) -> None:
        self._snapshot = snapshot

    def address_of(self, server_id: BackendServerId) -> Optional[str]:
        """Returns the server's base URL; ``None`` if the configuration does not contain it."""
        snapshot = self._snapshot()
        server = None if snapshot is None else snapshot.server_named(server_id)
        if server is None:
            return None
        return f"http://{SocketAddress(server.address, server.port)}"

    def engine_ids(self) -> tuple[BackendServerId, ...]:
        """Returns the ids of all configured engines; empty before the first configuration."""
        snapshot = self._snapshot()
        if snapshot is None:
            return ()
        return tuple(engine.server_id for engine in snapshot.engines())


def backend_connections(settings: EntrySettings) -> HttpConnections:
    """Returns the HTTP connections of the process, with the timeouts of the settings.

    Raises ``OSError`` if the file with the certificate authorities cannot be used.
    """
    limits = settings.limits
    timeouts = HttpTimeouts(
        connect_seconds=limits.connect_timeout_seconds,
        first_byte_seconds=limits.first_byte_timeout_seconds,
        between_bytes_seconds=limits.between_bytes_timeout_seconds,
    )
    return HttpConnections(timeouts, _backend_tls(settings))


def _backend_tls(settings: EntrySettings) -> Optional[ssl.SSLContext]:
    """Returns the TLS context that verifies the certificates of backend servers.

    Returns ``None`` if the setting ``backend_authorities_file`` is missing.
    """
    authorities = settings.tls.backend_authorities_file
    if authorities is None:
        return None
    context = client_tls_context(authorities)
    if not is_successful(context):
        raise OSError(str(context.failure()))
    return context.unwrap()
