"""Common load balancing policies, as baselines for the routing of this project."""

import itertools
import random
from collections.abc import Callable

from returns import result

from camphordrift.backend_servers import LoadReport
from camphordrift.identifiers import BackendServerId
from camphordrift.results import Failure, ResultCode
from camphordrift.routing import Grant, GrantAsk, GrantOutcome
from camphordrift.standins import InMemoryEngines

EngineChooser = Callable[[GrantAsk], BackendServerId]

_SEND_WITHIN_SECONDS = 1.0


class BaselineGrantSource:
    """Grants every attempt immediately, on the engine that ``choose`` returns."""

    def __init__(self, choose: EngineChooser, memory_tokens: int) -> None:
        self._choose = choose
        self._memory_tokens = memory_tokens

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Grants the attempt, or fails if its tokens exceed the memory of an engine."""
        if ask.prompt_tokens + ask.max_output_tokens > self._memory_tokens:
            return result.Failure(Failure(ResultCode.PROMPT_NEVER_FITS, "exceeds one engine"))
        engine_id = self._choose(ask)
        return result.Success(
            Grant(ask.request_id, ask.attempt, engine_id, 0, _SEND_WITHIN_SECONDS)
        )

    def report_first_token(self, grant: Grant) -> None:
        """Does nothing: the baselines ignore feedback."""

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Does nothing: the baselines ignore feedback."""


class ReportedLoads:
    """The last load report of each engine that one VM received; reports may be stale."""

    def __init__(self, engine_ids: tuple[BackendServerId, ...]) -> None:
        self._loads = dict.fromkeys(engine_ids, (0, 0))

    def observe(self, report: LoadReport) -> None:
        """Stores the load of one engine; replaces its previous report."""
        self._loads[report.engine_id] = _work_of(report)

    def least_loaded(self, engine_ids: tuple[BackendServerId, ...]) -> BackendServerId:
        """Returns the engine with the least reported work; the first one on a tie."""
        return min(engine_ids, key=lambda engine_id: self._loads[engine_id])


def round_robin(engine_ids: tuple[BackendServerId, ...], offset: int) -> EngineChooser:
    """Returns a chooser that cycles through the engines, starting at index ``offset``."""
    turns = itertools.cycle(engine_ids[offset:] + engine_ids[:offset])
    return lambda ask: next(turns)


def least_load(loads: ReportedLoads, engine_ids: tuple[BackendServerId, ...]) -> EngineChooser:
    """Returns a chooser of the engine with the least reported work."""
    return lambda ask: loads.least_loaded(engine_ids)


def two_choices(
    loads: ReportedLoads, engine_ids: tuple[BackendServerId, ...], rng: random.Random
) -> EngineChooser:
    """Returns a chooser of the less loaded of two random engines."""
    return lambda ask: loads.least_loaded(tuple(rng.sample(engine_ids, 2)))


def shortest_queue(engines: InMemoryEngines) -> EngineChooser:
    """Returns a chooser of the engine with the least current work, free of report delay."""

    def choose(ask: GrantAsk) -> BackendServerId:
        return min(
            engines.engine_ids,
            key=lambda engine_id: _work_of(engines.state(engine_id).load_now()),
        )

    return choose


def _work_of(report: LoadReport) -> tuple[int, int]:
    return (report.pending_prefill_tokens, report.running_requests + report.waiting_requests)
