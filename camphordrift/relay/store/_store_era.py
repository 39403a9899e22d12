"""Tracks restores of the store from an older copy, and rejects responses from before them."""

from collections.abc import Awaitable, Callable
from typing import Optional, TypeVar

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.model import Batch, HistoryLostError, KeyedLog, KeyedRecord, StoreError

_Result = TypeVar("_Result")


class StoreEraTracker:
    """Tracks the era of the store and notifies of restores.

    The era that a VM learns first is no restore, as the VM knows nothing of earlier ones.
    """

    def __init__(self) -> None:
        self._era: Optional[int] = None
        self._on_restore: list[Callable[[], None]] = []
        self._restored = trio.Event()

    @property
    def era(self) -> int:
        """Highest era known; 0 if none is."""
        return self._era or 0

    def call_on_restore(self, callback: Callable[[], None]) -> None:
        """Calls ``callback`` after each increase of the era."""
        self._on_restore.append(callback)

    def observe(self, era: int, source: str) -> bool:
        """Records the era that a response states; returns whether the response is up to date.

        Args:
            era: The stated era.
            source: Topic or VM from which the response comes, for the log.

        """
        previous_era = self._era
        if previous_era is not None and era <= previous_era:
            return era == previous_era
        self._era = era
        if previous_era is not None:
            log_event(
                "store_restored",
                level=LogLevel.WARNING,
                previous_era=previous_era,
                era=era,
                source=source,
            )
            self._signal_restore()
        return True

    async def wait_until_later(self, era: int) -> None:
        """Waits until the store was restored after the given era."""
        while self.era <= era:
            await self._restored.wait()

    def observe_peer(self, era: int, vm: str) -> None:
        """Records the era that another VM knows; 0 means that it knows none."""
        if era > 0:
            self.observe(era, vm)

    def _signal_restore(self) -> None:
        self._restored.set()
        self._restored = trio.Event()
        for callback in self._on_restore:
            callback()


class EraCheckedLog:
    """Implements :class:`KeyedLog`; rejects responses of an earlier era.

    Such a response was delayed until after the restore, and its records may have been lost since.
    """

    def __init__(self, log: KeyedLog, eras: StoreEraTracker) -> None:
        self._log = log
        self._eras = eras

    async def newest(self, topic: str) -> Batch:
        """Returns the newest record of each key."""
        batch = await self._observe_failure(topic, self._log.newest(topic))
        self._check(batch.era, topic)
        return batch

    async def read(self, topic: str, offset: int, wait: float) -> Batch:
        """Returns records starting at ``offset``."""
        batch = await self._observe_failure(topic, self._log.read(topic, offset, wait))
        self._check(batch.era, topic)
        return batch

    async def append(self, topic: str, record: KeyedRecord) -> int:
        """Appends a record and returns the era of the store that contains it."""
        era = await self._observe_failure(topic, self._log.append(topic, record))
        self._check(era, topic)
        return era

    def _check(self, era: int, topic: str) -> None:
        if not self._eras.observe(era, topic):
            raise StoreError(f"response of era {era}, but the store is in era {self._eras.era}")

    async def _observe_failure(self, topic: str, pending_call: Awaitable[_Result]) -> _Result:
        try:
            return await pending_call
        except HistoryLostError as error:
            if error.era is not None:
                self._check(error.era, topic)
            raise
        except StoreError as error:
            if error.era is not None:
                self._eras.observe(error.era, topic)
            raise
