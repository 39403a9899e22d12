"""In-memory stand-in engines that run on trio's clock, which may be real or virtual."""

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

#: Seconds without a chunk after which a stream from a frozen engine fails.
IDLE_TIMEOUT_SECONDS = 10.0


@dataclass
class _Engine:
    state: EngineState
    wakeup: trio.Event = field(default_factory=trio.Event)
    streams: set[trio.MemorySendChannel[TokenChunk]] = field(default_factory=set)
    part_events: set[trio.Event] = field(default_factory=set)
    incarnation: int = _FIRST_INCARNATION
    alive: bool = True
    frozen: bool = False
    refusing: bool = False


class InMemoryEngines:
    """Implements :class:`camphordrift.backend_servers.EngineClient` without sockets.

    Open it with :func:`open_in_memory_engines`. ``kill``, ``restart``, ``freeze``, ``set_speed``,
    ``set_refusing`` and ``set_draining`` inject faults.
    """

    def __init__(
        self, parameters: Iterable[EngineParameters], network_delay_seconds: float, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._network_delay_seconds = network_delay_seconds
        self._started_request_ids: set[RequestId] = set()
        self._engines: dict[BackendServerId, _Engine] = {}
        for engine_parameters in parameters:
            state = EngineState(
                engine_parameters, Incarnation(_FIRST_INCARNATION), self._now(), self._rng
            )
            self._engines[engine_parameters.engine_id] = _Engine(state)

    @property
    def engine_ids(self) -> tuple[BackendServerId, ...]:
        """The ids of all engines, including killed ones."""
        return tuple(self._engines)

    @property
    def started_request_ids(self) -> frozenset[RequestId]:
        """Ids of the requests that any engine has started, in whole or in part, for assertions."""
        return frozenset(self._started_request_ids)

    def state(self, engine_id: BackendServerId) -> EngineState:
        """Returns the engine's current state, for assertions and schedulers without load lag."""
        engine = self._engines[engine_id]
        self._advance(engine)
        return engine.state

    def is_responsive(self, engine_id: BackendServerId) -> bool:
        """Returns whether the engine is alive and not frozen."""
        engine = self._engines[engine_id]
        return engine.alive and not engine.frozen

    async def run(self) -> None:
        """Simulates all engines; runs until cancelled."""
        async with trio.open_nursery() as nursery:
            for engine in self._engines.values():
                nursery.start_soon(self._simulate_engine, engine)

    @asynccontextmanager
    async def generate(
        self, engine_id: BackendServerId, request: GenerationRequest
    ) -> AsyncIterator[AsyncIterator[TokenChunk]]:
        """Runs one attempt; it is cancelled on the engine if the context is left before it ends."""
        engine = await self._connect(engine_id)
        if engine.refusing:
            raise BackendRefusedError(f"{engine_id} refuses new work", 503, True)
        send, receive = trio.open_memory_channel[TokenChunk](float("inf"))
        job = engine.state.generate(request, send.send_nowait)
        self._started_request_ids.add(request.request_id)
        state = engine.state
        engine.streams.add(send)
        engine.wakeup.set()
        try:
            yield _read_chunks(engine, receive)
        finally:
            engine.streams.discard(send)
            send.close()
            receive.close()
            if state is engine.state:
                self._advance(engine)
                state.cancel_job(job)
                engine.wakeup.set()

    async def prefill_part(self, part: KvPart, request: GenerationRequest) -> None:
        """Prefills one part of a prompt and keeps its KV cache under its hold."""
        engine = await self._connect(part.engine_id)
        state = engine.state
        done = trio.Event()
        job = state.prefill_part(part, request, done.set)
        self._started_request_ids.add(request.request_id)
        engine.part_events.add(done)
        engine.wakeup.set()
        try:
            await done.wait()
        finally:
            engine.part_events.discard(done)
            if state is engine.state:
                state.cancel_job(job)
        if not engine.alive or state is not engine.state:
            raise StreamBrokenError(
                f"{part.engine_id} died while it prefilled a part of the prompt"
            )

    async def cancel(self, engine_id: BackendServerId, request_id: RequestId) -> None:
        """Cancels all jobs of the request on the engine."""
        engine = await self._connect(engine_id)
        engine.state.cancel(request_id)
        engine.wakeup.set()

    async def read_load(self, engine_id: BackendServerId) -> LoadReport:
        """Returns the engine's latest load report."""
        return (await self._connect(engine_id)).state.load_report

    async def read_cache_events(
        self, engine_id: BackendServerId, after_sequence: int
    ) -> CacheEventBatch:
        """Returns the cache events after ``after_sequence`` that the engine has retained."""
        return (await self._connect(engine_id)).state.cache_events(after_sequence)

    async def place_hold(self, engine_id: BackendServerId, hold: MemoryHold) -> None:
        """Places a hold on memory, or renews the hold that has the same id and owner.

        Raises ``BackendRefusedError`` if too little memory is free, or if a hold with this id has
        another owner.
        """
        engine = await self._connect(engine_id)
        if engine.refusing:
            raise BackendRefusedError(f"{engine_id} refuses new work", 503, True)
        engine.state.place_hold(hold)

    async def release_hold(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        """Releases a hold; does nothing if the engine has no such hold."""
        engine = await self._connect(engine_id)
        engine.state.release_hold(hold_id)
        engine.wakeup.set()

    async def list_holds(self, engine_id: BackendServerId) -> tuple[MemoryHold, ...]:
        """Returns all holds of the engine, of all owners."""
        return (await self._connect(engine_id)).state.holds()

    async def send_order(self, engine_id: BackendServerId, order: EngineOrder) -> OrderReply:
        """Sends the engine an order and returns its reply."""
        return (await self._connect(engine_id)).state.handle_order(order)

    def kill(self, engine_id: BackendServerId) -> None:
        """Kills the engine: its streams break, and it is unreachable until ``restart``."""
        engine = self._engines[engine_id]
        self._advance(engine)
        engine.alive = False
        self._break_streams(engine)

    def restart(self, engine_id: BackendServerId) -> None:
        """Restarts the engine with empty memory and the next incarnation."""
        engine = self._engines[engine_id]
        self._advance(engine)
        self._break_streams(engine)
        engine.incarnation += 1
        incarnation = Incarnation(engine.incarnation)
        engine.state = EngineState(engine.state.parameters, incarnation, self._now(), self._rng)
        engine.alive = True
        engine.frozen = False
        engine.wakeup.set()

    def freeze(self, engine_id: BackendServerId, frozen: bool = True) -> None:
        """Freezes the engine without closing its connections, or resumes it."""
        engine = self._engines[engine_id]
        self._advance(engine)
        engine.frozen = frozen
        engine.state.set_speed(0.0 if frozen else 1.0)
        engine.wakeup.set()

    def is_frozen(self, engine_id: BackendServerId) -> bool:
        """Returns whether the engine is frozen."""
        return self._engines[engine_id].frozen

    def is_alive(self, engine_id: BackendServerId) -> bool:
        """Returns whether the engine is running, frozen or not."""
        return self._engines[engine_id].alive

    def set_speed(self, engine_id: BackendServerId, speed: float) -> None:
        """Sets the engine's speed as a fraction of the normal speed."""
        engine = self._engines[engine_id]
        self._advance(engine)
        engine.state.set_speed(speed)
        engine.wakeup.set()

    def set_refusing(self, engine_id: BackendServerId, refusing: bool = True) -> None:
        """Sets whether the engine refuses new attempts and holds with status 503."""
        self._engines[engine_id].refusing = refusing

    def set_draining(self, engine_id: BackendServerId, draining: bool = True) -> None:
        """Sets whether the engine reports that it is draining and refuses new attempts."""
        self._engines[engine_id].state.set_draining(draining)

    async def _simulate_engine(self, engine: _Engine) -> None:
        while True:
            engine.wakeup = trio.Event()
            self._advance(engine)
            with trio.move_on_at(engine.state.next_event_time() if engine.alive else float("inf")):
                await engine.wakeup.wait()

    async def _connect(self, engine_id: BackendServerId) -> _Engine:
        engine = self._engines.get(engine_id)
        await trio.sleep(2 * self._network_delay_seconds)
        if engine is None or not engine.alive:
            raise BackendUnreachableError(f"{engine_id} is unreachable")
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
        for done in list(engine.part_events):
            done.set()
        engine.wakeup.set()

    def _now(self) -> float:
        return trio.current_time()


@asynccontextmanager
async def open_in_memory_engines(
    parameters: Iterable[EngineParameters], network_delay_seconds: float = 0.0, seed: int = 1
) -> AsyncIterator[InMemoryEngines]:
    """Runs stand-in engines while the context is open.

    ``network_delay_seconds`` is the one-way network delay; each call waits for twice as long.

    Example::

        async with open_in_memory_engines(parameters) as engines:
            async with engines.generate(engine_id, request) as chunks:
                async for chunk in chunks:
                    ...
    """
    engines = InMemoryEngines(parameters, network_delay_seconds, seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engines.run)
        try:
            yield engines
        finally:
            nursery.cancel_scope.cancel()


async def _read_chunks(
    engine: _Engine, receive: trio.MemoryReceiveChannel[TokenChunk]
) -> AsyncIterator[TokenChunk]:
    """Yields the chunks of an attempt.

    Real engines send keepalives while they work, so the idle timeout applies only to a frozen
    engine.
    """
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
            raise StreamBrokenError("the connection to the engine broke") from None
        if engine.frozen:
            raise BackendSilentError("the engine sent nothing within the idle timeout")
