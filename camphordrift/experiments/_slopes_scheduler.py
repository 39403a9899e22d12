"""Measures CPU time and memory of a pool's scheduler by engines and by queued grant requests."""

from collections.abc import Sequence

from xxhash import xxh3_64_intdigest

from camphordrift.backend_servers import LoadReport
from camphordrift.experiments._slope_series import (
    Series,
    SeriesDefinition,
    allocated_bytes,
    cpu_seconds,
)
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

#: Requests that run on each engine during the measurement.
RUNNING_REQUESTS_PER_ENGINE = 8

#: Engines of the pool while the number of queued grant requests varies.
POOL_ENGINES = 32

_MEMORY_TOKENS = 450_000
_PROMPT_TOKENS = 1_000
_OUTPUT_TOKENS = 300

#: Tokens of a prompt that needs so much memory that an engine holds only one of them.
_HUGE_PROMPT_TOKENS = 300_000

_DECISION_CPU = SeriesDefinition(
    "scheduler_cpu_by_engines",
    "one ask: submit, decide, first token, decide, finish, decide; 8 requests run on each engine",
    "engines of the pool",
    "us CPU per request",
)
_REPORT_CPU = SeriesDefinition(
    "scheduler_report_cpu_by_engines",
    "one load report and the decisions after it; 8 requests run on each engine",
    "engines of the pool",
    "us CPU per report",
)
_STATE = SeriesDefinition(
    "scheduler_state_by_engines",
    "state of a pool's scheduler; 8 requests run on each engine",
    "engines of the pool",
    "bytes",
)
_QUEUE_CPU = SeriesDefinition(
    "scheduler_cpu_by_queue",
    "one round of decisions that can grant nothing; 32 engines, all full",
    "asks that wait",
    "us CPU per round",
)
_QUEUE_STATE = SeriesDefinition(
    "scheduler_state_by_queue",
    "state of the asks that wait; 32 engines, all full",
    "asks that wait",
    "bytes",
)


_CACHE_STATE = SeriesDefinition(
    "cache_knowledge_state_by_blocks",
    "what is believed of one engine's prefix cache",
    "prompt blocks remembered",
    "bytes",
)


def measure_prefix_cache_estimate(block_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures the memory of the estimate of one engine's prefix cache by its blocks."""
    return (
        _CACHE_STATE.measure(
            block_counts,
            lambda count: float(allocated_bytes(lambda: _prefix_cache_estimate(count))[1]),
        ),
    )


def _prefix_cache_estimate(block_count: int) -> PrefixCacheEstimate:
    """Returns the estimate of a prefix cache with ``block_count`` blocks and 64-bit hashes."""
    estimate = PrefixCacheEstimate(block_count, block_tokens=1024)
    estimate.record_stored(tuple(xxh3_64_intdigest(str(n).encode()) for n in range(block_count)))
    return estimate


def measure_scheduler_by_engines(engine_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures CPU time of decisions and load reports, and memory, by the engines of a pool."""
    return (
        _DECISION_CPU.measure(engine_counts, lambda count: _decision_cpu_seconds(count) * 1e6),
        _REPORT_CPU.measure(engine_counts, lambda count: _report_cpu_seconds(count) * 1e6),
        _STATE.measure(
            engine_counts, lambda count: float(allocated_bytes(lambda: _busy_scheduler(count))[1])
        ),
    )


def measure_scheduler_by_queue(queue_lengths: Sequence[int]) -> tuple[Series, ...]:
    """Measures CPU time of one decision round, and memory, by the queued grant requests."""

    def round_cost(length: int) -> float:
        scheduler = _full_scheduler()
        _fill_queue(scheduler, length)
        return cpu_seconds(lambda: scheduler.decide(1.0)) * 1e6

    def state(length: int) -> float:
        scheduler = _full_scheduler()
        _, size = allocated_bytes(lambda: _fill_queue(scheduler, length))
        return float(size)

    return (
        _QUEUE_CPU.measure(queue_lengths, round_cost),
        _QUEUE_STATE.measure(queue_lengths, state),
    )


def _decision_cpu_seconds(engine_count: int) -> float:
    scheduler = _busy_scheduler(engine_count)
    number = 0

    def run_request() -> None:
        nonlocal number
        number += 1
        name = f"measured-{number}"
        now = 1.0 + number * 1e-4
        scheduler.submit(_grant_request(name, _PROMPT_TOKENS), now)
        decision = scheduler.decide(now)[0]
        assert isinstance(decision, Granted), decision
        scheduler.record_first_token(AttemptKey(RequestId(name), 1), now)
        scheduler.decide(now)
        engine_id = decision.grant.engine_id
        outcome = GrantOutcome(RequestId(name), 1, engine_id, True, False, _OUTPUT_TOKENS)
        scheduler.finish(outcome, now)
        scheduler.decide(now)

    return cpu_seconds(run_request)


def _report_cpu_seconds(engine_count: int) -> float:
    scheduler = _busy_scheduler(engine_count)
    number = 0

    def observe_report() -> None:
        nonlocal number
        number += 1
        now = 1.0 + number * 1e-4
        scheduler.observe_load(_load_report(number % engine_count, number), now)
        scheduler.decide(now)

    return cpu_seconds(observe_report)


def _busy_scheduler(engine_count: int) -> PoolScheduler:
    """Returns a scheduler whose engines each decode ``RUNNING_REQUESTS_PER_ENGINE`` requests."""
    scheduler = pool_scheduler()
    scheduler.set_engines(_engine_specs(engine_count), 0.0)
    for number in range(engine_count * RUNNING_REQUESTS_PER_ENGINE):
        name = f"running-{number}"
        scheduler.submit(_grant_request(name, _PROMPT_TOKENS), 0.0)
        scheduler.decide(0.0)
        scheduler.record_first_token(AttemptKey(RequestId(name), 1), 0.0)
    scheduler.decide(0.0)
    return scheduler


def _full_scheduler() -> PoolScheduler:
    """Returns a scheduler whose engines lack the memory for another prompt of the huge size."""
    scheduler = pool_scheduler()
    scheduler.set_engines(_engine_specs(POOL_ENGINES), 0.0)
    for number in range(POOL_ENGINES):
        key = AttemptKey(RequestId(f"running-{number}"), 1)
        scheduler.submit(_grant_request(key.request_id, _HUGE_PROMPT_TOKENS), 0.0)
        if scheduler.decide(0.0):
            scheduler.record_first_token(key, 0.0)
        else:
            # The placement policy may reserve some engines for shorter prompts.
            scheduler.withdraw(key, 0.0)
    return scheduler


def _fill_queue(scheduler: PoolScheduler, length: int) -> None:
    for number in range(length):
        scheduler.submit(_grant_request(f"waiting-{number}", _HUGE_PROMPT_TOKENS), 0.5)
    if scheduler.queued_count != length:
        raise ValueError(f"only {scheduler.queued_count} of {length} grant requests are queued")


def _engine_specs(engine_count: int) -> list[EngineSpec]:
    models = frozenset({MODEL})
    return [EngineSpec(engine_name(n), models, _MEMORY_TOKENS) for n in range(engine_count)]


def _grant_request(name: str, prompt_tokens: int) -> GrantAsk:
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


def _load_report(engine_number: int, sequence: int) -> LoadReport:
    return LoadReport(
        engine_id=engine_name(engine_number),
        sequence=sequence,
        incarnation=Incarnation(1),
        running_requests=RUNNING_REQUESTS_PER_ENGINE,
        waiting_requests=0,
        pending_prefill_tokens=0,
        used_memory_tokens=RUNNING_REQUESTS_PER_ENGINE * (_PROMPT_TOKENS + _OUTPUT_TOKENS),
        total_memory_tokens=_MEMORY_TOKENS,
        models=(MODEL,),
    )
