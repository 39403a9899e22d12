"""The interface through which the system uses an engine."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from camphordrift.backend_servers._messages import (
    CacheEventBatch,
    EngineOrder,
    GenerationRequest,
    KvPart,
    LoadReport,
    MemoryHold,
    OrderReply,
    TokenChunk,
)
from camphordrift.identifiers import BackendServerId, HoldId, RequestId


class EngineClient(Protocol):
    """Calls to engines, by engine id.

    The implementations are the HTTP client of the gateway and the stand-in engines in memory. Every
    method raises a :class:`BackendError`; a cancelled ``generate`` cancels the work on the engine.
    Engines send keep-alives while they prefill; a server that sends nothing for the client's idle
    timeout raises ``BackendSilentError``.
    """

    def generate(
        self, engine_id: BackendServerId, request: GenerationRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[TokenChunk]]:
        """Runs one attempt; leaving the context before the end cancels it on the engine."""
        ...

    async def prefill_part(self, part: KvPart, request: GenerationRequest) -> None:
        """Prefills one part of a prompt under its hold and keeps the KV cache there."""
        ...

    async def cancel(self, engine_id: BackendServerId, request_id: RequestId) -> None:
        """Cancels whatever the engine does for the request; does nothing if it does nothing."""
        ...

    async def read_load(self, engine_id: BackendServerId) -> LoadReport:
        """Returns the engine's newest load report."""
        ...

    async def read_cache_events(
        self, engine_id: BackendServerId, after_sequence: int
    ) -> CacheEventBatch:
        """Returns the cache events after ``after_sequence`` that the engine still keeps."""
        ...

    async def place_hold(self, engine_id: BackendServerId, hold: MemoryHold) -> None:
        """Reserves memory, or renews the hold of the same id and owner.

        Raises ``BackendRefusedError`` (status 409, not run) if the memory is not free.
        """
        ...

    async def release_hold(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        """Gives a hold back; does nothing if the engine knows no such hold."""
        ...

    async def list_holds(self, engine_id: BackendServerId) -> tuple[MemoryHold, ...]:
        """Returns all holds of the engine, whoever owns them."""
        ...

    async def send_order(self, engine_id: BackendServerId, order: EngineOrder) -> OrderReply:
        """Gives the engine an order."""
        ...
