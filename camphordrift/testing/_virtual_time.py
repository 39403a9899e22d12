"""Runs asynchronous tests on a clock that jumps to the next timer, so no test waits."""

import importlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import trio
import trio.testing

T = TypeVar("T")


def run_in_virtual_time(main: Callable[[], Awaitable[T]]) -> T:
    """Runs ``main`` in a trio loop whose clock jumps whenever every task is waiting.

    Use it for code whose input and output are in memory. Code that uses sockets needs the real
    clock, since the virtual one does not see that a socket is about to become ready. Tasks are
    scheduled in the same order each time, so that a seed repeats a whole run.
    """
    _schedule_repeatably()
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


def _schedule_repeatably() -> None:
    """Has trio order its tasks as in the last run, by the switch that its own plugins use."""
    scheduler: Any = importlib.import_module("trio._core._run")
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(0)
