"""Follows one topic of the keyed log."""

from typing import Optional

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.model import Batch, HistoryLostError, KeyedLog, StoreError
from camphordrift.relay.store._store_era import StoreEraTracker

#: Seconds before the first retry while the store is unavailable, and the maximum. The interval
#: doubles after each retry.
STORE_RETRY_INTERVAL = 0.25
MAX_STORE_RETRY_INTERVAL = 0.5

#: Seconds between retries of a follower. It is longer because the leader notices when the store is
#: available again; with the shorter interval a large fleet would make most of its calls to the
#: store during an outage.
FOLLOWER_RETRY_INTERVAL = 1.0

#: Seconds between a follower's checks of the ages of what its leader forwards.
AGE_CHECK_INTERVAL = 0.1


#: Seconds within which a long poll must return after it has waited for a record. A slow store takes
#: 0.25 s. Other reads have the longer time limit of the store's client, so that a store that is
#: slower still can be read.
LONG_POLL_RESPONSE_TIMEOUT = 0.5


class TopicWatcher:
    """Reads a topic: first the newest record of every key, then the records that follow.

    It starts again from the newest records if records that it has not read have expired, or if the
    store was restored from an older copy, which assigns the offsets again.
    """

    def __init__(self, log: KeyedLog, eras: StoreEraTracker, topic: str) -> None:
        self._log = log
        self._eras = eras
        self._topic = topic
        self._offset: Optional[int] = None
        #: Era of the last batch, in which the offset is valid.
        self._era = 0
        self._reachable = True
        self._retry_interval = STORE_RETRY_INTERVAL

    async def next_batch(self, timeout: float) -> tuple[Batch, bool]:
        """Returns records, and whether they are a snapshot with the newest record of every key.

        Args:
            timeout: Seconds to wait for a record if there is none.

        Raises:
            StoreError: The store did not respond as expected.

        """
        if self._era != self._eras.era:
            self._offset = None
        try:
            is_snapshot = self._offset is None
            if self._offset is None:
                batch = await self._log.newest(self._topic)
            else:
                # After a failure the read returns at once, so that the recovery of the store is
                # noticed soon.
                batch = await self._read(self._offset, timeout if self._reachable else 0.0)
        except HistoryLostError:
            log_event("history_lost", level=LogLevel.WARNING, topic=self._topic)
            self._offset = None
            return await self.next_batch(timeout)
        except StoreError as error:
            self._record_reachable(False, str(error))
            raise
        self._record_reachable(True, "")
        if batch.era != self._era and not is_snapshot:
            # The records follow the same offset of another era.
            self._offset = None
            return await self.next_batch(timeout)
        self._offset, self._era = batch.next_offset, batch.era
        return batch, is_snapshot

    async def _read(self, offset: int, timeout: float) -> Batch:
        limit = timeout + LONG_POLL_RESPONSE_TIMEOUT if timeout else float("inf")
        with trio.move_on_after(limit):
            return await self._log.read(self._topic, offset, timeout)
        raise StoreError("no response to a long poll")

    @property
    def reachable(self) -> bool:
        """Whether the last read of the topic from the store succeeded."""
        return self._reachable

    def restart_from_snapshot(self) -> None:
        """Makes the next batch a snapshot, instead of the records since the last batch."""
        self._offset = None

    async def back_off(self, has_leader: bool) -> None:
        """Waits before the next read of the store after a failed one.

        Args:
            has_leader: Whether this VM has a leader; its interval is then longer and constant.

        """
        await trio.sleep(FOLLOWER_RETRY_INTERVAL if has_leader else self._retry_interval)
        self._retry_interval = min(MAX_STORE_RETRY_INTERVAL, self._retry_interval * 2)

    def _record_reachable(self, reachable: bool, reason: str) -> None:
        if reachable:
            self._retry_interval = STORE_RETRY_INTERVAL
        if reachable != self._reachable:
            self._reachable = reachable
            event = "store_regained" if reachable else "store_lost"
            log_event(event, level=LogLevel.WARNING, topic=self._topic, reason=reason)
