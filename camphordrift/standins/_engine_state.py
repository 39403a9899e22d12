"""One stand-in engine as a synchronous object: calls and instants in, chunks out."""

import math
import random
from collections.abc import Callable

from camphordrift.backend_servers import (
    BackendRefusedError,
    CacheEventBatch,
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
from camphordrift.identifiers import HoldId, Incarnation, ModelName, RequestId
from camphordrift.standins._engine_answers import answer_digest, answer_length, answer_text
from camphordrift.standins._engine_batch import Batch, Job
from camphordrift.standins._engine_cache import PrefixCache
from camphordrift.standins._engine_holds import EngineMemory
from camphordrift.standins._engine_parameters import EngineParameters

Emit = Callable[[TokenChunk], None]


class EngineState:
    """What one incarnation of an engine knows and does.

    ``advance(now)`` computes up to an instant; ``next_change()`` says when it must be called next.
    """

    def __init__(
        self, model: EngineParameters, incarnation: Incarnation, now: float, rng: random.Random
    ) -> None:
        self._model = model
        self._incarnation = incarnation
        self._memory = EngineMemory(model.memory_tokens)
        self._cache = PrefixCache(model, rng)
        self._batch = Batch(model, self._reserve, self._memory.give_back)
        self._models = set(model.models)
        self._loading: dict[ModelName, float] = {}
        self._role = EngineRole.FULL
        self._leaving = False
        self._highest_fencing = -1
        self._jobs: dict[tuple[RequestId, int, str], Job] = {}
        self._numbers = 0
        self._now = now
        self._report_sequence = 0
        self._report_at = math.floor(now / model.load_lag_seconds) * model.load_lag_seconds
        self._report = self._snapshot()
        self._batch.advance(now)

    @property
    def model(self) -> EngineParameters:
        """The engine's numbers."""
        return self._model

    @property
    def load_report(self) -> LoadReport:
        """The newest report, as old as the engine's lag."""
        return self._report

    def load_now(self) -> LoadReport:
        """Returns the load of this instant, which a real engine would not tell."""
        return self._snapshot()

    def next_change(self) -> float:
        """Returns the next instant at which ``advance`` has something to do."""
        return self._batch.next_change()

    def advance(self, now: float) -> None:
        """Computes up to ``now``, taking the load reports that fall due on the way."""
        while self._report_at + self._model.load_lag_seconds <= now:
            self._report_at += self._model.load_lag_seconds
            self._compute(max(self._now, self._report_at))
            self._report = self._snapshot()
        self._compute(now)

    def generate(self, request: GenerationRequest, emit: Emit) -> Job:
        """Starts an attempt; its chunks go to ``emit``."""
        self._check_generation(request)
        digest = answer_digest(request)
        length = answer_length(request, self._model.min_output_fraction)
        position = min(request.delivered_tokens, length)
        length_bound = request.max_output_tokens

        def on_tokens(tokens: int, ended: bool) -> None:
            nonlocal position
            reason = None if not ended else "length" if length == length_bound else "stop"
            text = answer_text(digest, position, tokens)
            chunk = TokenChunk(request.request_id, request.attempt, position, tokens, text, reason)
            position += tokens
            if ended:
                self._jobs.pop(key, None)
            emit(chunk)

        context = request.prompt_tokens + request.delivered_tokens
        reserved = 0 if request.kv_parts else context + length - position
        key = (request.request_id, request.attempt, "")
        job = Job(
            priority=request.priority,
            number=self._next_number(),
            memory_tokens=reserved,
            prefill_left=1.0 if request.kv_parts else float(context),
            output_tokens=length - position,
            emit=on_tokens,
            on_start=lambda job: self._use_cache(job, request),
            on_prefilled=lambda job: self._store_prefix(request),
        )
        return self._submit(key, job)

    def prefill_part(
        self, part: KvPart, request: GenerationRequest, done: Callable[[], None]
    ) -> Job:
        """Starts to prefill a part of a prompt under its hold; calls ``done`` at the end."""
        if not self._memory.has_hold(part.hold_id, self._now):
            raise BackendRefusedError(f"no hold {part.hold_id}", 409, True)
        key = (request.request_id, request.attempt, part.hold_id)

        def on_ended(tokens: int, ended: bool) -> None:
            self._jobs.pop(key, None)
            self._memory.mark_prefilled(part.hold_id, part.token_count)
            done()

        job = Job(
            priority=request.priority,
            number=self._next_number(),
            memory_tokens=0,
            prefill_left=float(max(1, part.token_count)),
            output_tokens=0,
            emit=on_ended,
            on_start=lambda job: None,
            on_prefilled=lambda job: None,
        )
        return self._submit(key, job)

    def cancel(self, request_id: RequestId) -> None:
        """Drops all jobs of the request."""
        for key, job in list(self._jobs.items()):
            if key[0] == request_id:
                self.cancel_job(job)

    def cancel_job(self, job: Job) -> None:
        """Drops one job, if it still runs."""
        for key, kept in list(self._jobs.items()):
            if kept is job:
                del self._jobs[key]
                self._batch.remove(job)

    def cache_events(self, after_sequence: int) -> CacheEventBatch:
        """Returns the cache events after ``after_sequence``."""
        events = self._cache.events_after(after_sequence, self._now)
        return CacheEventBatch(self._incarnation, events)

    def place_hold(self, hold: MemoryHold) -> None:
        """Places or renews a hold; raises ``BackendRefusedError`` (409) if it cannot."""
        refusal = self._memory.place(hold, self._now)
        if refusal is not None:
            raise BackendRefusedError(refusal, 409, True)

    def release_hold(self, hold_id: HoldId) -> None:
        """Gives a hold back."""
        self._memory.release(hold_id)
        self._batch.retry_admission(self._now)

    def holds(self) -> tuple[MemoryHold, ...]:
        """Returns all holds."""
        return self._memory.holds(self._now)

    def take_order(self, order: EngineOrder) -> OrderReply:
        """Takes an order, unless its fencing number is old and the engine checks them."""
        if self._model.checks_fencing:
            if order.fencing_number < self._highest_fencing:
                return OrderReply(False, self._highest_fencing, "old fencing number")
            self._highest_fencing = order.fencing_number
        self._obey(order)
        highest = self._highest_fencing if self._model.checks_fencing else None
        return OrderReply(True, highest)

    def set_leaving(self, leaving: bool) -> None:
        """Sets whether the engine says that it is leaving."""
        self._leaving = leaving

    def set_speed(self, speed: float) -> None:
        """Sets the speed as a share of the normal one; zero freezes the engine."""
        self._batch.set_speed(speed)

    def _compute(self, now: float) -> None:
        self._now = max(self._now, now)
        self._batch.advance(self._now)
        for name, ready_at in list(self._loading.items()):
            if ready_at <= self._now:
                del self._loading[name]
                self._models.add(name)

    def _obey(self, order: EngineOrder) -> None:
        name = ModelName(order.subject)
        match order.kind:
            case OrderKind.LOAD_MODEL | OrderKind.LOAD_ADAPTER:
                if name not in self._models:
                    ready_at = self._now + self._model.load_model_seconds
                    self._loading.setdefault(name, ready_at)
            case OrderKind.UNLOAD_MODEL:
                self._models.discard(name)
                self._loading.pop(name, None)
            case OrderKind.CHANGE_ROLE:
                self._role = EngineRole(order.subject)

    def _check_generation(self, request: GenerationRequest) -> None:
        if self._leaving:
            raise BackendRefusedError("the engine is leaving", 503, True)
        if request.model not in self._models:
            raise BackendRefusedError(f"model {request.model} is not loaded", 404, True)
        needed = request.prompt_tokens + request.max_output_tokens
        if not request.kv_parts and needed > self._model.memory_tokens:
            raise BackendRefusedError("the prompt exceeds the engine's memory", 413, True)
        for part in request.kv_parts:
            if part.engine_id != self._model.engine_id:
                continue
            if self._memory.prefilled_tokens(part.hold_id, self._now) < part.token_count:
                raise BackendRefusedError(f"part under {part.hold_id} is not there", 409, True)

    def _submit(self, key: tuple[RequestId, int, str], job: Job) -> Job:
        if key in self._jobs:
            raise BackendRefusedError("the attempt is already running", 409, False)
        self._jobs[key] = job
        self._batch.submit(job, self._now)
        return job

    def _next_number(self) -> int:
        self._numbers += 1
        return self._numbers

    def _reserve(self, token_count: int) -> bool:
        return self._memory.reserve(token_count, self._now)

    def _use_cache(self, job: Job, request: GenerationRequest) -> None:
        if not request.kv_parts:
            cached = self._cache.cached_tokens(request.prefix_blocks)
            job.prefill_left = max(1.0, job.prefill_left - cached)

    def _store_prefix(self, request: GenerationRequest) -> None:
        if not request.kv_parts:
            self._cache.store(request.prefix_blocks, self._now)

    def _snapshot(self) -> LoadReport:
        self._report_sequence += 1
        return LoadReport(
            engine_id=self._model.engine_id,
            sequence=self._report_sequence,
            incarnation=self._incarnation,
            running_requests=self._batch.running_count,
            waiting_requests=self._batch.waiting_count,
            pending_prefill_tokens=self._batch.pending_prefill_tokens,
            used_memory_tokens=self._memory.used_tokens(self._now),
            total_memory_tokens=self._model.memory_tokens,
            models=tuple(sorted(self._models)),
            role=self._role,
            leaving=self._leaving,
        )
