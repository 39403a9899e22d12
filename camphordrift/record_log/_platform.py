"""The platform's log behind the interface of the folds."""

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


class _Handler:
    """Hands a follower's records on without their envelopes."""

    def __init__(self, on_record: RecordHandler, on_gap: GapHandler) -> None:
        self._on_record = on_record
        self._on_gap = on_gap

    def on_record(self, record: FollowedRecord) -> None:
        """Hands the next record on."""
        self._on_record(LogRecord(record.offset, record.payload, record.appended_at))

    def on_truncated(self, gap: LogGap) -> None:
        """Tells that records were dropped."""
        self._on_gap()


class PlatformRecordLog:
    """Implements :class:`RecordLog` over a process's log writer and the service's transport.

    The writer's ``run`` must be running. An append makes the follower of its stream read at once,
    so that the appender soon learns its place.
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
        """Appends one record and returns its offset."""
        appended = await self._writer.append(stream, payload, deadline)
        follower = self._followers.get(stream)
        if follower is not None:
            follower.request_read()
        return appended

    async def follow(self, stream: str, on_record: RecordHandler, on_gap: GapHandler) -> None:
        """Hands on every record that is kept, in order, for ever."""
        follower = LogFollower(
            self._transport,
            stream,
            _Handler(on_record, on_gap),
            self._follower_settings,
            trio.current_time,
            self._random,
        )
        self._followers[stream] = follower
        await follower.run()

    async def read_record(
        self, stream: str, offset: int, deadline: float
    ) -> result.Result[LogRecord, Failure]:
        """Reads one record."""
        try:
            with trio.fail_at(deadline):
                batch = await self._transport.read(stream, offset, 1)
        except OffsetTruncatedError:
            detail = "the log no longer keeps this record"
            return result.Failure(Failure(ResultCode.LOG_OFFSET_TRUNCATED, detail))
        except (LogUnavailableError, trio.TooSlowError):
            detail = "the log service did not answer the read"
            return result.Failure(Failure(ResultCode.LOG_UNAVAILABLE, detail))
        for record in batch.records:
            envelope = decode_envelope(record.payload)
            if envelope is not None and record.offset == offset:
                opened = LogRecord(record.offset, envelope.payload, record.appended_at)
                return result.Success(opened)
        detail = "the log has no such record"
        return result.Failure(Failure(ResultCode.LOG_OFFSET_TRUNCATED, detail))
