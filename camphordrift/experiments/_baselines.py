"""The usual ways to choose an engine, to compare with."""

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
    """Grants at once, on the engine that a function names."""

    def __init__(self, choose: EngineChooser, memory_tokens: int) -> None:
        self._choose = choose
        self._memory_tokens = memory_tokens

    async def acquire(self, ask: GrantAsk) -> result.Result[Grant, Failure]:
        """Grants the attempt, unless no engine can hold it."""
        if ask.prompt_tokens + ask.max_output_tokens > self._memory_tokens:
            return result.Failure(Failure(ResultCode.PROMPT_NEVER_FITS, "exceeds one engine"))
        engine_id = self._choose(ask)
        return result.Success(
            Grant(ask.request_id, ask.attempt, engine_id, 0, _SEND_WITHIN_SECONDS)
        )

    def report_first_token(self, grant: Grant) -> None:
        """Does nothing: the baselines do not learn."""

    def finish(self, grant: Grant, outcome: GrantOutcome) -> None:
        """Does nothing: the baselines do not learn."""


class ReportedLoads:
    """The load reports that one VM has, as late as they are."""

    def __init__(self, engine_ids: tuple[BackendServerId, ...]) -> None:
        self._loads = dict.fromkeys(engine_ids, (0, 0))

    def observe(self, report: LoadReport) -> None:
        """Takes a report."""
        self._loads[report.engine_id] = _work(report)

    def least(self, engine_ids: tuple[BackendServerId, ...]) -> BackendServerId:
        """Returns the engine with the least reported work, the first among equals."""
        return min(engine_ids, key=lambda engine_id: self._loads[engine_id])


def round_robin(engine_ids: tuple[BackendServerId, ...], offset: int) -> EngineChooser:
    """Returns a chooser that takes the engines in turn."""
    turns = itertools.cycle(engine_ids[offset:] + engine_ids[:offset])
    return lambda ask: next(turns)


def least_reported(loads: ReportedLoads, engine_ids: tuple[BackendServerId, ...]) -> EngineChooser:
    """Returns a chooser of the engine with the least reported work."""
    return lambda ask: loads.least(engine_ids)


def two_choices(
    loads: ReportedLoads, engine_ids: tuple[BackendServerId, ...], rng: random.Random
) -> EngineChooser:
    """Returns a chooser of the better of two random engines."""
    return lambda ask: loads.least(tuple(rng.sample(engine_ids, 2)))


def shortest_queue(engines: InMemoryEngines) -> EngineChooser:
    """Returns a chooser that knows every engine's work at this instant."""

    def choose(ask: GrantAsk) -> BackendServerId:
        return min(
            engines.engine_ids,
            key=lambda engine_id: _work(engines.state(engine_id).load_now()),
        )

    return choose


def _work(report: LoadReport) -> tuple[int, int]:
    return (report.pending_prefill_tokens, report.running_requests + report.waiting_requests)
