"""HTTP client for backend servers: connections, server-sent events and the engine protocol."""

from camphordrift.backend_http._checked_backend import CheckedBackend
from camphordrift.backend_http._connections import (
    HttpCall,
    HttpConnections,
    HttpResponse,
    HttpStream,
    HttpTimeouts,
)
from camphordrift.backend_http._engine_client import HttpEngineClient
from camphordrift.backend_http._engine_wire import (
    decode_generation,
    decode_hold,
    decode_order,
    decode_part,
    encode_cache_events,
    encode_chunk,
    encode_hold,
    encode_load,
    encode_order_reply,
)
from camphordrift.backend_http._gated_backend import AuthorizeSending, SendRefusedError
from camphordrift.backend_http._sse import EventSplitter, EventTooLongError

__all__ = [
    "AuthorizeSending",
    "CheckedBackend",
    "EventSplitter",
    "EventTooLongError",
    "HttpCall",
    "HttpConnections",
    "HttpEngineClient",
    "HttpResponse",
    "HttpStream",
    "HttpTimeouts",
    "SendRefusedError",
    "decode_generation",
    "decode_hold",
    "decode_order",
    "decode_part",
    "encode_cache_events",
    "encode_chunk",
    "encode_hold",
    "encode_load",
    "encode_order_reply",
]
