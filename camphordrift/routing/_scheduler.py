"""The synchronous scheduler interface behind the grant sources, and its data types."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from camphordrift.backend_servers import CacheEventBatch, LoadReport
from camphordrift.identifiers import BackendServerId, ModelName, RequestId, VmId
from camphordrift.results import Failure
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome
from camphordrift.routing._home_messages import RunningGrant


class AttemptKey(NamedTuple):
    """Identifies one attempt of one request."""

    #: Id of the caller's request, the same for all its attempts.
    request_id: RequestId

    #: Number of the attempt, from 1.
    attempt: int


@dataclass(frozen=True)
class EngineSpec:
    """Static properties of an engine; the speeds are estimates.

    Raises :class:`ValueError` if a size or speed is not positive.
    """

    #: Id of the engine in the directory of backend servers.
    engine_id: BackendServerId

    #: The models that the engine serves.
    models: frozenset[ModelName]

    #: Size of the engine's KV memory in tokens.
    memory_tokens: int = 450_000

    #: Tokens per second that the engine prefills while it is otherwise idle.
    prefill_tokens_per_second: float = 25_000.0

    #: Number of prompt tokens that the engine prefills between two decode steps.
    prefill_chunk_tokens: int = 1024

    #: Duration of a decode step in seconds.
    step_seconds: float = 0.013

    def __post_init__(self) -> None:
        if min(self.memory_tokens, self.prefill_chunk_tokens) < 1:
            raise ValueError("memory_tokens and prefill_chunk_tokens must be at least 1")
        if min(self.prefill_tokens_per_second, self.step_seconds) <= 0.0:
            raise ValueError("prefill_tokens_per_second and step_seconds must be positive")


@dataclass(frozen=True)
class Granted:
    """The decision that an attempt may be sent to an engine."""

    #: The engine and priority to use.
    grant: Grant


@dataclass(frozen=True)
class Refused:
    """The decision that the attempt is refused; no engine has received any of it."""

    #: The refused attempt.
    key: AttemptKey

    #: The reason, and the delay before a retry.
    failure: Failure


Decision = Granted | Refused


class Scheduler(Protocol):
    """Schedules a pool of engines. ``now`` is a monotonic time in seconds.

    The event methods only update the state; call :meth:`decide` after them for the decisions.
    """

    def submit(self, ask: GrantAsk, now: float) -> None:
        """Submits a grant request; the next or a later ``decide`` returns its decision."""
        ...

    def withdraw(self, key: AttemptKey, now: float) -> None:
        """Removes an undecided grant request; does nothing if there is none."""
        ...

    def record_first_token(self, key: AttemptKey, now: float) -> None:
        """Records that the prefill of a granted attempt is complete."""
        ...

    def finish(self, outcome: GrantOutcome, now: float) -> None:
        """Records how a granted attempt ended, or withdraws its grant request if it is queued."""
        ...

    def adopt(self, running: RunningGrant, now: float) -> None:
        """Adds a running attempt that another scheduler has granted."""
        ...

    def remove_vm(self, vm_id: VmId, now: float) -> None:
        """Removes the queued requests and the granted attempts of a dead VM."""
        ...

    def set_engines(self, engines: Iterable[EngineSpec], now: float) -> None:
        """Replaces the set of engines; engines that remain keep their state."""
        ...

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Applies a load report, which may be delayed."""
        ...

    def observe_cache_events(
        self, engine_id: BackendServerId, batch: CacheEventBatch, now: float
    ) -> None:
        """Applies cache events, which may be delayed or have gaps."""
        ...

    def mark_leaving(self, engine_id: BackendServerId, now: float) -> None:
        """Marks an engine as draining: no new work until ``set_engines`` lists it again."""
        ...

    def mark_failed(self, engine_id: BackendServerId, now: float) -> None:
        """Gives the engine no new work until its next report or a timeout."""
        ...

    def decide(self, now: float) -> list[Decision]:
        """Returns the decisions that are due now."""
        ...

    def next_wakeup(self, now: float) -> float:
        """Returns the time at which ``decide`` must run again even if no event occurs."""
        ...
