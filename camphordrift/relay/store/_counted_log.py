"""Wrapper around a keyed log that counts its calls in a metric."""

from collections.abc import Awaitable
from typing import TypeVar

from camphordrift.relay.model import Batch, HistoryLostError, KeyedLog, KeyedRecord, StoreError
from camphordrift.telemetry import Counter

_Result = TypeVar("_Result")


class CountedLog:
    """Implements :class:`KeyedLog`; counts calls by operation and outcome."""

    def __init__(self, log: KeyedLog, calls: Counter) -> None:
        self._log = log
        self._calls = calls

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key."""
        return await self._count_call("newest", self._log.newest(topic))

    async def read(self, topic: str, offset: int, wait: float) -> Batch:
        """Returns records starting at ``offset``."""
        return await self._count_call("read", self._log.read(topic, offset, wait))

    async def append(self, topic: str, record: KeyedRecord) -> int:
        """Appends a record and returns the era of the store that contains it."""
        return await self._count_call("append", self._log.append(topic, record))

    async def _count_call(self, call: str, pending_call: Awaitable[_Result]) -> _Result:
        outcome = "given_up"
        try:
            result = await pending_call
            outcome = "answered"
            return result
        except HistoryLostError:
            outcome = "history_lost"
            raise
        except StoreError:
            outcome = "failed"
            raise
        finally:
            self._calls.add(call=call, outcome=outcome)
