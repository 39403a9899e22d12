"""Runs hypercorn in the current trio loop, without processes or threads of its own."""

from pathlib import Path
from typing import Any, Optional

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from camphordrift.settings import SocketAddress

#: Connections that wait to be accepted.
LISTEN_BACKLOG = 512

#: An idle connection of a caller is closed after this time, in seconds.
IDLE_CONNECTION_SECONDS = 75.0

#: The longest header section of a request, in bytes.
MAX_HEADER_BYTES = 32_768


async def serve_http(
    app: Any,
    address: SocketAddress,
    shutdown: Optional[trio.Event] = None,
    graceful_seconds: float = 5.0,
    certificate: Optional[Path] = None,
    private_key: Optional[Path] = None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves ``app`` until ``shutdown`` is set, then waits for its requests to end.

    Cancelling it instead closes all connections at once. With ``certificate`` and ``private_key``
    it speaks TLS. Raises ``OSError`` if the address cannot be bound.
    """
    config = Config()
    config.bind = [str(address)]
    config.backlog = LISTEN_BACKLOG
    config.keep_alive_timeout = IDLE_CONNECTION_SECONDS
    config.graceful_timeout = graceful_seconds
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.accesslog = None
    config.errorlog = "-"
    config.loglevel = "WARNING"
    config.include_server_header = False
    if certificate is not None and private_key is not None:
        config.certfile = str(certificate)
        config.keyfile = str(private_key)
    stop = shutdown if shutdown is not None else trio.Event()

    async with trio.open_nursery() as nursery:

        async def run(task_status: Any) -> None:
            await serve(app, config, shutdown_trigger=stop.wait, task_status=task_status)

        await nursery.start(run)
        task_status.started()
