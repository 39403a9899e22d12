"""Tests of the era tracking, and of responses that arrive after the store was restored."""

from collections.abc import Awaitable, Callable
from typing import Union

import testtools
import trio

from camphordrift.relay import Batch, HistoryLostError, KeyedRecord, StoreError
from camphordrift.relay.store._store_era import EraCheckedLog, StoreEraTracker
from camphordrift.relay.store._topic_watcher import TopicWatcher
from camphordrift.testing import run_in_virtual_time

Response = Union[Batch, HistoryLostError, StoreError]


class ScriptedLog:
    """Implements :class:`KeyedLog` with given responses, and records the calls."""

    def __init__(self, *responses: Response) -> None:
        self._responses = list(responses)
        self.calls: list[Union[str, int]] = []

    async def newest(self, topic: str) -> Batch:
        self.calls.append("newest")
        return self._respond()

    async def read(self, topic: str, offset: int, wait: float) -> Batch:
        self.calls.append(offset)
        return self._respond()

    async def append(self, topic: str, record: KeyedRecord) -> int:
        self.calls.append("append")
        return self._respond().era

    def _respond(self) -> Batch:
        response = self._responses.pop(0)
        if isinstance(response, Batch):
            return response
        raise response


def batch(next_offset: int, era: int) -> Batch:
    return Batch((), next_offset, era=era)


class StoreEraTrackerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.restores: list[int] = []
        self.eras = StoreEraTracker()
        self.eras.call_on_restore(lambda: self.restores.append(self.eras.era))

    def test_the_first_era_is_no_restore(self) -> None:
        self.assertTrue(self.eras.observe(7, "servers"))
        self.assertEqual((7, []), (self.eras.era, self.restores))

    def test_each_rise_is_a_restore_and_a_lower_era_is_not_up_to_date(self) -> None:
        observed = [self.eras.observe(era, "servers") for era in (0, 1, 1, 3, 2, 0, 3)]
        self.assertEqual([True, True, True, True, False, False, True], observed)
        self.assertEqual([1, 3], self.restores)

    def test_a_restore_is_logged(self) -> None:
        self.eras.observe(1, "servers")
        with self.assertLogs("absl", level="WARNING") as logs:
            self.eras.observe(3, "servers")
        self.assertIn("event=store_restored previous_era=1 era=3 source=servers", logs.output[0])

    def test_a_peer_that_knows_no_era_changes_nothing(self) -> None:
        self.eras.observe_peer(0, "leader")
        self.assertTrue(self.eras.observe(4, "servers"))
        self.eras.observe_peer(5, "leader")
        self.eras.observe_peer(4, "leader")
        self.assertEqual((5, [5]), (self.eras.era, self.restores))

    def test_waiting_ends_with_the_next_restore(self) -> None:
        async def main() -> None:
            self.eras.observe(4, "servers")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.eras.wait_until_later, 4)
                await trio.sleep(1.0)
                self.eras.observe(5, "servers")
            await self.eras.wait_until_later(4)

        run_in_virtual_time(main)


class EraCheckedLogTest(testtools.TestCase):
    def test_a_response_of_an_earlier_era_is_a_store_error(self) -> None:
        """Guards against a long poll that returns records which the restored store lacks."""

        async def main() -> None:
            eras = StoreEraTracker()
            eras.observe(3, "servers")
            log = EraCheckedLog(
                ScriptedLog(batch(5, 2), batch(5, 2), HistoryLostError("", 2), batch(5, 2)), eras
            )
            await self._assert_store_error(log.newest("servers"))
            await self._assert_store_error(log.read("servers", 5, 1.0))
            await self._assert_store_error(log.read("servers", 5, 1.0))
            await self._assert_store_error(log.append("servers", KeyedRecord("a", b"v")))
            self.assertEqual(3, eras.era)

        run_in_virtual_time(main)

    def test_failures_state_the_era_too(self) -> None:
        async def main() -> None:
            eras = StoreEraTracker()
            eras.observe(3, "servers")
            log = EraCheckedLog(ScriptedLog(StoreError("503", 4), StoreError("reset")), eras)
            await self._assert_store_error(log.newest("servers"))
            await self._assert_store_error(log.newest("servers"))
            self.assertEqual(4, eras.era)

        run_in_virtual_time(main)

    async def _assert_store_error(self, call: Awaitable[object]) -> None:
        with testtools.ExpectedException(StoreError):
            await call


class TopicWatcherTest(testtools.TestCase):
    def test_a_response_of_a_later_era_is_replaced_by_a_snapshot(self) -> None:
        """Guards against records that are skipped because the offset exists again."""

        async def check(watcher: TopicWatcher, log: ScriptedLog) -> None:
            await watcher.next_batch(1.0)
            self.assertEqual((batch(4, 2), True), await watcher.next_batch(1.0))
            self.assertEqual((batch(5, 2), False), await watcher.next_batch(1.0))
            self.assertEqual(["newest", 9, "newest", 4], log.calls)

        self._run(check, batch(9, 1), batch(10, 2), batch(4, 2), batch(5, 2))

    def test_a_lost_offset_of_a_later_era_is_replaced_by_a_snapshot(self) -> None:
        async def check(watcher: TopicWatcher, log: ScriptedLog) -> None:
            await watcher.next_batch(1.0)
            self.assertEqual((batch(4, 2), True), await watcher.next_batch(1.0))
            self.assertEqual(["newest", 9, "newest"], log.calls)

        self._run(check, batch(9, 1), HistoryLostError("", 2), batch(4, 2))

    def test_no_offset_is_read_after_another_topic_showed_a_restore(self) -> None:
        async def check(watcher: TopicWatcher, log: ScriptedLog) -> None:
            await watcher.next_batch(1.0)
            watcher._eras.observe(2, "operators")
            await watcher.next_batch(1.0)
            self.assertEqual(["newest", "newest"], log.calls)

        self._run(check, batch(9, 1), batch(4, 2))

    def test_two_restores_during_one_read(self) -> None:
        async def check(watcher: TopicWatcher, log: ScriptedLog) -> None:
            await watcher.next_batch(1.0)
            self.assertEqual((batch(3, 3), True), await watcher.next_batch(1.0))
            self.assertEqual((batch(4, 3), False), await watcher.next_batch(1.0))

        self._run(check, batch(9, 1), batch(9, 2), batch(3, 3), batch(4, 3))

    def _run(
        self,
        check: Callable[[TopicWatcher, ScriptedLog], Awaitable[None]],
        *responses: Response,
    ) -> None:
        async def main() -> None:
            log, eras = ScriptedLog(*responses), StoreEraTracker()
            await check(TopicWatcher(EraCheckedLog(log, eras), eras, "servers"), log)

        run_in_virtual_time(main)
