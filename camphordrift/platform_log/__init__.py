"""The platform's append-only log service, as the system uses it."""

from camphordrift.platform_log._transport import (
    AppendRefusedError,
    AppendUnsureError,
    LogRecord,
    LogTransport,
    LogUnavailableError,
    OffsetTruncatedError,
    ReadBatch,
)

__all__ = [
    "AppendRefusedError",
    "AppendUnsureError",
    "LogRecord",
    "LogTransport",
    "LogUnavailableError",
    "OffsetTruncatedError",
    "ReadBatch",
]
