"""Appends heartbeat records to idle claims streams.

The log drops old records. A process that starts later knows all claims made after the append time
of the oldest record that is left, so a stream must always have a fairly recent record.
"""

import random
from collections.abc import Callable

import trio

from camphordrift.calls._ledger import ClaimLedger
from camphordrift.calls._record_codec import encode_call_record
from camphordrift.calls._records import HeartbeatRecord, new_record_id
from camphordrift.record_log import RecordLog

#: Number of checks of a stream during one heartbeat interval.
_CHECKS_PER_INTERVAL = 8

#: Timeout in seconds of the append of a heartbeat record.
_APPEND_TIMEOUT_SECONDS = 5.0


def heartbeat_is_due(ledger: ClaimLedger, wall_now: float, interval_seconds: float) -> bool:
    """Returns whether the stream needs a heartbeat record now.

    Normally that is so when the stream was idle for ``interval_seconds``. A stream that was never
    written to needs none, since its complete history is known. A stream whose records were all
    dropped needs one at once, since no key can be decided on before the next record.
    """
    if ledger.has_unrecovered_gap:
        return True
    if ledger.next_offset == 0:
        return False
    return wall_now - ledger.log_time >= interval_seconds


async def append_heartbeats(
    log: RecordLog,
    stream: str,
    ledger: ClaimLedger,
    interval_seconds: float,
    wall_clock: Callable[[], float],
    jitter: random.Random,
) -> None:
    """Appends a heartbeat record whenever one is due, until cancelled.

    Every VM does so. The random delay makes simultaneous appends rare; they are harmless.
    """
    while True:
        await trio.sleep(interval_seconds / _CHECKS_PER_INTERVAL * jitter.uniform(0.5, 1.5))
        if heartbeat_is_due(ledger, wall_clock(), interval_seconds):
            payload = encode_call_record(HeartbeatRecord(record_id=new_record_id()))
            await log.append(stream, payload, trio.current_time() + _APPEND_TIMEOUT_SECONDS)
