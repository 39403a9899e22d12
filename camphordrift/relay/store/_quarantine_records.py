"""Keeps quarantined traits of requests on the store, for VMs that all start again.

VMs tell each other what they know, so the records are needed only if no VM is left that knows it,
or if VMs cannot reach each other. The leader writes them. VMs without a leader read them together
with the members, so they cost no further reads.
"""

import time
from collections.abc import Callable

import trio

from camphordrift.event_log import LogLevel, log_event
from camphordrift.relay.crashes import Traits
from camphordrift.relay.model import KeyedLog, KeyedRecord, StoreError
from camphordrift.relay.peers import CrashMonitor
from camphordrift.relay.store._store_era import StoreEraTracker

#: Prefix of the keys of records in the members' topic; the ids of the traits follow.
KEY_PREFIX = "quarantine/"

#: Maximum length of a key in bytes; quarantines with longer ones are not stored.
MAX_KEY_LENGTH = 255

#: Maximum number of digits of a time in milliseconds since 1970.
MAX_TIME_DIGITS = 15

#: Seconds between checks of whether a record has to be written or deleted.
CHECK_INTERVAL = 0.5

#: Seconds for which a VM must have been the leader before it writes records. VMs that lose their
#: leader may each become the leader for a moment.
SETTLING_PERIOD = 1.0

#: Seconds until the next attempt after the store failed.
RETRY_INTERVAL = 2.0


class QuarantineRecords:
    """Reads and writes the records of quarantined traits.

    A record contains the beginning of the quarantine by the writer's clock. A clock that is off
    only shortens or lengthens the quarantine.

    Args:
        log: The store.
        topic: Topic of the members.
        traits: The quarantined traits as this VM knows them.
        eras: Tracks restores of the store, which may lack records that were written.
        is_leader: Returns whether this VM is the leader.

    """

    def __init__(
        self,
        log: KeyedLog,
        topic: str,
        traits: CrashMonitor,
        eras: StoreEraTracker,
        is_leader: Callable[[], bool],
    ) -> None:
        self._log = log
        self._topic = topic
        self._crashes = traits
        self._is_leader = is_leader
        #: Quarantines of which this VM has read or written a record.
        self._stored: set[Traits] = set()
        eras.call_on_restore(self._stored.clear)

    def read(self, record: KeyedRecord) -> bool:
        """Applies a record of the members' topic; returns whether it is one of a quarantine."""
        if not record.key.startswith(KEY_PREFIX):
            return False
        traits = tuple(record.key.removeprefix(KEY_PREFIX).split(","))
        value = record.value or b""
        if not value.isdigit() or len(value) > MAX_TIME_DIGITS:
            self._stored.discard(traits)
            return True
        started_ms = int(value)
        self._stored.add(traits)
        self._crashes.add_quarantined(traits, max(0.0, time.time() - started_ms / 1000))
        return True

    async def run(self) -> None:
        """Writes and deletes records while this VM is the leader, until cancelled."""
        leader_since = trio.current_time()
        while True:
            await trio.sleep(CHECK_INTERVAL)
            if not self._is_leader():
                leader_since = trio.current_time()
            elif trio.current_time() - leader_since >= SETTLING_PERIOD:
                try:
                    await self._write_changes()
                except StoreError as error:
                    log_event("quarantine_unwritten", level=LogLevel.WARNING, reason=str(error))
                    await trio.sleep(RETRY_INTERVAL)

    async def _write_changes(self) -> None:
        quarantined = self._crashes.quarantined_traits()
        for traits in sorted(quarantined.keys() - self._stored):
            started_ms = int((time.time() - quarantined[traits]) * 1000)
            if len(_key(traits)) <= MAX_KEY_LENGTH:
                await self._log.append(self._topic, KeyedRecord(_key(traits), b"%d" % started_ms))
            self._stored.add(traits)
        for traits in sorted(self._stored - quarantined.keys()):
            if len(_key(traits)) <= MAX_KEY_LENGTH:
                await self._log.append(self._topic, KeyedRecord(_key(traits), None))
            self._stored.discard(traits)


def _key(traits: Traits) -> str:
    return KEY_PREFIX + ",".join(traits)
