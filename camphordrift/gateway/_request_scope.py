"""Runs the work on a request, and cancels it when the caller disconnects."""

from collections.abc import Awaitable, Callable

import trio
from starlette.types import Receive


async def run_while_connected(receive: Receive, work: Callable[[], Awaitable[None]]) -> bool:
    """Runs ``work`` and cancels it if the caller disconnects; returns whether ``work`` finished.

    The request body must have been read, so that a disconnect is the only message left to receive.
    """
    finished = False

    async def watch(scope: trio.CancelScope) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch, nursery.cancel_scope)
        await work()
        finished = True
        nursery.cancel_scope.cancel()
    return finished
