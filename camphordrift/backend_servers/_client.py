"""The interface of clients that call engines, independent of the transport."""

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
    """Sends requests to engines, which are identified by their ids.

    Implemented by ``HttpEngineClient`` and by the in-memory stand-in engines. A method that fails
    raises a :class:`BackendError`. Cancelling ``generate`` also cancels the work on the engine.
    Engines send keepalives during prefill, so a call raises ``BackendSilentError`` if the engine
    sends nothing within the client's idle timeout.
    """

    def generate(
        self, engine_id: BackendServerId, request: GenerationRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[TokenChunk]]:
        """Runs one attempt; exiting the context before the output ends cancels it on the engine."""
        ...

    async def prefill_part(self, part: KvPart, request: GenerationRequest) -> None:
        """Prefills one part of a prompt; the engine stores the KV cache in the part's hold."""
        ...

    async def cancel(self, engine_id: BackendServerId, request_id: RequestId) -> None:
        """Cancels the engine's work for the request; does nothing if there is none."""
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
        """Releases a hold; does nothing if the engine has no hold with this id."""
        ...

    async def list_holds(self, engine_id: BackendServerId) -> tuple[MemoryHold, ...]:
        """Returns all holds on the engine, whichever VM owns them."""
        ...

    async def send_order(self, engine_id: BackendServerId, order: EngineOrder) -> OrderReply:
        """Sends an order and returns whether the engine accepted it; safe to retry."""
        ...
