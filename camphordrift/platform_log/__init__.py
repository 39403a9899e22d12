"""Client of the platform's append-only log service: a batching writer and a stream follower.

The log consists of named streams. A record's offset is its position in its stream, counted from 0.
"""

from camphordrift.platform_log._duplicates import DuplicateFilter
from camphordrift.platform_log._envelope import (
    RecordEnvelope,
    RecordId,
    decode_envelope,
    encode_envelope,
    new_record_id,
)
from camphordrift.platform_log._follower import LogFollower, LogHandler
from camphordrift.platform_log._pacing import AppendBudget, Backoff
from camphordrift.platform_log._settings import FollowerSettings, WriterSettings
from camphordrift.platform_log._stream_position import FollowedRecord, LogGap, StreamPosition
from camphordrift.platform_log._transport import (
    AppendRefusedError,
    AppendUnsureError,
    LogRecord,
    LogTransport,
    LogUnavailableError,
    OffsetTruncatedError,
    ReadBatch,
)
from camphordrift.platform_log._writer import LogWriter, WriterStatistics

__all__ = [
    "AppendBudget",
    "AppendRefusedError",
    "AppendUnsureError",
    "Backoff",
    "DuplicateFilter",
    "FollowedRecord",
    "FollowerSettings",
    "LogFollower",
    "LogGap",
    "LogHandler",
    "LogRecord",
    "LogTransport",
    "LogUnavailableError",
    "LogWriter",
    "OffsetTruncatedError",
    "ReadBatch",
    "RecordEnvelope",
    "RecordId",
    "StreamPosition",
    "WriterSettings",
    "WriterStatistics",
    "decode_envelope",
    "encode_envelope",
    "new_record_id",
]
