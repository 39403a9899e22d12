"""Interfaces, messages and errors of the clients that call backend servers."""

from camphordrift.backend_servers._client import EngineClient
from camphordrift.backend_servers._errors import (
    BackendError,
    BackendRefusedError,
    BackendSilentError,
    BackendUnreachableError,
    StreamBrokenError,
)
from camphordrift.backend_servers._messages import (
    CacheEvent,
    CacheEventBatch,
    CacheEventKind,
    EngineOrder,
    EngineRole,
    GenerationRequest,
    KvPart,
    LoadReport,
    MemoryHold,
    OrderKind,
    OrderReply,
    TokenChunk,
)

__all__ = [
    "BackendError",
    "BackendRefusedError",
    "BackendSilentError",
    "BackendUnreachableError",
    "CacheEvent",
    "CacheEventBatch",
    "CacheEventKind",
    "EngineClient",
    "EngineOrder",
    "EngineRole",
    "GenerationRequest",
    "KvPart",
    "LoadReport",
    "MemoryHold",
    "OrderKind",
    "OrderReply",
    "StreamBrokenError",
    "TokenChunk",
]
