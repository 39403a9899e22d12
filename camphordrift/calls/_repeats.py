"""Finds the recorded answers that repeats get."""

from dataclasses import replace

import trio
from returns import result

from camphordrift.calls._keys import CallKey
from camphordrift.calls._messages import CallOutcome
from camphordrift.calls._outcome_cache import OutcomeCache
from camphordrift.calls._outcomes import outcome_of_finished
from camphordrift.calls._partitions import claim_partition, claim_stream
from camphordrift.calls._standing import KeyFinished
from camphordrift.record_log import RecordLog


class RepeatAnswers:
    """Loads answers from the log, and keeps recent ones for when it is down."""

    def __init__(self, log: RecordLog, read_timeout_seconds: float) -> None:
        self._log = log
        self._read_timeout_seconds = read_timeout_seconds
        self._cache = OutcomeCache()

    @property
    def cached_bytes(self) -> int:
        """Memory of the answers that are kept, in bytes."""
        return self._cache.used_bytes

    def remember(self, key: CallKey, outcome: CallOutcome) -> None:
        """Keeps an answer that a call on this VM just got."""
        self._cache.put(key, replace(outcome, repeated=True))

    async def load(self, key: CallKey, finished: KeyFinished) -> CallOutcome:
        """Returns the answer; without a body if the log does not keep it or cannot be read."""
        cached = self._cache.get(key)
        if cached is not None:
            return cached
        if not finished.body_kept:
            return outcome_of_finished(finished, None)
        stream = claim_stream(claim_partition(key))
        deadline = trio.current_time() + self._read_timeout_seconds
        match await self._log.read_record(stream, finished.offset, deadline):
            case result.Success(record):
                outcome = outcome_of_finished(finished, record.payload)
                self._cache.put(key, outcome)
                return outcome
        return outcome_of_finished(finished, None)
