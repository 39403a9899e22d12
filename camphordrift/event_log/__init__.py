"""Structured logs: one line of key=value pairs for each event."""

from camphordrift.event_log._bounded_output import BoundedLogHandler, configure_bounded_logging
from camphordrift.event_log._explanation import (
    Explanation,
    LogLine,
    explain_request,
    parse_log_line,
)
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
    "BoundedLogHandler",
    "Explanation",
    "LogLevel",
    "LogLine",
    "configure_bounded_logging",
    "configure_logging",
    "explain_request",
    "format_event",
    "is_secret_name",
    "log_event",
    "parse_log_line",
    "redact_keys",
    "request_context",
]
