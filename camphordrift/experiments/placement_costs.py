"""Measures what the leader spends on a short request, by the numbers of engines and accounts.

Run with ``make bench`` or ``python -m camphordrift.experiments.placement_costs``. Only decisions
are measured: submission, placement, first event and end; no sockets, messages or logs.
"""

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from types import FrameType

from camphordrift.relay.model._values import BackendServer, EngineCosts, ServerState
from camphordrift.relay.scheduling._engine_pool import EnginePool
from camphordrift.relay.scheduling._placement_values import AttemptOutcome, Grant, PlacementRequest

#: Engines of the large deployment, with five slots each.
_COSTS = EngineCosts(
    slots=5,
    memory_tokens=315_000,
    decode_steps_per_iteration=80,
    decode_step_time=0.00085,
    decode_step_time_per_request=0.00000425,
    decode_step_time_per_context_token=2.85e-9,
    prefill_time_per_token=1 / 177_000,
    prefill_time_per_token_pair=0.184e-9,
)

#: Numbers of engines measured by default.
ENGINE_COUNTS = (23, 78, 195, 313, 1000)

#: Numbers of client accounts measured with a backlog.
ACCOUNT_COUNTS = (1, 24, 970)

#: Share of the slots that are taken before the measurement, without waiting requests.
_USED_SHARE = 0.75

#: Waiting requests while all slots are taken.
_BACKLOG = 300

#: Requests over which the costs are averaged.
_SAMPLES = 200

#: Seconds between two requests.
_STEP = 0.002


@dataclass(frozen=True)
class PlacementCost:
    """Cost of one short request."""

    engines: int
    accounts: int
    waiting: int
    microseconds: float
    #: Calls of functions, which do not depend on the speed of the machine.
    calls: float


def measure(engines: int, backlog: bool, accounts: int = 1) -> PlacementCost:
    """Returns the cost of a request on a pool that is three quarters full, or has a backlog."""
    microseconds = _measure_pool(engines, backlog, accounts, _timed) * 1e6
    calls = _measure_pool(engines, backlog, accounts, count_calls)
    return PlacementCost(engines, accounts, _BACKLOG if backlog else 0, microseconds, calls)


def _measure_pool(
    engines: int, backlog: bool, accounts: int, cost_of: Callable[[Callable[[], None]], float]
) -> float:
    pool = EnginePool(_COSTS)
    pool.set_servers([_server(number) for number in range(engines)])
    capacity = engines * _COSTS.slots
    running = _fill(pool, capacity if backlog else int(capacity * _USED_SHARE))
    now = float(len(running))
    if backlog:
        for number in range(_BACKLOG):
            pool.submit(_request(f"waiting-{number}", number % accounts), now)
        pool.decide(now)

    def serve_requests() -> None:
        nonlocal now
        for number in range(_SAMPLES):
            now += _STEP
            pool.submit(_request(f"new-{number}", (_BACKLOG + number) % accounts), now)
            placed = [item.ask_id for item in pool.decide(now) if isinstance(item, Grant)]
            for ask_id in placed:
                pool.record_first_event(ask_id, now + _STEP / 2)
            running.extend(placed)
            pool.record_finished(running.pop(0), AttemptOutcome.SERVED, now + _STEP / 2)
            for decision in pool.decide(now + _STEP / 2):
                if isinstance(decision, Grant):
                    pool.record_first_event(decision.ask_id, now + _STEP / 2)
                    running.append(decision.ask_id)

    return cost_of(serve_requests) / _SAMPLES


def _fill(pool: EnginePool, count: int) -> list[str]:
    running: list[str] = []
    for number in range(count):
        pool.submit(_request(f"r{number}"), float(number))
        running += [item.ask_id for item in pool.decide(float(number)) if isinstance(item, Grant)]
        pool.record_first_event(running[-1], number + 0.5)
    return running


def _timed(action: Callable[[], None]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started


def count_calls(action: Callable[[], object]) -> int:
    """Returns how many functions are called while ``action`` runs."""
    calls = 0

    def count(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls


def _server(number: int) -> BackendServer:
    zone = f"zone-{number % 5}"
    return BackendServer(
        f"engine-{number}", "model", "10.0.0.1", number, zone, _COSTS.slots, ServerState.READY
    )


def _request(request_id: str, account: int = 0) -> PlacementRequest:
    return PlacementRequest(
        id=request_id,
        service="model",
        zone="zone-0",
        prompt_tokens=5000,
        answer_tokens=1900,
        objective=0.42,
        pause=0.3,
        time_left=1e6,
        priority=1,
        account=f"account-{account}",
    )


def main() -> None:
    """Prints the costs as a table."""
    counts = tuple(int(argument) for argument in sys.argv[1:]) or ENGINE_COUNTS
    print(f"{'engines':>8}{'accounts':>9}{'waiting':>9}{'us a request':>14}{'calls a request':>17}")
    for backlog, accounts in ((False, 1), *((True, count) for count in ACCOUNT_COUNTS)):
        for engines in counts:
            cost = measure(engines, backlog, accounts)
            print(
                f"{cost.engines:8}{cost.accounts:9}{cost.waiting:9}{cost.microseconds:14.0f}"
                f"{cost.calls:17.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
