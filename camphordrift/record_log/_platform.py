"""The record log on top of the platform's log service."""

from random import Random

import trio
from returns import result

from camphordrift.platform_log import (
    FollowedRecord,
    FollowerSettings,
    LogFollower,
    LogGap,
    LogRecord,
    LogTransport,
    LogUnavailableError,
    LogWriter,
    OffsetTruncatedError,
    decode_envelope,
)
from camphordrift.record_log._access import GapHandler, RecordHandler
from camphordrift.results import Failure, ResultCode


class _PayloadHandler:
    """Delivers a follower's records without their envelopes."""

    def __init__(self, on_record: RecordHandler, on_gap: GapHandler) -> None:
        self._on_record = on_record
        self._on_gap = on_gap

    def on_record(self, record: FollowedRecord) -> None:
        """Delivers the next record."""
        self._on_record(LogRecord(record.offset, record.payload, record.appended_at))

    def on_truncated(self, gap: LogGap) -> None:
        """Reports that the log dropped records."""
        self._on_gap()


class PlatformRecordLog:
    """Implements :class:`RecordLog` with a process's log writer and a transport to the log service.

    The writer's ``run`` must be running. After an append the follower of the stream reads at once,
    so that the decision on the record is known soon.
    """

    def __init__(
        self,
        transport: LogTransport,
        writer: LogWriter,
        follower_settings: FollowerSettings,
        random: Random,
    ) -> None:
        self._transport = transport
        self._writer = writer
        self._follower_settings = follower_settings
        self._random = random
        self._followers: dict[str, LogFollower] = {}

    async def append(
        self, stream: str, payload: bytes, deadline: float
    ) -> result.Result[int, Failure]:
        """Appends one record and returns its offset; see :class:`RecordLog`."""
        outcome = await self._writer.append(stream, payload, deadline)
        follower = self._followers.get(stream)
        if follower is not None:
            follower.request_read()
        return outcome

    async def follow(self, stream: str, on_record: RecordHandler, on_gap: GapHandler) -> None:
        """Delivers every retained record in offset order, until cancelled."""
        follower = LogFollower(
            self._transport,
            stream,
            _PayloadHandler(on_record, on_gap),
            self._follower_settings,
            trio.current_time,
            self._random,
        )
        self._followers[stream] = follower
        await follower.run()

    async def read_record(
        self, stream: str, offset: int, deadline: float
    ) -> result.Result[LogRecord, Failure]:
        """Reads one record without its envelope; see :class:`RecordLog`."""
        try:
            with trio.fail_at(deadline):
                batch = await self._transport.read(stream, offset, 1)
        except OffsetTruncatedError:
            detail = "the log no longer retains this record"
            return result.Failure(Failure(ResultCode.LOG_OFFSET_TRUNCATED, detail))
        except (LogUnavailableError, trio.TooSlowError):
            detail = "the log service is unavailable or did not respond to the read in time"
            return result.Failure(Failure(ResultCode.LOG_UNAVAILABLE, detail))
        for record in batch.records:
            envelope = decode_envelope(record.payload)
            if envelope is not None and record.offset == offset:
                unwrapped = LogRecord(record.offset, envelope.payload, record.appended_at)
                return result.Success(unwrapped)
        detail = "the log has no record at this offset"
        return result.Failure(Failure(ResultCode.LOG_OFFSET_TRUNCATED, detail))
