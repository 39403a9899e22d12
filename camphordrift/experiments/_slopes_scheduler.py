"""Measures what a pool's scheduler costs, by engines and by asks that wait."""

from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

from camphordrift.backend_servers import LoadReport
from camphordrift.experiments._slope_series import Series, SeriesKind, cpu_seconds, held_bytes
from camphordrift.experiments._slope_values import ACCOUNT, MODEL, engine_name
from camphordrift.identifiers import Incarnation, RequestId, VmId
from camphordrift.routing import (
    AttemptKey,
    EngineSpec,
    GrantAsk,
    Granted,
    GrantOutcome,
    PoolScheduler,
    pool_scheduler,
)
from camphordrift.routing._prefix_cache import PrefixCacheEstimate

#: Requests that run on each engine meanwhile.
FLIGHTS_PER_ENGINE = 8

#: Engines of the pool while the number of waiting asks varies.
POOL_ENGINES = 32

_MEMORY_TOKENS = 450_000
_PROMPT_TOKENS = 1_000
_OUTPUT_TOKENS = 300

#: A prompt that takes so much of an engine's memory that no second one fits beside it.
_HUGE_PROMPT_TOKENS = 300_000

_DECISION_CPU = SeriesKind(
    "scheduler_cpu_by_engines",
    "one ask: submit, decide, first token, decide, finish, decide; 8 requests run on each engine",
    "engines of the pool",
    "us CPU per request",
)
_REPORT_CPU = SeriesKind(
    "scheduler_report_cpu_by_engines",
    "one load report and the decisions after it; 8 requests run on each engine",
    "engines of the pool",
    "us CPU per report",
)
_STATE = SeriesKind(
    "scheduler_state_by_engines",
    "state of a pool's scheduler; 8 requests run on each engine",
    "engines of the pool",
    "bytes",
)
_QUEUE_CPU = SeriesKind(
    "scheduler_cpu_by_queue",
    "one round of decisions that can grant nothing; 32 engines, all full",
    "asks that wait",
    "us CPU per round",
)
_QUEUE_STATE = SeriesKind(
    "scheduler_state_by_queue",
    "state of the asks that wait; 32 engines, all full",
    "asks that wait",
    "bytes",
)


_CACHE_STATE = SeriesKind(
    "cache_knowledge_state_by_blocks",
    "what is believed of one engine's prefix cache",
    "prompt blocks remembered",
    "bytes",
)


def measure_cache_knowledge(block_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures the state of the knowledge of one prefix cache by the blocks remembered."""
    return (
        _CACHE_STATE.measured(
            block_counts, lambda count: float(held_bytes(lambda: _cache_knowledge(count))[1])
        ),
    )


def _cache_knowledge(block_count: int) -> PrefixCacheEstimate:
    """Returns the knowledge of a cache with so many blocks, whose hashes fill 64 bits."""
    knowledge = PrefixCacheEstimate(block_count, block_tokens=1024)
    knowledge.record_stored(tuple(xxh3_64_intdigest(str(n).encode()) for n in range(block_count)))
    return knowledge


def measure_scheduler_by_engines(engine_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures decisions, load reports and state by the engines of a pool."""
    return (
        _DECISION_CPU.measured(engine_counts, lambda count: _decision_seconds(count) * 1e6),
        _REPORT_CPU.measured(engine_counts, lambda count: _report_seconds(count) * 1e6),
        _STATE.measured(engine_counts, lambda count: float(held_bytes(lambda: _busy(count))[1])),
    )


def measure_scheduler_by_queue(queue_lengths: Sequence[int]) -> tuple[Series, ...]:
    """Measures a round of decisions, and the state, by the asks that wait."""

    def round_cost(length: int) -> float:
        scheduler = _full()
        _fill_queue(scheduler, length)
        return cpu_seconds(lambda: scheduler.decide(1.0)) * 1e6

    def state(length: int) -> float:
        scheduler = _full()
        _, size = held_bytes(lambda: _fill_queue(scheduler, length))
        return float(size)

    return (
        _QUEUE_CPU.measured(queue_lengths, round_cost),
        _QUEUE_STATE.measured(queue_lengths, state),
    )


def _decision_seconds(engine_count: int) -> float:
    scheduler = _busy(engine_count)
    number = 0

    def run_request() -> None:
        nonlocal number
        number += 1
        name = f"measured-{number}"
        now = 1.0 + number * 1e-4
        scheduler.submit(_ask(name, _PROMPT_TOKENS), now)
        decision = scheduler.decide(now)[0]
        assert isinstance(decision, Granted), decision
        scheduler.record_first_token(AttemptKey(RequestId(name), 1), now)
        scheduler.decide(now)
        engine_id = decision.grant.engine_id
        outcome = GrantOutcome(RequestId(name), 1, engine_id, True, False, _OUTPUT_TOKENS)
        scheduler.finish(outcome, now)
        scheduler.decide(now)

    return cpu_seconds(run_request)


def _report_seconds(engine_count: int) -> float:
    scheduler = _busy(engine_count)
    number = 0

    def take_report() -> None:
        nonlocal number
        number += 1
        now = 1.0 + number * 1e-4
        scheduler.observe_load(_report(number % engine_count, number), now)
        scheduler.decide(now)

    return cpu_seconds(take_report)


def _busy(engine_count: int) -> PoolScheduler:
    """Returns a scheduler whose engines decode some requests each."""
    scheduler = pool_scheduler()
    scheduler.set_engines(_facts(engine_count), 0.0)
    for number in range(engine_count * FLIGHTS_PER_ENGINE):
        name = f"running-{number}"
        scheduler.submit(_ask(name, _PROMPT_TOKENS), 0.0)
        scheduler.decide(0.0)
        scheduler.record_first_token(AttemptKey(RequestId(name), 1), 0.0)
    scheduler.decide(0.0)
    return scheduler


def _full() -> PoolScheduler:
    """Returns a scheduler whose engines have no memory for another huge prompt."""
    scheduler = pool_scheduler()
    scheduler.set_engines(_facts(POOL_ENGINES), 0.0)
    for number in range(POOL_ENGINES):
        key = AttemptKey(RequestId(f"running-{number}"), 1)
        scheduler.submit(_ask(key.request_id, _HUGE_PROMPT_TOKENS), 0.0)
        if scheduler.decide(0.0):
            scheduler.record_first_token(key, 0.0)
        else:
            # A policy may keep engines free of so long a prompt.
            scheduler.withdraw(key, 0.0)
    return scheduler


def _fill_queue(scheduler: PoolScheduler, length: int) -> None:
    for number in range(length):
        scheduler.submit(_ask(f"waiting-{number}", _HUGE_PROMPT_TOKENS), 0.5)
    if scheduler.queued_count != length:
        raise ValueError(f"{scheduler.queued_count} of {length} asks wait")


def _facts(engine_count: int) -> list[EngineSpec]:
    models = frozenset({MODEL})
    return [EngineSpec(engine_name(n), models, _MEMORY_TOKENS) for n in range(engine_count)]


def _ask(name: str, prompt_tokens: int) -> GrantAsk:
    return GrantAsk(
        request_id=RequestId(name),
        attempt=1,
        vm_id=VmId("vm-0001"),
        account_id=ACCOUNT,
        model=MODEL,
        prompt_tokens=prompt_tokens,
        expected_output_tokens=_OUTPUT_TOKENS,
        max_output_tokens=_OUTPUT_TOKENS,
        remaining_seconds=36_000.0,
    )


def _report(engine_number: int, sequence: int) -> LoadReport:
    return LoadReport(
        engine_id=engine_name(engine_number),
        sequence=sequence,
        incarnation=Incarnation(1),
        running_requests=FLIGHTS_PER_ENGINE,
        waiting_requests=0,
        pending_prefill_tokens=0,
        used_memory_tokens=FLIGHTS_PER_ENGINE * (_PROMPT_TOKENS + _OUTPUT_TOKENS),
        total_memory_tokens=_MEMORY_TOKENS,
        models=(MODEL,),
    )
