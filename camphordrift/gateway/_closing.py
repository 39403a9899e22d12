"""Has callers' connections closed after their answers while the VM is stopping."""

from collections.abc import Callable, MutableMapping
from typing import Any

from starlette.types import ASGIApp, Receive, Scope, Send


def closing_while_stopping(app: ASGIApp, is_stopping: Callable[[], bool]) -> ASGIApp:
    """Returns ``app`` with ``Connection: close`` in every answer while ``is_stopping``.

    A connection that is kept open would carry a further request just when the process exits, and
    the caller could not tell whether it ran.
    """

    async def closing(scope: Scope, receive: Receive, send: Send) -> None:
        async def send_closing(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start" and is_stopping():
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await app(scope, receive, send_closing)

    return closing
