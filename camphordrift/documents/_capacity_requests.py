"""The capacity of the roles on the way of a request: entry VM and home VM of a pool."""

import math

from camphordrift.documents import _capacity_sizes as sizes
from camphordrift.documents._capacity_figures import Figures, number, size_text
from camphordrift.documents._capacity_role import RoleReport
from camphordrift.entry._engine_poller import (
    FALLBACK_LOAD_INTERVAL_SECONDS,
    LOAD_INTERVAL_SECONDS,
    LOAD_POLLS_PER_CACHE_POLL,
)
from camphordrift.routing import RoutingPolicy

#: The mix for which requests are worked out, in thousand prompt tokens; the stated size says only
#: that one in fifty is over a hundred thousand.
_LONG_SHARE = 1 / 50
_SHORT_THOUSANDS = 10
_LONG_THOUSANDS = 300

#: Engines of a pool with a home VM of its own.
_POOL_ENGINES = 32

#: Part of a core that the relay of tokens may take, so that streams do not wait for each other.
_RELAY_CORE_SHARE = 0.6

#: Longest time between tokens, in ms, that 95 in 100 may see.
_TOKEN_GAP_MS = 63


def entry_role(figures: Figures) -> RoleReport:
    """Returns the capacity of an entry VM."""
    short = figures.at("request_cpu_by_prompt", _SHORT_THOUSANDS)
    long = figures.at("request_cpu_by_prompt", _LONG_THOUSANDS)
    mean_ms = (1 - _LONG_SHARE) * short.value + _LONG_SHARE * long.value
    request_ms = mean_ms * sizes.REQUESTS_PER_VM
    token = figures.line("relay_cpu_by_tokens")
    check = figures.line("relay_check_cpu_by_tokens")
    relay_ms = token.slope * sizes.TOKENS_PER_VM
    event_us = figures.line("relay_cpu_by_event_tokens")
    merged = figures.line("relay_cpu_coalesced")
    allowed_us = _RELAY_CORE_SHARE * 1e6 / sizes.TOKENS_PER_VM
    loops = math.ceil((relay_ms + request_ms) / 1000 / _RELAY_CORE_SHARE)
    tokens_per_event = _smallest_event(event_us.base, event_us.slope, allowed_us)
    million = figures.at("request_cpu_by_prompt", 1000)
    return RoleReport(
        name="Entry VM",
        mechanism="one loop reads, checks, grants, and relays each token as an event of its own",
        memory="bodies up to the VM's configured bound; nothing that grows with the fleet",
        messages=f"{number(sizes.REQUESTS_PER_VM)} requests/s, {number(sizes.TOKENS_PER_VM)} "
        "tokens/s",
        processor=f"{number(relay_ms / 1000)} cores for tokens, {number(request_ms / 10)}% for "
        "requests",
        verdict="**breaks** at the relay of tokens",
        steps=(
            f"Requests: {sizes.REQUESTS_PER_SECOND:,} / {sizes.VMS:,} VMs = "
            f"{number(sizes.REQUESTS_PER_VM)} a second on each.",
            f"Request of {_SHORT_THOUSANDS}k tokens: {short.steps}.",
            f"Request of {_LONG_THOUSANDS}k tokens: {long.steps}.",
            f"Mix, an assumption (49 of 50 of the first, 1 of 50 of the second): "
            f"{number(mean_ms)} ms × {number(sizes.REQUESTS_PER_VM)}/s = **{number(request_ms)} "
            f"ms/s**, {number(request_ms / 10)}% of a core.",
            f"A prompt of a million tokens: {million.steps}. For so long the loop serves nobody "
            f"else, against {_TOKEN_GAP_MS} ms between tokens.",
            f"Tokens: {sizes.TOKENS_PER_SECOND:,} / {sizes.VMS:,} = {number(sizes.TOKENS_PER_VM)} "
            f"a second on each VM.",
            f"One token, one event: {number(token.slope * 1000)} ± "
            f"{number(token.slope_error * 1000)} µs (`relay_cpu_by_tokens`, its slope) × "
            f"{number(sizes.TOKENS_PER_VM)}/s = **{number(relay_ms)} ms/s**; of it "
            f"{number(check.slope * 1000)} µs to split, decode, check and format "
            f"(`relay_check_cpu_by_tokens`), the rest to write. Sockets come on top.",
        ),
        breaks=(
            f"{number(relay_ms / 1000)} s of processor time a second do not fit one loop; one core "
            f"relays {number(1000 / token.slope)} tokens/s at the most.",
        ),
        instead=(
            f"A cheaper event: {number(allowed_us)} µs a token would fit "
            f"{_RELAY_CORE_SHARE:.0%} of "
            f"a core ({_RELAY_CORE_SHARE} s / {number(sizes.TOKENS_PER_VM)}). The check and the "
            f"format alone take {number(check.slope * 1000)} µs, which leaves "
            f"{number(allowed_us - check.slope * 1000)} µs for the write, of "
            f"{number((token.slope - check.slope) * 1000)} µs today (a lock, a timeout and a chunk "
            f"for each event).",
            f"Several tokens in one event, as engines send that decode several in a step: "
            f"{number(event_us.base)} + {number(event_us.slope)} µs × tokens an event; "
            f"{tokens_per_event} tokens an event fit. One stream has about one token each "
            f"{_TOKEN_GAP_MS} ms, so the VM itself cannot gather them without missing that bound: "
            f"only the engine's own steps count, or a slower bound for callers that agree.",
            f"Behind the engines, a loop finds several events in one read. Merging those costs "
            f"{number(merged.base)} + {number(merged.slope)} µs × events a read "
            f"(`relay_cpu_coalesced`, a trial), so that it catches up instead of falling further "
            f"behind; it delays no token.",
            f"More loops: {loops} processes on each VM, each with its own port behind the "
            f"platform's balancer and a member of its own, started by the platform. Then all that "
            f"grows with the number of VMs grows {loops} times, which is why the tree below "
            f"starts at the VM.",
            "Bodies over a few hundred KB: passed on in pieces without being parsed whole, so that "
            "no step holds the loop for longer than the time between tokens.",
        ),
    )


def pool_role(figures: Figures) -> RoleReport:
    """Returns the capacity of the home VM of a pool of engines."""
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
    ask = figures.at("ask_bytes_by_engines", sizes.ENGINES_PER_SERVICE)
    ask_rate = ask.value * sizes.REQUESTS_PER_VM
    permit = figures.at("permit_cpu_by_engines", sizes.ENGINES_PER_SERVICE)
    short_ask = figures.line("ask_bytes_by_engines").base
    reads = 1 + 1 / LOAD_POLLS_PER_CACHE_POLL
    polls = reads * sizes.VMS * sizes.ENGINES / FALLBACK_LOAD_INTERVAL_SECONDS
    home_polls = reads * report_rate
    pools = math.ceil(sizes.ENGINES / _POOL_ENGINES)
    load = figures.at("load_report_bytes_by_models", 1)
    fitting = _largest_pool(figures)
    rounds = 3 * rate
    return RoleReport(
        name="Home VM of a pool of engines",
        mechanism="the home VM of a service queues for all its engines; entry VMs ask it, and "
        "only it reads the engines often",
        memory=f"{size_text(state.value)} for {_POOL_ENGINES} engines, "
        f"{number(waiting.slope)} B an ask that waits",
        messages=f"{number(rate)} asks/s, {number(report_rate)} reports/s",
        processor=f"{number(cpu_ms / 10)}% of a core for {_POOL_ENGINES} engines",
        verdict="**breaks** for whole services; holds for pools, apart from control bytes",
        steps=(
            f"Requests of a pool of {_POOL_ENGINES}: {sizes.REQUESTS_PER_SECOND:,} / "
            f"{sizes.ENGINES:,} engines = {number(sizes.REQUESTS_PER_ENGINE)} a second and engine, "
            f"× {_POOL_ENGINES} = {number(rate)}/s.",
            f"One request: {decision.steps}.",
            f"One load report: {report.steps}.",
            f"Together: {number(rate)} × {number(decision.value)} µs + {number(report_rate)} × "
            f"{number(report.value)} µs = **{number(cpu_ms)} ms/s**.",
            f"State: {state.steps}; an ask that waits {number(waiting.slope)} ± "
            f"{number(waiting.slope_error)} B (`scheduler_state_by_queue`).",
            f"Prefix caches: {number(cache.slope)} ± {number(cache.slope_error)} B a block that is "
            f"remembered (`cache_knowledge_state_by_blocks`, its slope) × {blocks} blocks × "
            f"{_POOL_ENGINES} = {size_text(cache.slope * blocks * _POOL_ENGINES)}.",
            f"A round of decisions that can grant nothing: {number(queue.base)} µs and "
            f"{number(queue.slope)} ± {number(queue.slope_error)} µs an ask that waits "
            f"(`scheduler_cpu_by_queue`), with three rounds a request.",
        ),
        breaks=(
            f"A whole service has {number(sizes.ENGINES_PER_SERVICE)} engines. The ask of an "
            f"account that may reach some of them only names these, at the worst: {ask.steps}; × "
            f"{number(sizes.REQUESTS_PER_VM)}/s = {size_text(ask_rate)}/s from each VM, against "
            f"{size_text(sizes.BUDGET_BYTES_PER_SECOND)}/s. Making it: {permit.steps}.",
            f"Every VM reads every engine's load, if rarely, and cache events with some: "
            f"{number(reads)} × {sizes.VMS:,} × {sizes.ENGINES:,} / "
            f"{FALLBACK_LOAD_INTERVAL_SECONDS} s = "
            f"{number(polls)} HTTP requests/s in all, {number(polls / sizes.ENGINES)} on each "
            f"engine.",
            f"{number(rounds)} rounds a second cost {number(rounds * queue.base / 1000)} ms/s "
            f"with nothing waiting, so a home has to be asked by less than a whole service.",
            f"As control, the pool's {number(cpu_ms)} ms/s are over {sizes.BUDGET_CPU_MS:g} ms/s; "
            f"{_fitting_text(fitting)}",
            f"Messages for each request cannot be control of "
            f"{size_text(sizes.BUDGET_BYTES_PER_SECOND)}/s: with "
            f"{number(sizes.REQUESTS_PER_VM)} requests/s that is "
            f"{number(sizes.BUDGET_BYTES_PER_SECOND / sizes.REQUESTS_PER_VM)} B a request, and the "
            f"shortest ask has {number(short_ask)} B. Asks and grants are counted with the "
            f"requests they serve, or credits replace them.",
        ),
        instead=(
            f"Pools of {_POOL_ENGINES} engines of one model in one zone, {pools} pools, one home "
            f"VM each by rendezvous hash over the zone's VMs: {number(pools / sizes.VMS)} pools a "
            f"VM. An ask names the pool and the policy's version, not the engines: about "
            f"{number(short_ask)} B (the base of `ask_bytes_by_engines`).",
            f"Only the home and the next in line read the engines: {number(reads)} × "
            f"{_POOL_ENGINES} / {LOAD_INTERVAL_SECONDS} s = {number(home_polls)} HTTP requests/s "
            f"for the home. Load reports alone are {number(load.value)} B × "
            f"{number(report_rate)}/s = {size_text(load.value * report_rate)}/s, which is over "
            f"{size_text(sizes.BUDGET_BYTES_PER_SECOND)}/s: pushed by the engine on change, or "
            f"read every {number(load.value * _POOL_ENGINES / sizes.BUDGET_BYTES_PER_SECOND * 2)} "
            f"s (half of the budget), since the home knows its own grants exactly.",
            "A VM chooses among pools of its zone by two choices from the loads that homes add to "
            "their grants; no VM knows all pools. How much slowdown a subset costs is for the "
            "measuring tool and has not been measured.",
        ),
    )


def _largest_pool(figures: Figures) -> int:
    """Returns the most engines whose requests cost no more than the control budget; 0 if none."""
    line = figures.line("scheduler_cpu_by_engines")
    fitting = [
        engines
        for engines in range(1, _POOL_ENGINES + 1)
        if engines * sizes.REQUESTS_PER_ENGINE * line.at(engines) / 1000 <= sizes.BUDGET_CPU_MS
    ]
    return max(fitting, default=0)


def _fitting_text(fitting: int) -> str:
    if not fitting:
        return "no pool, however small, fits."
    plural = "engine" if fitting == 1 else "engines"
    return (
        f"{fitting} {plural} would fit it. So the grants of a request are counted with "
        f"the request, not as control."
    )


def _smallest_event(base: float, slope: float, allowed: float) -> int:
    """Returns how many tokens an event must have for a token to cost no more than allowed."""
    if slope >= allowed:
        raise ValueError("no event is large enough")
    return math.ceil(base / (allowed - slope))
