"""Signals, received in the loop."""

import signal
import sys
from collections.abc import Callable
from typing import Protocol

import trio

from camphordrift.telemetry._logging import log_event
from camphordrift.telemetry._state_dump import StateDump


class StartReport(Protocol):
    """What ``nursery.start`` hands to a task, which reports that it has started."""

    def started(self) -> None:
        """Lets the caller of ``nursery.start`` go on."""
        ...


def write_to_standard_error(content: bytes) -> None:
    """Writes a dump where log lines go."""
    sys.stderr.buffer.write(content)
    sys.stderr.buffer.flush()


async def dump_on_signal(
    dump: StateDump,
    write: Callable[[bytes], None] = write_to_standard_error,
    task_status: StartReport = trio.TASK_STATUS_IGNORED,
) -> None:
    """Writes the state dump whenever SIGUSR1 arrives. Runs until cancelled.

    Start it with ``nursery.start`` so that no signal arrives before it listens.
    """
    with trio.open_signal_receiver(signal.SIGUSR1) as received:
        task_status.started()
        async for _ in received:
            content = dump.render()
            log_event("state_dump", size_bytes=len(content))
            write(content)


async def call_on_stop_signal(
    stop: Callable[[], None],
    task_status: StartReport = trio.TASK_STATUS_IGNORED,
) -> None:
    """Calls ``stop`` when SIGTERM or SIGINT arrives first, then returns."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        task_status.started()
        async for number in received:
            log_event("stop_requested", signal=signal.Signals(number).name)
            stop()
            return
