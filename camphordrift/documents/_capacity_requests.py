"""Capacity of the roles that handle a request: entry VM and home VM of an engine pool.

The home VM of a pool coordinates its engines: it queues grant requests and grants engines.
"""

import math

from camphordrift.documents import _capacity_sizes as sizes
from camphordrift.documents._capacity_figures import Figures, format_size, number
from camphordrift.documents._capacity_role import RoleReport
from camphordrift.entry._engine_poller import (
    FALLBACK_LOAD_INTERVAL_SECONDS,
    LOAD_INTERVAL_SECONDS,
    LOAD_POLLS_PER_CACHE_POLL,
)
from camphordrift.routing import RoutingPolicy

#: The assumed mix of requests: share of long prompts, and thousands of tokens of a short and a long
#: prompt. The specification says only that one prompt in fifty has over a hundred thousand tokens.
_LONG_SHARE = 1 / 50
_SHORT_THOUSANDS = 10
_LONG_THOUSANDS = 300

#: Engines per pool that has its own home VM, in the proposal.
_POOL_ENGINES = 32

#: Maximum share of a core for relaying tokens, so that streams do not delay each other.
_RELAY_CORE_SHARE = 0.6

#: Required 95th percentile of the time between tokens, in ms.
_TOKEN_GAP_MS = 63


def entry_role(figures: Figures) -> RoleReport:
    """Returns the capacity of handling requests on an entry VM."""
    short = figures.at("request_cpu_by_prompt", _SHORT_THOUSANDS)
    long = figures.at("request_cpu_by_prompt", _LONG_THOUSANDS)
    mean_ms = (1 - _LONG_SHARE) * short.value + _LONG_SHARE * long.value
    request_ms = mean_ms * sizes.REQUESTS_PER_VM
    token = figures.line("relay_cpu_by_tokens")
    check = figures.line("relay_check_cpu_by_tokens")
    relay_ms = token.slope * sizes.TOKENS_PER_VM
    event_us = figures.line("relay_cpu_by_event_tokens")
    coalesced = figures.line("relay_cpu_coalesced")
    budget_us = _RELAY_CORE_SHARE * 1e6 / sizes.TOKENS_PER_VM
    processes = math.ceil((relay_ms + request_ms) / 1000 / _RELAY_CORE_SHARE)
    tokens_per_event = _min_tokens_per_event(event_us.base, event_us.slope, budget_us)
    million = figures.at("request_cpu_by_prompt", 1000)
    return RoleReport(
        name="Entry VM",
        mechanism="one event loop receives and validates requests, obtains grants, and relays "
        "each token as a separate event",
        memory="bodies up to the VM's configured limit; nothing that grows with the fleet",
        messages=f"{number(sizes.REQUESTS_PER_VM)} requests/s, {number(sizes.TOKENS_PER_VM)} "
        "tokens/s",
        cpu_time=f"{number(relay_ms / 1000)} cores for tokens, {number(request_ms / 10)}% for "
        "requests",
        assessment="**exceeds** one core for relaying tokens",
        steps=(
            f"Requests: {sizes.REQUESTS_PER_SECOND:,} / {sizes.VMS:,} VMs = "
            f"{number(sizes.REQUESTS_PER_VM)} per second on each.",
            f"Request of {_SHORT_THOUSANDS}k tokens: {short.steps}.",
            f"Request of {_LONG_THOUSANDS}k tokens: {long.steps}.",
            f"Assumed mix (49 of 50 are the first, 1 of 50 the second): "
            f"{number(mean_ms)} ms × {number(sizes.REQUESTS_PER_VM)}/s = **{number(request_ms)} "
            f"ms/s**, {number(request_ms / 10)}% of a core.",
            f"A prompt of a million tokens: {million.steps}. During this time the event loop is "
            f"blocked, while at most {_TOKEN_GAP_MS} ms may pass between tokens.",
            f"Tokens: {sizes.TOKENS_PER_SECOND:,} / {sizes.VMS:,} = {number(sizes.TOKENS_PER_VM)} "
            f"per second on each VM.",
            f"One event per token: {number(token.slope * 1000)} ± "
            f"{number(token.slope_error * 1000)} µs (`relay_cpu_by_tokens`, slope) × "
            f"{number(sizes.TOKENS_PER_VM)}/s = **{number(relay_ms)} ms/s**, including "
            f"{number(check.slope * 1000)} µs to split, decode, validate and format "
            f"(`relay_check_cpu_by_tokens`); the rest is for writing. The cost of sockets is "
            f"additional.",
        ),
        limits=(
            f"{number(relay_ms / 1000)} s of CPU time per second exceed one event loop; one core "
            f"relays at most {number(1000 / token.slope)} tokens/s.",
        ),
        proposal=(
            f"Cheaper events: {number(budget_us)} µs per token would fit "
            f"{_RELAY_CORE_SHARE:.0%} of "
            f"a core ({_RELAY_CORE_SHARE} s / {number(sizes.TOKENS_PER_VM)}). Validation and "
            f"formatting alone take {number(check.slope * 1000)} µs, which leaves "
            f"{number(budget_us - check.slope * 1000)} µs for writing, of "
            f"{number((token.slope - check.slope) * 1000)} µs today (a lock, a timeout and a chunk "
            f"per event).",
            f"Several tokens per event, as sent by engines that decode several tokens in a step: "
            f"{number(event_us.base)} + {number(event_us.slope)} µs × tokens per event; "
            f"{tokens_per_event} tokens per event fit. One stream has about one token every "
            f"{_TOKEN_GAP_MS} ms, so the VM cannot batch tokens itself without exceeding that "
            f"limit: only the engine's steps help, or a larger gap for callers that accept it.",
            f"An event loop that is behind the engines finds several events in one read. "
            f"Coalescing them costs {number(coalesced.base)} + {number(coalesced.slope)} µs × "
            f"events per read (`relay_cpu_coalesced`, a trial), so that the loop catches up "
            f"instead of falling further behind; no token is delayed.",
            f"More event loops: {processes} processes on each VM, each with its own port behind "
            f"the platform's load balancer and its own membership, started by the platform. All "
            f"costs that grow with the number of VMs then grow {processes} times, so the tree "
            f"below starts at the VM.",
            "Bodies over a few hundred KB: forwarded in parts without being parsed completely, "
            "so that no step blocks the event loop for longer than the time between tokens.",
        ),
    )


def pool_role(figures: Figures) -> RoleReport:
    """Returns the capacity of the home VM of an engine pool."""
    rate = sizes.REQUESTS_PER_ENGINE * _POOL_ENGINES
    decision = figures.at("scheduler_cpu_by_engines", _POOL_ENGINES)
    report = figures.at("scheduler_report_cpu_by_engines", _POOL_ENGINES)
    report_rate = _POOL_ENGINES / LOAD_INTERVAL_SECONDS
    cpu_ms = (rate * decision.value + report_rate * report.value) / 1000
    state = figures.at("scheduler_state_by_engines", _POOL_ENGINES)
    queue = figures.line("scheduler_cpu_by_queue")
    waiting = figures.line("scheduler_state_by_queue")
    cache = figures.line("cache_knowledge_state_by_blocks")
    blocks = RoutingPolicy().max_cache_blocks
    grant_request = figures.at("ask_bytes_by_engines", sizes.ENGINES_PER_SERVICE)
    grant_request_rate = grant_request.value * sizes.REQUESTS_PER_VM
    permit = figures.at("permit_cpu_by_engines", sizes.ENGINES_PER_SERVICE)
    shortest_request = figures.line("ask_bytes_by_engines").base
    reads = 1 + 1 / LOAD_POLLS_PER_CACHE_POLL
    polls = reads * sizes.VMS * sizes.ENGINES / FALLBACK_LOAD_INTERVAL_SECONDS
    home_polls = reads * report_rate
    pools = math.ceil(sizes.ENGINES / _POOL_ENGINES)
    load = figures.at("load_report_bytes_by_models", 1)
    fitting_engines = _largest_pool(figures)
    rounds = 3 * rate
    return RoleReport(
        name="Home VM of a pool of engines",
        mechanism="the home VM of a service keeps the queue for all its engines; entry VMs send "
        "it grant requests, and only it polls the engines frequently",
        memory=f"{format_size(state.value)} for {_POOL_ENGINES} engines, "
        f"{number(waiting.slope)} B per waiting grant request",
        messages=f"{number(rate)} grant requests/s, {number(report_rate)} load reports/s",
        cpu_time=f"{number(cpu_ms / 10)}% of a core for {_POOL_ENGINES} engines",
        assessment="**exceeds** the budget for whole services; sufficient for pools, except "
        "control bytes",
        steps=(
            f"Requests of a pool of {_POOL_ENGINES}: {sizes.REQUESTS_PER_SECOND:,} / "
            f"{sizes.ENGINES:,} engines = {number(sizes.REQUESTS_PER_ENGINE)} per second and "
            f"engine, × {_POOL_ENGINES} = {number(rate)}/s.",
            f"CPU time of one request: {decision.steps}.",
            f"CPU time of one load report: {report.steps}.",
            f"Total: {number(rate)} × {number(decision.value)} µs + {number(report_rate)} × "
            f"{number(report.value)} µs = **{number(cpu_ms)} ms/s**.",
            f"State: {state.steps}; a waiting grant request: {number(waiting.slope)} ± "
            f"{number(waiting.slope_error)} B (`scheduler_state_by_queue`).",
            f"Prefix caches: {number(cache.slope)} ± {number(cache.slope_error)} B per stored "
            f"block (`cache_knowledge_state_by_blocks`, slope) × {blocks} blocks × "
            f"{_POOL_ENGINES} = {format_size(cache.slope * blocks * _POOL_ENGINES)}.",
            f"A scheduling round without a grant: {number(queue.base)} µs and "
            f"{number(queue.slope)} ± {number(queue.slope_error)} µs per waiting grant "
            f"request (`scheduler_cpu_by_queue`), with three rounds per request.",
        ),
        limits=(
            f"A whole service has {number(sizes.ENGINES_PER_SERVICE)} engines. A grant request "
            f"of an account that may use only some of them lists these; at worst: "
            f"{grant_request.steps}; × {number(sizes.REQUESTS_PER_VM)}/s = "
            f"{format_size(grant_request_rate)}/s from each VM, against "
            f"{format_size(sizes.BUDGET_BYTES_PER_SECOND)}/s. Creating it: {permit.steps}.",
            f"Every VM polls every engine's load, though rarely, and sometimes its cache events: "
            f"{number(reads)} × {sizes.VMS:,} × {sizes.ENGINES:,} / "
            f"{FALLBACK_LOAD_INTERVAL_SECONDS} s = "
            f"{number(polls)} HTTP requests/s in total, {number(polls / sizes.ENGINES)} on each "
            f"engine.",
            f"{number(rounds)} rounds per second cost {number(rounds * queue.base / 1000)} ms/s "
            f"with an empty queue, so a home VM must serve less than a whole service.",
            f"As control, the pool's {number(cpu_ms)} ms/s exceed {sizes.BUDGET_CPU_MS:g} ms/s; "
            f"{_fitting_engines_text(fitting_engines)}",
            f"Messages per request cannot be part of the control budget of "
            f"{format_size(sizes.BUDGET_BYTES_PER_SECOND)}/s: with {number(sizes.REQUESTS_PER_VM)} "
            f"requests/s this is {number(sizes.BUDGET_BYTES_PER_SECOND / sizes.REQUESTS_PER_VM)} "
            f"B per request, and the shortest grant request has {number(shortest_request)} B. "
            f"Grant requests and grants must be counted with the requests they serve, or be "
            f"replaced by credits.",
        ),
        proposal=(
            f"Pools of {_POOL_ENGINES} engines of one model in one zone, {pools} pools, one home "
            f"VM each by rendezvous hashing over the zone's VMs: {number(pools / sizes.VMS)} "
            f"pools per VM. A grant request contains the pool and the policy's version, not the "
            f"engines: about {number(shortest_request)} B (`ask_bytes_by_engines`, base).",
            f"Only the home VM and its first standby poll the engines: {number(reads)} × "
            f"{_POOL_ENGINES} / {LOAD_INTERVAL_SECONDS} s = {number(home_polls)} HTTP requests/s "
            f"for the home VM. Load reports alone are {number(load.value)} B × "
            f"{number(report_rate)}/s = {format_size(load.value * report_rate)}/s, which exceeds "
            f"{format_size(sizes.BUDGET_BYTES_PER_SECOND)}/s: engines must push changes, or be "
            f"polled every "
            f"{number(load.value * _POOL_ENGINES / sizes.BUDGET_BYTES_PER_SECOND * 2)} s (half "
            f"of the budget). Polling rarely is enough, since the home VM knows its own grants "
            f"exactly.",
            "A VM chooses between two random pools of its zone by the loads that home VMs add to "
            "their grants; no VM stores all pools. The slowdown caused by choosing from a subset "
            "has to be determined with the measuring tool and has not been measured.",
        ),
    )


def _largest_pool(figures: Figures) -> int:
    """Returns the largest number of engines whose scheduling fits the control budget, or 0."""
    line = figures.line("scheduler_cpu_by_engines")
    fitting_engines = [
        engines
        for engines in range(1, _POOL_ENGINES + 1)
        if engines * sizes.REQUESTS_PER_ENGINE * line.at(engines) / 1000 <= sizes.BUDGET_CPU_MS
    ]
    return max(fitting_engines, default=0)


def _fitting_engines_text(fitting_engines: int) -> str:
    if not fitting_engines:
        return "not even a pool of one engine fits."
    noun = "engine" if fitting_engines == 1 else "engines"
    return (
        f"{fitting_engines} {noun} would fit. So the grants of a request are counted with "
        f"the request, not as control."
    )


def _min_tokens_per_event(base: float, slope: float, allowed: float) -> int:
    """Returns the fewest tokens per event whose cost per token is at most ``allowed``."""
    if slope >= allowed:
        raise ValueError("the cost per token exceeds the limit for events of any size")
    return math.ceil(base / (allowed - slope))
