"""Runs hypercorn in the current trio loop, without processes or threads of its own."""

from dataclasses import dataclass
from typing import Any, Optional

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from camphordrift.settings import SocketAddress, TlsFiles

#: Connections that wait to be accepted.
LISTEN_BACKLOG = 512

#: The longest header section of a request, in bytes.
MAX_HEADER_BYTES = 32_768


@dataclass(frozen=True)
class ServeOptions:
    """How an application is served."""

    #: A connection without a request is closed after this time, in seconds.
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
    """Serves ``app`` until cancelled, which closes all connections at once.

    Raises ``OSError`` if the address cannot be bound.
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
