"""The cost model of engine choice: delay of a request and interference with other requests."""

from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.routing._engine_view import EngineJob, EngineView
from camphordrift.routing._policy import RoutingPolicy
from camphordrift.routing._request_queue import QueuedAsk

#: Remaining seconds of a long prefill below which the engine no longer counts as busy with it.
NEARLY_DONE_SECONDS = 0.005

#: A long prompt overtakes a longer one only if its prefill takes at most this share of the
#: remaining prefill of the longer one.
MAX_OVERTAKE_SHARE = 0.25

#: Expected slowdown of a short prompt on an engine that the split may lend to long prompts.
SHARED_ENGINE_SLOWDOWN = 0.3

#: Expected slowdown of a short prompt on an engine that the split gives to long prompts.
LONG_ENGINE_SLOWDOWN = 1.0


@dataclass(frozen=True)
class Option:
    """An engine that could run a request now."""

    #: The scheduler's estimate of the engine.
    view: EngineView

    #: Weighted sum of slowdown, interference and time to first token; the scheduler chooses the
    #: option with the lowest cost.
    cost: float

    #: Interference with other requests on the engine; see :class:`RoutingPolicy`.
    interference: float

    #: Estimated seconds from now to the first token.
    first_token_seconds: float

    #: Estimated seconds from now to the last token.
    total_seconds: float

    #: Estimated prefill time in seconds of the prompt tokens that are not cached on the engine.
    prefill_seconds: float

    #: Whether the engine prefills no long prompt now.
    without_long_prefill: bool


def short_option(
    view: EngineView,
    queued: QueuedAsk,
    prefill: float,
    policy: RoutingPolicy,
    expected_slowdown: float,
) -> Optional[Option]:
    """Returns the option of running a short prompt on an engine, or ``None`` if it should wait.

    ``expected_slowdown`` is the slowdown to expect from long prefills that may start on the engine
    at any time.
    """
    short_backlog = view.backlog_seconds(0)
    if short_backlog > policy.max_short_backlog_seconds:
        return None
    option = _estimate_option(view, queued, prefill, short_backlog, policy)
    return replace(option, cost=option.cost + policy.slowdown_weight * expected_slowdown)


def long_option(
    view: EngineView, queued: QueuedAsk, prefill: float, policy: RoutingPolicy, now: float
) -> Optional[Option]:
    """Returns the option of running a long prompt on an engine, or ``None`` if it should wait.

    There is one if the engine prefills no other long prompt, or one that this prompt may overtake,
    and if the interference stays within the limit.
    """
    running = view.long_prefills()
    if running and not _may_overtake(running, queued, prefill, now):
        return None
    backlog = view.backlog_seconds(queued.band)
    option = _estimate_option(view, queued, prefill, backlog, policy)
    limit = policy.interference_limits[queued.band] + queued.waiting_ratio(now)
    if option.interference > limit:
        return None
    return option


def _may_overtake(running: list[EngineJob], queued: QueuedAsk, prefill: float, now: float) -> bool:
    """Returns whether a prompt may overtake the only long prefill of the engine.

    The prompt must have waited for longer than its own prefill time, and the running prefill must
    be much longer.
    """
    if len(running) > 1 or running[0].priority <= queued.band:
        return False
    waited_long = queued.waiting_ratio(now) > 1.0
    return waited_long and prefill <= MAX_OVERTAKE_SHARE * running[0].remaining_prefill


def _estimate_option(
    view: EngineView, queued: QueuedAsk, prefill: float, backlog: float, policy: RoutingPolicy
) -> Option:
    spec = view.spec
    chunk = view.chunk_seconds
    decoding = view.decoding_jobs()
    prefill_behind = view.lower_priority_prefill(queued.band)
    step_wait = (chunk if prefill_behind or backlog else 0.0) / 2 + (
        spec.step_seconds if decoding else 0.0
    )
    interleave_factor = 1.0 + (spec.step_seconds / chunk if decoding else 0.0)
    first_token = step_wait + (backlog + prefill) * interleave_factor
    output = min(queued.ask.expected_output_tokens, policy.max_expected_output_tokens)
    decode = output * spec.step_seconds + min(prefill_behind, output * chunk)
    total = first_token + decode
    unloaded = prefill + output * spec.step_seconds
    interference = _interference(view, decoding, queued.band, prefill, policy)
    weight = policy.slowdown_weight
    slowdown_cost = total / unloaded + interference
    first_token_cost = first_token / policy.first_token_scale_seconds
    cost = weight * slowdown_cost + (1.0 - weight) * first_token_cost
    return Option(view, cost, interference, first_token, total, prefill, not view.long_prefills())


def _interference(
    view: EngineView, decoding: list[EngineJob], band: int, prefill: float, policy: RoutingPolicy
) -> float:
    """Returns the interference of a new prefill with the other requests on the engine."""
    weights = policy.interference_weights
    chunk = view.chunk_seconds
    interference = 0.0
    for job in decoding:
        delay = min(prefill, job.remaining_output * chunk)
        interference += weights[job.priority] * delay / job.unloaded_seconds
    for job in view.prefilling_jobs():
        if job.priority > band:
            interference += weights[job.priority] * prefill / job.unloaded_seconds
    return interference
