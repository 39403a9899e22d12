"""Questions to the pool of engines and its answers."""

from dataclasses import dataclass
from enum import Enum
from typing import Optional, Union


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


@dataclass(frozen=True)
class Grant:
    """Permission to send a request to an engine."""

    ask_id: str
    server_id: str
    #: Engines that read parts of the prompt.
    helper_ids: tuple[str, ...]
    #: Expected seconds to the first event.
    first_event: float


class RefusalReason(Enum):
    """Why no engine is given."""

    NO_ENGINE = "no_engine"
    TOO_LATE = "too_late"
    NEVER_FITS = "never_fits"
    QUEUE_FULL = "queue_full"


@dataclass(frozen=True)
class Refusal:
    """The request cannot be served."""

    ask_id: str
    reason: RefusalReason
    #: Seconds after which an engine may be free; ``None`` if asking again is no use.
    retry_after: Optional[float]


Decision = Union[Grant, Refusal]


class Outcome(Enum):
    """How the work on an engine ended, as far as the engine is concerned."""

    #: The answer was whole, or the caller left.
    SERVED = "served"
    #: The engine said that it did not run the request.
    REJECTED = "rejected"
    #: The engine was unreachable, broke off, or answered wrongly.
    FAILED = "failed"
    #: The engine sent nothing for too long.
    SILENT = "silent"
