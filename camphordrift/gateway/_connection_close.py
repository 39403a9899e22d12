"""Closes callers' connections after their responses while the VM is stopping."""

from collections.abc import Callable, MutableMapping
from typing import Any

from starlette.types import ASGIApp, Receive, Scope, Send


def close_connections_while_stopping(app: ASGIApp, is_stopping: Callable[[], bool]) -> ASGIApp:
    """Returns ``app`` with ``Connection: close`` in every response while ``is_stopping()``.

    Otherwise a caller could send another request on a persistent connection just as the process
    exits, and could not know whether it ran.
    """

    async def closing_app(scope: Scope, receive: Receive, send: Send) -> None:
        async def send_with_close(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_stopping():
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_with_close)

    return closing_app
