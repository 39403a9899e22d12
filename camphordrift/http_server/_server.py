"""Runs hypercorn in the current trio loop, without processes or threads of its own."""

import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Optional, Protocol

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

#: Connections that wait to be accepted.
LISTEN_BACKLOG = 512

#: An idle connection of a caller is closed after this time, in seconds.
IDLE_CONNECTION_SECONDS = 75.0

#: The longest header section of a request, in bytes.
MAX_HEADER_BYTES = 32_768


@dataclass(frozen=True)
class HttpAddress:
    """An IP number and a TCP port to listen on."""

    #: The IP number.
    host: str

    #: The port.
    port: int

    def __post_init__(self) -> None:
        ipaddress.ip_address(self.host)
        if not 0 < self.port < 65_536:
            raise ValueError(f"port must lie in 1 to 65535, not {self.port}")

    @property
    def bind(self) -> str:
        """The address as hypercorn writes it."""
        is_v6 = ipaddress.ip_address(self.host).version == 6
        return f"[{self.host}]:{self.port}" if is_v6 else f"{self.host}:{self.port}"

    @property
    def base_url(self) -> str:
        """The address as a URL of plain HTTP."""
        return f"http://{self.bind}"


class Started(Protocol):
    """How a task tells ``trio.Nursery.start`` that it is ready."""

    def started(self, value: None = None) -> None:
        """Tells that the address is bound."""
        ...


async def serve_http(
    app: Any,
    address: HttpAddress,
    shutdown: Optional[trio.Event] = None,
    graceful_seconds: float = 5.0,
    certificate: Optional[Path] = None,
    private_key: Optional[Path] = None,
    task_status: Started = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves ``app`` until ``shutdown`` is set, then waits for its requests to end.

    Cancelling it instead closes all connections at once. With ``certificate`` and ``private_key``
    it speaks TLS. Raises ``OSError`` if the address cannot be bound.
    """
    config = Config()
    config.bind = [address.bind]
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
