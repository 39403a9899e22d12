"""Handles the signals for a state dump and for a graceful shutdown in the event loop.

The caller opens the signal receiver before it starts the tasks, so that no signal is missed.

Example::

    with trio.open_signal_receiver(DUMP_SIGNAL) as signals:
        nursery.start_soon(dump_on_signal, signals, dump)
"""

import signal
import sys
from collections.abc import AsyncIterator, Callable

from camphordrift.event_log import log_event
from camphordrift.telemetry._state_dump import StateDump

#: Signal that requests a state dump.
DUMP_SIGNAL = signal.SIGUSR1

#: Signals that request a graceful shutdown.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def write_to_standard_error(content: bytes) -> None:
    """Writes ``content`` to standard error, where logs are also written by default."""
    sys.stderr.buffer.write(content)
    sys.stderr.buffer.flush()


async def dump_on_signal(
    signals: AsyncIterator[int],
    dump: StateDump,
    write: Callable[[bytes], None] = write_to_standard_error,
) -> None:
    """Writes a state dump for each received signal. Runs until cancelled."""
    async for _ in signals:
        content = dump.render()
        log_event("state_dump", size_bytes=len(content))
        write(content)


async def call_on_stop_signal(signals: AsyncIterator[int], stop: Callable[[], None]) -> None:
    """Calls ``stop`` on the first received signal, then returns."""
    async for number in signals:
        log_event("stop_requested", signal=signal.Signals(number).name)
        stop()
        return
