"""Closes callers' connections after their responses while the VM is draining."""

from collections.abc import Callable, MutableMapping
from typing import Any

from starlette.types import ASGIApp, Receive, Scope, Send


def close_connections_while_draining(app: ASGIApp, is_draining: Callable[[], bool]) -> ASGIApp:
    """Returns ``app`` with ``Connection: close`` in every response while ``is_draining()``.

    Without the header, a caller could send a request on a persistent connection while the process
    exits. The caller would not know whether that request ran.
    """

    async def closing_app(scope: Scope, receive: Receive, send: Send) -> None:
        async def send_with_close(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_draining():
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_with_close)

    return closing_app
