"""Loads the recorded responses to repeated calls from a cache or the log."""

from dataclasses import replace

import trio
from returns import result

from camphordrift.calls._key_state import KeyFinished
from camphordrift.calls._keys import CallKey
from camphordrift.calls._messages import CallOutcome
from camphordrift.calls._outcome_cache import OutcomeCache
from camphordrift.calls._outcomes import outcome_from_state
from camphordrift.calls._partitions import claim_stream, partition_of_key
from camphordrift.record_log import RecordLog


class RecordedOutcomes:
    """Reads responses from the log, and caches recent ones for when it is unavailable."""

    def __init__(self, log: RecordLog, read_timeout_seconds: float) -> None:
        self._log = log
        self._read_timeout_seconds = read_timeout_seconds
        self._cache = OutcomeCache()

    @property
    def cached_bytes(self) -> int:
        """Total size of the cached responses in bytes."""
        return self._cache.used_bytes

    def put(self, key: CallKey, outcome: CallOutcome) -> None:
        """Caches the response of a call that this VM has just dispatched."""
        self._cache.put(key, replace(outcome, repeated=True))

    async def load(self, key: CallKey, finished: KeyFinished) -> CallOutcome:
        """Returns the recorded response.

        It has no body if the body was too large to be recorded or the log cannot be read.
        """
        cached = self._cache.get(key)
        if cached is not None:
            return cached
        if not finished.body_stored:
            return outcome_from_state(finished, None)
        stream = claim_stream(partition_of_key(key))
        deadline = trio.current_time() + self._read_timeout_seconds
        match await self._log.read_record(stream, finished.offset, deadline):
            case result.Success(record):
                outcome = outcome_from_state(finished, record.payload)
                self._cache.put(key, outcome)
                return outcome
        return outcome_from_state(finished, None)
