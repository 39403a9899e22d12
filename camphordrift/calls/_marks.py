"""Keeps a claims stream from falling silent, so that its oldest record shows how far it reaches."""

import random
from collections.abc import Callable

import trio

from camphordrift.calls._ledger import ClaimLedger
from camphordrift.calls._record_codec import encode_call_record
from camphordrift.calls._records import HeartbeatRecord, new_record_id
from camphordrift.record_log import RecordLog

#: How often a stream is looked at, as a fraction of the interval between marks.
_CHECKS_PER_INTERVAL = 8

#: Time given to the append of a mark, in seconds.
_APPEND_TIMEOUT_SECONDS = 5.0


def mark_is_due(ledger: ClaimLedger, wall_now: float, interval_seconds: float) -> bool:
    """Whether the stream has had no record for the interval.

    An empty stream that was never written to needs none: it is known from its start. One whose
    records were all dropped needs one at once, since no key can be decided on before it.
    """
    if ledger.gap_open:
        return True
    if ledger.next_offset == 0:
        return False
    return wall_now - ledger.log_time >= interval_seconds


async def keep_stream_marked(
    log: RecordLog,
    stream: str,
    ledger: ClaimLedger,
    interval_seconds: float,
    wall_clock: Callable[[], float],
    jitter: random.Random,
) -> None:
    """Appends a mark whenever one is due, for ever.

    Every VM does so; the random delay makes it rare that two do at once, which is harmless.
    """
    while True:
        await trio.sleep(interval_seconds / _CHECKS_PER_INTERVAL * jitter.uniform(0.5, 1.5))
        if mark_is_due(ledger, wall_clock(), interval_seconds):
            payload = encode_call_record(HeartbeatRecord(record_id=new_record_id()))
            await log.append(stream, payload, trio.current_time() + _APPEND_TIMEOUT_SECONDS)
