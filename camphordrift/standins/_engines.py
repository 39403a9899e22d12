"""Stand-in engines in memory, driven by trio's clock, real or virtual."""

import random
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from camphordrift.backend_servers import (
    BackendRefusedError,
    BackendSilentError,
    BackendUnreachableError,
    CacheEventBatch,
    EngineOrder,
    GenerationRequest,
    KvPart,
    LoadReport,
    MemoryHold,
    OrderReply,
    StreamBrokenError,
    TokenChunk,
)
from camphordrift.identifiers import BackendServerId, HoldId, Incarnation, RequestId
from camphordrift.standins._engine_parameters import EngineParameters
from camphordrift.standins._engine_state import EngineState

_FIRST_INCARNATION = 1

#: A stream without any sign of life for this time fails, in seconds.
IDLE_TIMEOUT_SECONDS = 10.0


@dataclass
class _Engine:
    state: EngineState
    wake: trio.Event = field(default_factory=trio.Event)
    streams: set[trio.MemorySendChannel[TokenChunk]] = field(default_factory=set)
    parts: set[trio.Event] = field(default_factory=set)
    incarnation: int = _FIRST_INCARNATION
    alive: bool = True
    frozen: bool = False
    refusing: bool = False


class InMemoryEngines:
    """Implements :class:`camphordrift.backend_servers.EngineClient` without sockets.

    Open it with :func:`open_in_memory_engines`. The methods named after faults bring them about.
    """

    def __init__(
        self, models: Iterable[EngineParameters], network_delay_seconds: float, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._delay = network_delay_seconds
        self._seen: set[RequestId] = set()
        self._engines: dict[BackendServerId, _Engine] = {}
        for model in models:
            state = EngineState(model, Incarnation(_FIRST_INCARNATION), self._now(), self._rng)
            self._engines[model.engine_id] = _Engine(state)

    @property
    def engine_ids(self) -> tuple[BackendServerId, ...]:
        """All engines, alive or not."""
        return tuple(self._engines)

    @property
    def started_request_ids(self) -> frozenset[RequestId]:
        """Requests of which some engine has computed something, for assertions."""
        return frozenset(self._seen)

    def state(self, engine_id: BackendServerId) -> EngineState:
        """Returns the engine's insides at this instant, for assertions and perfect knowledge."""
        engine = self._engines[engine_id]
        self._advance(engine)
        return engine.state

    def is_responsive(self, engine_id: BackendServerId) -> bool:
        """Tells whether the engine is alive and not frozen."""
        engine = self._engines[engine_id]
        return engine.alive and not engine.frozen

    async def run(self) -> None:
        """Drives all engines; runs until cancelled."""
        async with trio.open_nursery() as nursery:
            for engine in self._engines.values():
                nursery.start_soon(self._drive, engine)

    @asynccontextmanager
    async def generate(
        self, engine_id: BackendServerId, request: GenerationRequest
    ) -> AsyncIterator[AsyncIterator[TokenChunk]]:
        """Runs one attempt; leaving the context before the end cancels it on the engine."""
        engine = await self._reach(engine_id)
        if engine.refusing:
            raise BackendRefusedError(f"{engine_id} refuses", 503, True)
        send, receive = trio.open_memory_channel[TokenChunk](float("inf"))
        job = engine.state.generate(request, send.send_nowait)
        self._seen.add(request.request_id)
        state = engine.state
        engine.streams.add(send)
        engine.wake.set()
        try:
            yield _read_answer(engine, receive)
        finally:
            engine.streams.discard(send)
            send.close()
            receive.close()
            if state is engine.state:
                self._advance(engine)
                state.cancel_job(job)
                engine.wake.set()

    async def prefill_part(self, part: KvPart, request: GenerationRequest) -> None:
        """Prefills one part of a prompt under its hold and keeps the KV cache there."""
        engine = await self._reach(part.engine_id)
        state = engine.state
        done = trio.Event()
        job = state.prefill_part(part, request, done.set)
        self._seen.add(request.request_id)
        engine.parts.add(done)
        engine.wake.set()
        try:
            await done.wait()
        finally:
            engine.parts.discard(done)
            if state is engine.state:
                state.cancel_job(job)
        if not engine.alive or state is not engine.state:
            raise StreamBrokenError(f"{part.engine_id} died while it prefilled a part")

    async def cancel(self, engine_id: BackendServerId, request_id: RequestId) -> None:
        """Cancels whatever the engine does for the request."""
        engine = await self._reach(engine_id)
        engine.state.cancel(request_id)
        engine.wake.set()

    async def read_load(self, engine_id: BackendServerId) -> LoadReport:
        """Returns the engine's newest load report."""
        return (await self._reach(engine_id)).state.load_report

    async def read_cache_events(
        self, engine_id: BackendServerId, after_sequence: int
    ) -> CacheEventBatch:
        """Returns the cache events after ``after_sequence`` that the engine still keeps."""
        return (await self._reach(engine_id)).state.cache_events(after_sequence)

    async def place_hold(self, engine_id: BackendServerId, hold: MemoryHold) -> None:
        """Reserves memory, or renews the hold of the same id and owner."""
        engine = await self._reach(engine_id)
        if engine.refusing:
            raise BackendRefusedError(f"{engine_id} refuses", 503, True)
        engine.state.place_hold(hold)

    async def release_hold(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        """Gives a hold back; does nothing if the engine knows no such hold."""
        engine = await self._reach(engine_id)
        engine.state.release_hold(hold_id)
        engine.wake.set()

    async def list_holds(self, engine_id: BackendServerId) -> tuple[MemoryHold, ...]:
        """Returns all holds of the engine, whoever owns them."""
        return (await self._reach(engine_id)).state.holds()

    async def send_order(self, engine_id: BackendServerId, order: EngineOrder) -> OrderReply:
        """Gives the engine an order."""
        return (await self._reach(engine_id)).state.take_order(order)

    def kill(self, engine_id: BackendServerId) -> None:
        """Ends the engine: streams break, and no connection can be made until ``restart``."""
        engine = self._engines[engine_id]
        self._advance(engine)
        engine.alive = False
        self._break_streams(engine)

    def restart(self, engine_id: BackendServerId) -> None:
        """Starts the engine anew with empty memory."""
        engine = self._engines[engine_id]
        self._advance(engine)
        self._break_streams(engine)
        engine.incarnation += 1
        incarnation = Incarnation(engine.incarnation)
        engine.state = EngineState(engine.state.model, incarnation, self._now(), self._rng)
        engine.alive = True
        engine.frozen = False
        engine.wake.set()

    def freeze(self, engine_id: BackendServerId, frozen: bool = True) -> None:
        """Makes the engine silent without closing anything, or lets it go on."""
        engine = self._engines[engine_id]
        self._advance(engine)
        engine.frozen = frozen
        engine.state.set_speed(0.0 if frozen else 1.0)
        engine.wake.set()

    def is_frozen(self, engine_id: BackendServerId) -> bool:
        """Returns whether the engine is silent."""
        return self._engines[engine_id].frozen

    def is_alive(self, engine_id: BackendServerId) -> bool:
        """Returns whether the engine's process runs."""
        return self._engines[engine_id].alive

    def set_speed(self, engine_id: BackendServerId, speed: float) -> None:
        """Sets the engine's speed as a share of the normal one."""
        engine = self._engines[engine_id]
        self._advance(engine)
        engine.state.set_speed(speed)
        engine.wake.set()

    def set_refusing(self, engine_id: BackendServerId, refusing: bool = True) -> None:
        """Makes the engine refuse new work with status 503, or take it again."""
        self._engines[engine_id].refusing = refusing

    def set_draining(self, engine_id: BackendServerId, leaving: bool = True) -> None:
        """Makes the engine say that it is leaving, and refuse new work."""
        self._engines[engine_id].state.set_leaving(leaving)

    async def _drive(self, engine: _Engine) -> None:
        while True:
            engine.wake = trio.Event()
            self._advance(engine)
            with trio.move_on_at(engine.state.next_change() if engine.alive else float("inf")):
                await engine.wake.wait()

    async def _reach(self, engine_id: BackendServerId) -> _Engine:
        engine = self._engines.get(engine_id)
        await trio.sleep(2 * self._delay)
        if engine is None or not engine.alive:
            raise BackendUnreachableError(f"{engine_id} cannot be reached")
        if engine.frozen:
            await trio.sleep_forever()
        self._advance(engine)
        return engine

    def _advance(self, engine: _Engine) -> None:
        if engine.alive:
            engine.state.advance(self._now())

    def _break_streams(self, engine: _Engine) -> None:
        for send in list(engine.streams):
            send.close()
        for done in list(engine.parts):
            done.set()
        engine.wake.set()

    def _now(self) -> float:
        return trio.current_time()


@asynccontextmanager
async def open_in_memory_engines(
    models: Iterable[EngineParameters], network_delay_seconds: float = 0.0, seed: int = 1
) -> AsyncIterator[InMemoryEngines]:
    """Runs stand-in engines for as long as the context is open.

    Example::

        async with open_in_memory_engines(models) as engines:
            async with engines.generate(engine_id, request) as chunks:
                async for chunk in chunks:
                    ...
    """
    engines = InMemoryEngines(models, network_delay_seconds, seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engines.run)
        try:
            yield engines
        finally:
            nursery.cancel_scope.cancel()


async def _read_answer(
    engine: _Engine, receive: trio.MemoryReceiveChannel[TokenChunk]
) -> AsyncIterator[TokenChunk]:
    """Reads chunks; an engine at work shows signs of life, a frozen one does not."""
    while True:
        chunk = await _next_chunk(engine, receive)
        yield chunk
        if chunk.finish_reason is not None:
            return


async def _next_chunk(
    engine: _Engine, receive: trio.MemoryReceiveChannel[TokenChunk]
) -> TokenChunk:
    while True:
        try:
            with trio.move_on_after(IDLE_TIMEOUT_SECONDS):
                return await receive.receive()
        except trio.EndOfChannel:
            raise StreamBrokenError("the engine's stream broke") from None
        if engine.frozen:
            raise BackendSilentError("the engine sent nothing")
