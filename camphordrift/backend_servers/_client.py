"""The client interface for engines, independent of the transport."""

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

    Implemented by the gateway's HTTP client and by the in-memory stand-in engines. A method that
    fails raises a :class:`BackendError`. Cancelling ``generate`` also cancels the work on the
    engine. Engines send keepalives during prefill; if a server sends nothing within the client's
    idle timeout, the call raises ``BackendSilentError``.
    """

    def generate(
        self, engine_id: BackendServerId, request: GenerationRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[TokenChunk]]:
        """Runs one attempt; exiting the context before the output ends cancels it on the engine."""
        ...

    async def prefill_part(self, part: KvPart, request: GenerationRequest) -> None:
        """Prefills one part of a prompt on its engine, which keeps the KV cache in its hold."""
        ...

    async def cancel(self, engine_id: BackendServerId, request_id: RequestId) -> None:
        """Cancels the engine's work for the request; a no-op if there is none."""
        ...

    async def read_load(self, engine_id: BackendServerId) -> LoadReport:
        """Returns the engine's latest load report."""
        ...

    async def read_cache_events(
        self, engine_id: BackendServerId, after_sequence: int
    ) -> CacheEventBatch:
        """Returns the cache events after ``after_sequence`` that the engine still retains."""
        ...

    async def place_hold(self, engine_id: BackendServerId, hold: MemoryHold) -> None:
        """Reserves KV memory, or renews the existing hold with the same id and owner.

        Raises ``BackendRefusedError`` (status 409, ``not_run`` true) if there is not enough free
        memory.
        """
        ...

    async def release_hold(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        """Releases a hold; a no-op if the engine has no hold with this id."""
        ...

    async def list_holds(self, engine_id: BackendServerId) -> tuple[MemoryHold, ...]:
        """Returns all holds of the engine, of all owners."""
        ...

    async def send_order(self, engine_id: BackendServerId, order: EngineOrder) -> OrderReply:
        """Sends an order and returns whether the engine accepted it; safe to retry."""
        ...
