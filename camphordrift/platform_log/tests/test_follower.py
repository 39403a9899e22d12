"""Tests of following a stream through outages, truncation and data loss of the log service."""

from collections.abc import Awaitable, Callable
from random import Random

import testtools
import trio

from camphordrift.platform_log import (
    FollowedRecord,
    FollowerSettings,
    LogFollower,
    LogGap,
    RecordEnvelope,
    RecordId,
    decode_envelope,
    encode_envelope,
)
from camphordrift.standins import InMemoryLogService, LogLimits
from camphordrift.testing import run_in_virtual_time

_STREAM = "s"


def _record(number: int) -> bytes:
    record_id = RecordId(number.to_bytes(16, "big"))
    return encode_envelope(RecordEnvelope(record_id, "vm-1", b"%d" % number))


class _Recorder:
    def __init__(self) -> None:
        self.payloads: list[int] = []
        self.gaps: list[LogGap] = []

    def on_record(self, record: FollowedRecord) -> None:
        self.payloads.append(int(record.payload))

    def on_truncated(self, gap: LogGap) -> None:
        self.gaps.append(gap)


_Body = Callable[[InMemoryLogService, LogFollower, _Recorder], Awaitable[None]]


def _run(body: _Body, prepare: Callable[[InMemoryLogService], Awaitable[None]]) -> None:
    async def main() -> None:
        service = InMemoryLogService(trio.current_time, LogLimits())
        await prepare(service)
        recorder = _Recorder()
        follower = LogFollower(
            service,
            _STREAM,
            recorder,
            FollowerSettings(read_records=3),
            trio.current_time,
            Random(1),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            await body(service, follower, recorder)
            nursery.cancel_scope.cancel()

    run_in_virtual_time(main)


async def _append_ten_records(service: InMemoryLogService) -> None:
    await service.append(_STREAM, [_record(number) for number in range(10)])


class LogFollowerTest(testtools.TestCase):
    def test_delivers_each_record_once_and_in_order(self) -> None:
        async def body(
            service: InMemoryLogService, follower: LogFollower, recorder: _Recorder
        ) -> None:
            await follower.wait_until_read(9)
            await service.append(_STREAM, [_record(3), b"garbage", _record(10)])
            follower.request_read()
            await follower.wait_until_read(12)
            self.assertEqual(list(range(11)), recorder.payloads)
            self.assertEqual(1, follower.position.dropped_duplicate_count)
            self.assertEqual(1, follower.position.unreadable)
            self.assertTrue(follower.caught_up)

        _run(body, _append_ten_records)

    def test_resumes_after_an_outage_within_the_maximum_backoff(self) -> None:
        async def body(
            service: InMemoryLogService, follower: LogFollower, recorder: _Recorder
        ) -> None:
            await follower.wait_until_read(9)
            service.faults.begin_outage()
            await trio.sleep(100)
            self.assertTrue(99 < follower.seconds_since_contact < 101)
            service.faults.end_outage()
            await service.append(_STREAM, [_record(10)])
            with trio.fail_after(1.5):
                await follower.wait_until_read(10)
            self.assertEqual(list(range(11)), recorder.payloads)

        _run(body, _append_ten_records)

    def test_resumes_after_a_read_without_response_times_out(self) -> None:
        async def body(
            service: InMemoryLogService, follower: LogFollower, recorder: _Recorder
        ) -> None:
            await follower.wait_until_read(9)
            service.faults.begin_outage(unresponsive=True)
            await trio.sleep(60)
            service.faults.end_outage()
            await service.append(_STREAM, [_record(10)])
            with trio.fail_after(12):
                await follower.wait_until_read(10)

        _run(body, _append_ten_records)

    def test_reports_records_that_were_truncated_before_they_were_read(self) -> None:
        async def truncated(service: InMemoryLogService) -> None:
            await _append_ten_records(service)
            service.truncate(_STREAM, 4)

        async def body(
            service: InMemoryLogService, follower: LogFollower, recorder: _Recorder
        ) -> None:
            await follower.wait_until_read(9)
            self.assertEqual([LogGap(0, 4)], recorder.gaps)
            self.assertEqual(list(range(4, 10)), recorder.payloads)

        _run(body, truncated)

    def test_position_never_decreases_when_the_log_loses_its_tail(self) -> None:
        async def body(
            service: InMemoryLogService, follower: LogFollower, recorder: _Recorder
        ) -> None:
            await follower.wait_until_read(9)
            service.lose_tail(_STREAM, 6)
            await service.append(_STREAM, [_record(20)])
            await trio.sleep(5)
            self.assertTrue(follower.position.lost_tail)
            self.assertEqual(10, follower.next_offset)
            self.assertEqual(list(range(10)), recorder.payloads)

        _run(body, _append_ten_records)

    def test_skips_only_forward(self) -> None:
        async def body(
            service: InMemoryLogService, follower: LogFollower, recorder: _Recorder
        ) -> None:
            follower.skip_to(8)
            follower.skip_to(2)
            self.assertFalse(follower.position.lost_tail)
            await follower.wait_until_read(9)
            self.assertEqual([8, 9], recorder.payloads)

        _run(body, _append_ten_records)

    def test_a_skip_during_an_outage_is_not_a_lost_tail(self) -> None:
        async def body(
            service: InMemoryLogService, follower: LogFollower, recorder: _Recorder
        ) -> None:
            await follower.wait_until_read(9)
            service.faults.begin_outage()
            follower.skip_to(12)
            await trio.sleep(5)
            self.assertFalse(follower.position.lost_tail)
            service.faults.end_outage()
            await trio.sleep(5)
            self.assertTrue(follower.position.lost_tail)

        _run(body, _append_ten_records)


class EnvelopeTest(testtools.TestCase):
    def test_ignores_fields_of_a_later_version(self) -> None:
        import msgpack

        encoded = msgpack.packb((2, bytes(16), "vm-9", b"x", "a later field"))
        self.assertEqual(
            RecordEnvelope(RecordId(bytes(16)), "vm-9", b"x"), decode_envelope(encoded)
        )

    def test_rejects_bytes_that_are_not_an_envelope(self) -> None:
        import msgpack

        cases = (
            b"",
            b"\xc1",
            msgpack.packb(7),
            msgpack.packb((1, b"short", "w", b"x")),
            b"\x94\x01",
        )
        for encoded in cases:
            self.assertIsNone(decode_envelope(encoded), repr(encoded))
