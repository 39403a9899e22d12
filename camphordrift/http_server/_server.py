"""Runs the HTTP server hypercorn in the current trio event loop, without processes or threads."""

from dataclasses import dataclass
from typing import Any, Optional

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from camphordrift.settings import SocketAddress, TlsFiles

#: Maximum number of connections in the listen queue, waiting to be accepted.
LISTEN_BACKLOG = 512

#: Maximum size in bytes of a request's header section.
MAX_HEADER_BYTES = 32_768


@dataclass(frozen=True)
class ServeOptions:
    """Connection options of :func:`serve_http`."""

    #: Seconds after which a connection without a request in progress is closed.
    idle_connection_seconds: float = 75.0

    #: Certificate chain and private key; ``None`` for plain TCP.
    tls: Optional[TlsFiles] = None


_DEFAULT_OPTIONS = ServeOptions()


async def serve_http(
    app: Any,
    address: SocketAddress,
    options: ServeOptions = _DEFAULT_OPTIONS,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves ``app`` at ``address`` until cancelled.

    Cancellation closes all connections immediately. Raises ``OSError`` if the address cannot be
    bound.
    """
    config = Config()
    config.bind = [str(address)]
    config.backlog = LISTEN_BACKLOG
    config.keep_alive_timeout = options.idle_connection_seconds
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.accesslog = None
    config.errorlog = "-"
    config.loglevel = "WARNING"
    config.include_server_header = False
    if options.tls is not None:
        config.certfile = str(options.tls.certificate_file)
        config.keyfile = str(options.tls.private_key_file)

    async with trio.open_nursery() as nursery:

        async def run(task_status: Any) -> None:
            await serve(app, config, shutdown_trigger=trio.sleep_forever, task_status=task_status)

        await nursery.start(run)
        task_status.started()
