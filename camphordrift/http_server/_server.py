"""Runs hypercorn in the current trio event loop, without worker processes or threads."""

from dataclasses import dataclass
from typing import Any, Optional

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from camphordrift.settings import SocketAddress, TlsFiles

#: Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 512

#: Maximum size of a request's header section, in bytes.
MAX_HEADER_BYTES = 32_768


@dataclass(frozen=True)
class ServeOptions:
    """Options for serving an application."""

    #: Time after which a connection without a request in progress is closed, in seconds.
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
