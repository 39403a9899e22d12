"""Logs: one line of key=value pairs for each event."""

from camphordrift.event_log._logging import (
    REDACTED,
    LogLevel,
    configure_logging,
    format_event,
    is_secret_name,
    log_event,
    redact_keys,
    request_context,
)

__all__ = [
    "REDACTED",
    "LogLevel",
    "configure_logging",
    "format_event",
    "is_secret_name",
    "log_event",
    "redact_keys",
    "request_context",
]
