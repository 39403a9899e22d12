"""Formats and writes events as lines of key=value pairs."""

import contextlib
import datetime
import logging as standard_logging
import math
import re
import sys
from collections.abc import Iterable, Iterator, Mapping
from contextvars import ContextVar
from enum import Enum
from typing import Optional, TextIO

from absl import logging

from camphordrift.identifiers import RequestId

#: Maximum number of characters of a value; longer values are truncated and end with ``...``.
MAX_VALUE_CHARACTERS = 500

#: Text that replaces secrets in log lines.
REDACTED = "[redacted]"

#: Names of fields that contain secrets. Idempotency keys are not secret: operators search for them.
_SECRET_NAME = re.compile(
    r"(.*_)?(authorization|cookie|secret|password)|((.*_)?(account|operator|fleet|api|private)_)?keys?"
)

#: Matches all keys of accounts, operators and the fleet, anywhere in a value.
_KEY_PATTERN = re.compile(r"cd-(?:account|operator|fleet)-[A-Za-z0-9_-]+")

_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.,:/@+\[\]()*<>;%#~^!?&|{}-]+")

_REQUEST_ID: ContextVar[Optional[RequestId]] = ContextVar("request_id", default=None)


class LogLevel(Enum):
    """The severity of an event."""

    DEBUG = logging.DEBUG
    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


def configure_logging(level: str, stream: TextIO = sys.stderr) -> None:
    """Writes events of at least ``level`` (``debug`` to ``error``) to ``stream``.

    Records logged by libraries are converted to the same format. A second call replaces the handler
    of the first.
    """
    handlers = standard_logging.getLogger().handlers
    earlier = [handler for handler in handlers if isinstance(handler, _LineHandler)]
    replace_handlers(earlier, _LineHandler(stream), LogLevel[level.upper()].value)


def replace_handlers(
    earlier: Iterable[standard_logging.Handler], handler: standard_logging.Handler, level: int
) -> None:
    """Replaces ``earlier`` handlers with ``handler``, for events of at least ``level``."""
    root = standard_logging.getLogger()
    for other in earlier:
        root.removeHandler(other)
    root.addHandler(handler)
    # Libraries log only warnings and errors; the level of absl, which logs events, is set apart.
    root.setLevel(standard_logging.WARNING)
    logging.set_verbosity(level)


def log_event(event: str, *, level: LogLevel = LogLevel.INFO, **fields: object) -> None:
    """Logs one event.

    The line contains the event, the request id if one is set, and the fields in the given order.
    Fields with secret names are redacted, and so are keys within values.

    Example::

        log_event("engine_unreachable", level=LogLevel.WARNING, engine="engine-3", attempt=2)
    """
    if level.value <= logging.get_verbosity():
        logging.log(level.value, "%s", format_event(event, fields, _REQUEST_ID.get()))


def format_event(
    event: str, fields: Mapping[str, object], request_id: Optional[RequestId] = None
) -> str:
    """Returns the line of key=value pairs for an event, without time and level."""
    pairs: dict[str, object] = {"event": event}
    if request_id is not None:
        pairs["request_id"] = request_id
    pairs.update(fields)
    return " ".join(f"{name}={_format_field(name, value)}" for name, value in pairs.items())


@contextlib.contextmanager
def request_context(request_id: RequestId) -> Iterator[None]:
    """Adds ``request_id`` to all events logged in the context, also by tasks started in it."""
    token = _REQUEST_ID.set(request_id)
    try:
        yield
    finally:
        _REQUEST_ID.reset(token)


def redact_keys(text: str) -> str:
    """Returns ``text`` with all keys of accounts, operators and the fleet redacted."""
    return _KEY_PATTERN.sub(REDACTED, text)


def is_secret_name(name: str) -> bool:
    """Returns whether a field of this name contains a secret, which must be redacted."""
    return _SECRET_NAME.fullmatch(name.lower()) is not None


def _format_field(name: str, value: object) -> str:
    if is_secret_name(name):
        return REDACTED
    return _quote_if_needed(redact_keys(_plain_text(value)))


def _plain_text(value: object) -> str:
    match value:
        case None:
            return "none"
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:.6g}" if math.isfinite(value) else str(value)
        case Enum():
            return value.name.lower()
        case bytes():
            return value.decode("utf-8", errors="backslashreplace")
        case _:
            return str(value)


def _quote_if_needed(text: str) -> str:
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return '"' + "".join(_escape(character) for character in text) + '"'


def _escape(character: str) -> str:
    if character in '"\\':
        return "\\" + character
    if character.isprintable():
        return character
    return character.encode("unicode_escape").decode("ascii")


class LineFormatter(standard_logging.Formatter):
    """Formats a record as a line with time, level and the pairs of an event.

    A record of a library becomes the event ``message``.
    """

    def format(self, record: standard_logging.LogRecord) -> str:
        message = record.getMessage()
        if record.name != "absl" or not message.startswith("event="):
            message = format_event("message", {"logger": record.name, "text": message})
        if record.exc_info and record.exc_info[1] is not None:
            message += " " + _exception_pairs(record.exc_info[1])
        created = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        timestamp = created.isoformat(timespec="milliseconds").replace("+00:00", "Z")
        return f"time={timestamp} level={record.levelname.lower()} {message}"


class _LineHandler(standard_logging.StreamHandler[TextIO]):
    """Writes lines in the format of :class:`LineFormatter` to a text stream."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self.setFormatter(LineFormatter())


def _exception_pairs(error: BaseException) -> str:
    pairs = {"error": type(error).__name__, "error_detail": str(error)}
    return " ".join(f"{name}={_format_field(name, value)}" for name, value in pairs.items())
