"""Runs asynchronous tests on a virtual clock that jumps to the next timer."""

import importlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import trio
import trio.testing

T = TypeVar("T")


def run_in_virtual_time(main: Callable[[], Awaitable[T]]) -> T:
    """Runs ``main`` in a trio loop whose clock advances as soon as all tasks are blocked.

    Use it for code whose input and output are in memory. Code that uses sockets needs the real
    clock, since the virtual clock does not wait for a socket that is about to become ready. Tasks
    are scheduled in a deterministic order, so that a run with the same seed is identical.
    """
    _schedule_deterministically()
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


def _schedule_deterministically() -> None:
    """Makes trio's task order deterministic, using the private switch of its own test plugins."""
    scheduler: Any = importlib.import_module("trio._core._run")
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(0)
