"""Simulates one stand-in engine synchronously; the caller passes the current time."""

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
from camphordrift.standins._engine_batch import Batch, Job
from camphordrift.standins._engine_memory import EngineMemory
from camphordrift.standins._engine_outputs import output_digest, output_length, output_text
from camphordrift.standins._engine_parameters import EngineParameters
from camphordrift.standins._prefix_cache import PrefixCache

#: Receives each chunk of generated tokens.
Emit = Callable[[TokenChunk], None]


class EngineState:
    """The state of one incarnation of an engine. Times are in seconds.

    ``advance(now)`` simulates up to a time; ``next_event_time()`` returns when to call it next.
    """

    def __init__(
        self, parameters: EngineParameters, incarnation: Incarnation, now: float, rng: random.Random
    ) -> None:
        self._parameters = parameters
        self._incarnation = incarnation
        self._memory = EngineMemory(parameters.memory_tokens)
        self._cache = PrefixCache(parameters, rng)
        self._batch = Batch(parameters, self._reserve, self._memory.free)
        self._models = set(parameters.models)
        self._loading: dict[ModelName, float] = {}
        self._role = EngineRole.FULL
        self._draining = False
        self._highest_fencing_number = -1
        self._jobs: dict[tuple[RequestId, int, str], Job] = {}
        self._arrival_count = 0
        self._now = now
        self._report_sequence = 0
        self._report_at = (
            math.floor(now / parameters.load_lag_seconds) * parameters.load_lag_seconds
        )
        self._report = self._make_load_report()
        self._batch.advance(now)

    @property
    def parameters(self) -> EngineParameters:
        """Speed, memory and reporting delays of the stand-in engine."""
        return self._parameters

    @property
    def load_report(self) -> LoadReport:
        """The latest load report; its age is at most ``load_lag_seconds``."""
        return self._report

    def load_now(self) -> LoadReport:
        """Returns a report of the current load, without the lag that real engines have."""
        return self._make_load_report()

    def next_event_time(self) -> float:
        """Returns when ``advance`` must be called next; infinity if nothing is running."""
        return self._batch.next_event_time()

    def advance(self, now: float) -> None:
        """Simulates up to ``now`` and makes the load reports that are due by then."""
        while self._report_at + self._parameters.load_lag_seconds <= now:
            self._report_at += self._parameters.load_lag_seconds
            self._simulate(max(self._now, self._report_at))
            self._report = self._make_load_report()
        self._simulate(now)

    def generate(self, request: GenerationRequest, emit: Emit) -> Job:
        """Starts an attempt, whose chunks are passed to ``emit``.

        Raises ``BackendRefusedError`` if the engine cannot run it.
        """
        self._check_generation_request(request)
        digest = output_digest(request)
        length = output_length(request, self._parameters.min_output_fraction)
        position = min(request.delivered_tokens, length)
        max_length = request.max_output_tokens

        def on_tokens(tokens: int, ended: bool) -> None:
            nonlocal position
            finish_reason = None if not ended else "length" if length == max_length else "stop"
            text = output_text(digest, position, tokens)
            chunk = TokenChunk(
                request.request_id, request.attempt, position, tokens, text, finish_reason
            )
            position += tokens
            if ended:
                self._jobs.pop(key, None)
            emit(chunk)

        context = request.prompt_tokens + request.delivered_tokens
        reserved_tokens = 0 if request.kv_parts else context + length - position
        key = (request.request_id, request.attempt, "")
        job = Job(
            priority=request.priority,
            arrival_number=self._next_arrival_number(),
            memory_tokens=reserved_tokens,
            prefill_tokens_left=1.0 if request.kv_parts else float(context),
            output_tokens=length - position,
            emit=on_tokens,
            on_start=lambda job: self._use_cache(job, request),
            on_prefilled=lambda job: self._store_prefix(request),
        )
        return self._submit_job(key, job)

    def prefill_part(
        self, part: KvPart, request: GenerationRequest, done: Callable[[], None]
    ) -> Job:
        """Starts the prefill of a part of a prompt under its hold; calls ``done`` at the end."""
        if not self._memory.has_hold(part.hold_id, self._now):
            raise BackendRefusedError(f"there is no hold {part.hold_id}", 409, True)
        key = (request.request_id, request.attempt, part.hold_id)

        def on_ended(tokens: int, ended: bool) -> None:
            self._jobs.pop(key, None)
            self._memory.mark_prefilled(part.hold_id, part.token_count)
            done()

        job = Job(
            priority=request.priority,
            arrival_number=self._next_arrival_number(),
            memory_tokens=0,
            prefill_tokens_left=float(max(1, part.token_count)),
            output_tokens=0,
            emit=on_ended,
            on_start=lambda job: None,
            on_prefilled=lambda job: None,
        )
        return self._submit_job(key, job)

    def cancel(self, request_id: RequestId) -> None:
        """Cancels all jobs of the request."""
        for key, job in list(self._jobs.items()):
            if key[0] == request_id:
                self.cancel_job(job)

    def cancel_job(self, job: Job) -> None:
        """Cancels one job, if it is still waiting or running."""
        for key, candidate in list(self._jobs.items()):
            if candidate is job:
                del self._jobs[key]
                self._batch.remove(job)

    def cache_events(self, after_sequence: int) -> CacheEventBatch:
        """Returns the cache events after ``after_sequence``."""
        events = self._cache.events_after(after_sequence, self._now)
        return CacheEventBatch(self._incarnation, events)

    def place_hold(self, hold: MemoryHold) -> None:
        """Places or renews a hold; raises ``BackendRefusedError`` (409) if it is refused."""
        refusal_reason = self._memory.place_hold(hold, self._now)
        if refusal_reason is not None:
            raise BackendRefusedError(refusal_reason, 409, True)

    def release_hold(self, hold_id: HoldId) -> None:
        """Releases a hold; waiting jobs may then start."""
        self._memory.release_hold(hold_id)
        self._batch.retry_admission(self._now)

    def holds(self) -> tuple[MemoryHold, ...]:
        """Returns all unexpired holds."""
        return self._memory.holds(self._now)

    def handle_order(self, order: EngineOrder) -> OrderReply:
        """Executes an order, or rejects it if its fencing number is checked and outdated."""
        if self._parameters.checks_fencing:
            if order.fencing_number < self._highest_fencing_number:
                return OrderReply(False, self._highest_fencing_number, "old fencing number")
            self._highest_fencing_number = order.fencing_number
        self._execute_order(order)
        highest = self._highest_fencing_number if self._parameters.checks_fencing else None
        return OrderReply(True, highest)

    def set_draining(self, draining: bool) -> None:
        """Sets whether the engine reports that it is draining and refuses new work."""
        self._draining = draining

    def set_speed(self, speed: float) -> None:
        """Sets the speed as a fraction of the normal speed; zero freezes the engine."""
        self._batch.set_speed(speed)

    def _simulate(self, now: float) -> None:
        self._now = max(self._now, now)
        self._batch.advance(self._now)
        for name, loaded_at in list(self._loading.items()):
            if loaded_at <= self._now:
                del self._loading[name]
                self._models.add(name)

    def _execute_order(self, order: EngineOrder) -> None:
        name = ModelName(order.subject)
        match order.kind:
            case OrderKind.LOAD_MODEL | OrderKind.LOAD_ADAPTER:
                if name not in self._models:
                    loaded_at = self._now + self._parameters.load_model_seconds
                    self._loading.setdefault(name, loaded_at)
            case OrderKind.UNLOAD_MODEL:
                self._models.discard(name)
                self._loading.pop(name, None)
            case OrderKind.CHANGE_ROLE:
                self._role = EngineRole(order.subject)

    def _check_generation_request(self, request: GenerationRequest) -> None:
        if self._draining:
            raise BackendRefusedError("the engine is draining", 503, True)
        if request.model not in self._models:
            raise BackendRefusedError(f"model {request.model} is not loaded", 404, True)
        needed = request.prompt_tokens + request.max_output_tokens
        if not request.kv_parts and needed > self._parameters.memory_tokens:
            raise BackendRefusedError(
                "the prompt and its output limit exceed the engine's memory", 413, True
            )
        for part in request.kv_parts:
            if part.engine_id != self._parameters.engine_id:
                continue
            if self._memory.prefilled_tokens(part.hold_id, self._now) < part.token_count:
                raise BackendRefusedError(
                    f"the part under hold {part.hold_id} is not prefilled", 409, True
                )

    def _submit_job(self, key: tuple[RequestId, int, str], job: Job) -> Job:
        if key in self._jobs:
            raise BackendRefusedError("the attempt is already running", 409, False)
        self._jobs[key] = job
        self._batch.submit(job, self._now)
        return job

    def _next_arrival_number(self) -> int:
        self._arrival_count += 1
        return self._arrival_count

    def _reserve(self, token_count: int) -> bool:
        return self._memory.reserve(token_count, self._now)

    def _use_cache(self, job: Job, request: GenerationRequest) -> None:
        if not request.kv_parts:
            cached = self._cache.cached_tokens(request.prefix_blocks)
            job.prefill_tokens_left = max(1.0, job.prefill_tokens_left - cached)

    def _store_prefix(self, request: GenerationRequest) -> None:
        if not request.kv_parts:
            self._cache.store(request.prefix_blocks, self._now)

    def _make_load_report(self) -> LoadReport:
        self._report_sequence += 1
        return LoadReport(
            engine_id=self._parameters.engine_id,
            sequence=self._report_sequence,
            incarnation=self._incarnation,
            running_requests=self._batch.running_count,
            waiting_requests=self._batch.waiting_count,
            pending_prefill_tokens=self._batch.pending_prefill_tokens,
            used_memory_tokens=self._memory.used_tokens(self._now),
            total_memory_tokens=self._parameters.memory_tokens,
            models=tuple(sorted(self._models)),
            role=self._role,
            leaving=self._draining,
        )
