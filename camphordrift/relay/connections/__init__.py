"""HTTP exchange with callers and backend servers over byte streams.

May hold I/O and parsing, but no choice of a server and no retry. Imports only
:mod:`camphordrift.relay.model` and :mod:`camphordrift.response_checks`.
"""

from camphordrift.relay.connections._body_budget import (
    BodyBudget,
    BodyBudgetError,
    HeldBody,
)
from camphordrift.relay.connections._byte_stream import (
    READ_SIZE,
    ByteStream,
    NoPathError,
    PathBrokenError,
    abort,
    connect,
    enable_dead_peer_detection,
)
from camphordrift.relay.connections._connection_limit import ConnectionLimit
from camphordrift.relay.connections._connection_pool import (
    BACKEND_CONNECT_TIMEOUT,
    ConnectionPool,
    OpenStream,
    open_stream,
)
from camphordrift.relay.connections._events import (
    EventSplitter,
    EventTooLongError,
    StreamEvent,
    parse_event_id,
)
from camphordrift.relay.connections._http_client import (
    BrokenAnswerError,
    ConnectionEndedError,
    HttpConnection,
    SmallRequest,
    SmallResponse,
)
from camphordrift.relay.connections._http_server import (
    CallerConnection,
    CallerRequest,
    ResponseWriter,
    may_have_body,
)
from camphordrift.relay.connections._parsing_pace import SHARED_TURN_INTERVAL, TurnSchedule

__all__ = [
    "BACKEND_CONNECT_TIMEOUT",
    "BodyBudget",
    "BodyBudgetError",
    "BrokenAnswerError",
    "ByteStream",
    "CallerConnection",
    "CallerRequest",
    "ConnectionEndedError",
    "ConnectionLimit",
    "ConnectionPool",
    "EventSplitter",
    "EventTooLongError",
    "HeldBody",
    "HttpConnection",
    "NoPathError",
    "OpenStream",
    "PathBrokenError",
    "READ_SIZE",
    "ResponseWriter",
    "SHARED_TURN_INTERVAL",
    "SmallRequest",
    "SmallResponse",
    "StreamEvent",
    "TurnSchedule",
    "abort",
    "connect",
    "enable_dead_peer_detection",
    "may_have_body",
    "open_stream",
    "parse_event_id",
]
