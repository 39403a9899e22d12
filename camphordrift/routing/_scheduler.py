"""What a scheduler takes in and decides: the synchronous heart behind every grant source."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from camphordrift.backend_servers import CacheEventBatch, LoadReport
from camphordrift.identifiers import BackendServerId, ModelName, RequestId, VmId
from camphordrift.results import Failure
from camphordrift.routing._grants import Grant, GrantAsk, GrantOutcome
from camphordrift.routing._home_messages import RunningGrant


class AttemptKey(NamedTuple):
    """Names one attempt of one request."""

    #: The caller's request.
    request_id: RequestId

    #: Number of the attempt, from 1.
    attempt: int


@dataclass(frozen=True)
class EngineSpec:
    """What a scheduler is told of an engine; the speeds are first guesses that it corrects."""

    #: The engine's name.
    engine_id: BackendServerId

    #: The models that it serves.
    models: frozenset[ModelName]

    #: All its KV memory, in tokens.
    memory_tokens: int = 450_000

    #: Prompt tokens computed a second by an engine that does nothing else.
    prefill_tokens_per_second: float = 25_000.0

    #: Prompt tokens computed between two decoding steps.
    prefill_chunk_tokens: int = 1024

    #: Time of a decoding step, in seconds.
    step_seconds: float = 0.013

    def __post_init__(self) -> None:
        if min(self.memory_tokens, self.prefill_chunk_tokens) < 1:
            raise ValueError("memory_tokens and prefill_chunk_tokens must be at least 1")
        if min(self.prefill_tokens_per_second, self.step_seconds) <= 0.0:
            raise ValueError("prefill_tokens_per_second and step_seconds must be above zero")


@dataclass(frozen=True)
class Granted:
    """The attempt may be sent."""

    #: Where, and with which priority.
    grant: Grant


@dataclass(frozen=True)
class Refused:
    """The attempt will not be granted; nothing of it was sent."""

    #: The attempt.
    key: AttemptKey

    #: Why, and when to ask again.
    failure: Failure


Decision = Granted | Refused


class Scheduler(Protocol):
    """Decides for a pool of engines. ``now`` is a monotonic instant in seconds.

    Events only change the state; :meth:`decide` then returns the decisions that are due.
    """

    def submit(self, ask: GrantAsk, now: float) -> None:
        """Takes an ask; its decision comes from this or a later ``decide``."""
        ...

    def withdraw(self, key: AttemptKey, now: float) -> None:
        """Drops an ask that is not decided yet; does nothing if there is none."""
        ...

    def record_first_token(self, key: AttemptKey, now: float) -> None:
        """Notes that a granted attempt's prompt has been prefilled."""
        ...

    def finish(self, outcome: GrantOutcome, now: float) -> None:
        """Notes how a granted attempt ended, or withdraws its ask if it still waits."""
        ...

    def adopt(self, running: RunningGrant, now: float) -> None:
        """Counts an attempt that another scheduler has granted."""
        ...

    def remove_vm(self, vm_id: VmId, now: float) -> None:
        """Drops the asks of a VM that died; its granted attempts end with it."""
        ...

    def set_engines(self, engines: Iterable[EngineSpec], now: float) -> None:
        """Replaces the set of engines; what is known of those that stay is kept."""
        ...

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Takes a load report, however late."""
        ...

    def observe_cache_events(
        self, engine_id: BackendServerId, batch: CacheEventBatch, now: float
    ) -> None:
        """Takes cache events, however late or gappy."""
        ...

    def mark_leaving(self, engine_id: BackendServerId, now: float) -> None:
        """Gives the engine no new work until it is set anew without leaving."""
        ...

    def mark_failed(self, engine_id: BackendServerId, now: float) -> None:
        """Gives the engine no new work until it has reported again."""
        ...

    def decide(self, now: float) -> list[Decision]:
        """Returns the decisions that are due."""
        ...

    def next_wakeup(self, now: float) -> float:
        """Returns the instant at which ``decide`` must be called again without any event."""
        ...
