"""Runs asynchronous tests on a clock that jumps to the next timer, so no test waits."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
import trio.testing

T = TypeVar("T")


def run_in_virtual_time(main: Callable[[], Awaitable[T]]) -> T:
    """Runs ``main`` in a trio loop whose clock jumps whenever every task is waiting.

    Use it for code whose input and output are in memory. Code that uses sockets needs the real
    clock, since the virtual one does not see that a socket is about to become ready.
    """
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
