"""Questions to the pool of engines and its answers."""

from dataclasses import dataclass
from enum import Enum
from typing import Optional, Union

from camphordrift.relay._values import BackendServer


@dataclass(frozen=True)
class Ask:
    """A request that needs an engine. All times are in seconds from now."""

    #: Unique over all VMs and attempts.
    id: str
    service: str
    #: Zone of the VM that sends the request.
    zone: str
    prompt_tokens: int
    #: Expected tokens of the answer.
    answer_tokens: int
    #: Until the first event is late.
    objective: float
    #: Longest pause between events that is on time.
    pause: float
    #: Until the whole answer is needed.
    time_left: float
    #: 0 comes first.
    priority: int
    #: Engines that must not be chosen again.
    excluded: tuple[str, ...] = ()
    #: Engine that should get the request, as it was sent to it before; others may only help.
    preferred: Optional[str] = None
    #: Whether the caller has the beginning of the answer, so that only the rest is to be written.
    resumed: bool = False


@dataclass(frozen=True)
class Grant:
    """Permission to send a request to an engine."""

    ask_id: str
    #: Engine that gets the request.
    server: BackendServer
    #: Engines that read parts of the prompt.
    helpers: tuple[BackendServer, ...]
    #: Tokens of memory to be reserved on each helper; 0 where the first engine keeps the part.
    helper_memory: tuple[int, ...]
    #: Expected seconds to the first event.
    first_event: float


class RefusalReason(Enum):
    """Why no engine is given."""

    NO_ENGINE = "no_engine"
    TOO_LATE = "too_late"
    NEVER_FITS = "never_fits"


@dataclass(frozen=True)
class Refusal:
    """The request cannot be served."""

    ask_id: str
    reason: RefusalReason
    #: Seconds after which an engine may be free; ``None`` if asking again is no use.
    retry_after: Optional[float]
    #: Seconds that the request had left, and that it needs at least, where these decided it.
    time_left: Optional[float] = None
    time_needed: Optional[float] = None


Decision = Union[Grant, Refusal]


class Outcome(Enum):
    """How the work on an engine ended, as far as the engine is concerned."""

    #: The answer was whole, or the caller left.
    SERVED = "served"
    #: The request was not sent, for reasons that are not the engine's.
    WITHHELD = "withheld"
    #: The engine said that it did not run the request.
    REJECTED = "rejected"
    #: The engine was unreachable, broke off, or answered wrongly.
    FAILED = "failed"
    #: The engine sent nothing for too long.
    SILENT = "silent"
