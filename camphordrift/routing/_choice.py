"""What it costs to run an ask on an engine now: for itself and for those that it disturbs."""

from dataclasses import dataclass, replace
from typing import Optional

from camphordrift.routing._engine_view import EngineView, Flight
from camphordrift.routing._fair_queue import Waiting
from camphordrift.routing._policy import RoutingPolicy

#: Prefill of a longer prompt that is nearly over does not keep an engine taken, in seconds.
NEARLY_OVER_SECONDS = 0.005

#: A band's prompts overtake a longer prefill by at most this share of its time.
OVERTAKING_SHARE = 0.25

#: Slowdown expected of a short prompt on an engine that longer ones may borrow.
LENT_EXPOSURE = 0.3

#: Slowdown expected of a short prompt on an engine for longer ones.
AWAY_EXPOSURE = 1.0


@dataclass(frozen=True)
class Option:
    """An engine that could take an ask now."""

    #: The engine.
    view: EngineView

    #: What it costs; the least is chosen.
    cost: float

    #: Weighted slowdown that it causes to others on the engine.
    harm: float

    #: Estimated time to first token, in seconds.
    first_token_seconds: float

    #: Estimated time to the end, in seconds.
    total_seconds: float

    #: Prefill that the engine has to compute for it, in seconds.
    prefill_seconds: float

    #: True if no longer prompt is being prefilled there.
    free_of_bulk: bool


def short_option(
    view: EngineView, waiting: Waiting, prefill: float, policy: RoutingPolicy, exposure: float
) -> Optional[Option]:
    """Returns the option for a short prompt, or ``None`` if it should wait.

    ``exposure`` is the slowdown to expect of longer prefill that may begin there at any time.
    """
    short_backlog = view.backlog_seconds(0)
    if short_backlog > policy.short_backlog_seconds:
        return None
    option = _option(view, waiting, prefill, short_backlog, policy)
    return replace(option, cost=option.cost + policy.slowdown_weight * exposure)


def bulk_option(
    view: EngineView, waiting: Waiting, prefill: float, policy: RoutingPolicy, now: float
) -> Optional[Option]:
    """Returns the option for a longer prompt: an engine that prefills none, or a longer one."""
    running = view.bulk_prefills()
    if running and not _may_overtake(running, waiting, prefill, now):
        return None
    backlog = view.backlog_seconds(waiting.band)
    option = _option(view, waiting, prefill, backlog, policy)
    tolerance = policy.harm_tolerances[waiting.band] + waiting.urgency(now)
    if option.harm > tolerance:
        return None
    return option


def _may_overtake(running: list[Flight], waiting: Waiting, prefill: float, now: float) -> bool:
    """Allows one prompt that has waited for its own time to overtake a much longer one."""
    if len(running) > 1 or running[0].priority <= waiting.band:
        return False
    waited_long = waiting.urgency(now) > 1.0
    return waited_long and prefill <= OVERTAKING_SHARE * running[0].prefill_left


def _option(
    view: EngineView, waiting: Waiting, prefill: float, backlog: float, policy: RoutingPolicy
) -> Option:
    facts = view.facts
    chunk = view.chunk_seconds
    decoding = view.decoding()
    later = view.prefill_after(waiting.band)
    boundary = (chunk if later or backlog else 0.0) / 2 + (facts.step_seconds if decoding else 0.0)
    stretch = 1.0 + (facts.step_seconds / chunk if decoding else 0.0)
    first_token = boundary + (backlog + prefill) * stretch
    output = min(waiting.ask.expected_output_tokens, policy.most_expected_output)
    decode = output * facts.step_seconds + min(later, output * chunk)
    total = first_token + decode
    alone = prefill + output * facts.step_seconds
    harm = _harm(view, decoding, waiting.band, prefill, policy)
    weight = policy.slowdown_weight
    slowdown_cost = total / alone + harm
    first_token_cost = first_token / policy.first_token_scale_seconds
    cost = weight * slowdown_cost + (1.0 - weight) * first_token_cost
    return Option(view, cost, harm, first_token, total, prefill, not view.bulk_prefills())


def _harm(
    view: EngineView, decoding: list[Flight], band: int, prefill: float, policy: RoutingPolicy
) -> float:
    """Returns the weighted sum of the slowdowns that a new prefill causes on the engine."""
    weights = policy.disturbance_weights
    chunk = view.chunk_seconds
    harm = 0.0
    for flight in decoding:
        delay = min(prefill, flight.output_left * chunk)
        harm += weights[flight.priority] * delay / flight.alone_seconds
    for flight in view.prefilling():
        if flight.priority > band:
            harm += weights[flight.priority] * prefill / flight.alone_seconds
    return harm
