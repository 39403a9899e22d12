"""The phases of a graceful shutdown, the events that end them, and the steps to perform."""

from dataclasses import dataclass
from enum import Enum
from typing import Union


class DrainPhase(Enum):
    """Phase of a graceful shutdown. The phases are entered in the order of this list."""

    #: No shutdown has been requested.
    SERVING = "serving"

    #: The VM reports that it is not ready, but still admits requests, since the load balancer may
    #: still send some.
    UNREADY = "unready"

    #: New requests are refused as not run; admitted requests may finish.
    FINISHING = "finishing"

    #: Other VMs take over the engine pools whose home VM this is. The home VM schedules the
    #: requests for a pool; rendezvous hashing selects it.
    HANDING_OVER = "handing_over"

    #: Leases and holds are released, and pending records are written to the log.
    FLUSHING = "flushing"

    #: The shutdown is complete; the process may exit.
    EXITED = "exited"


@dataclass(frozen=True)
class StopRequested:
    """A signal or an operator requested the shutdown; a second request skips its waits."""


@dataclass(frozen=True)
class RunningChanged:
    """The number of running requests has changed."""

    #: Number of requests that have not ended, including those whose bodies are still arriving.
    running: int


@dataclass(frozen=True)
class HandoverDone:
    """Other VMs have taken over the engine pools whose home VM this was."""


@dataclass(frozen=True)
class FlushDone:
    """Leases and holds are released, and all pending records are in the log."""


@dataclass(frozen=True)
class TimePassed:
    """The time limit of the phase, ``next_check_at``, may have passed."""


DrainEvent = Union[StopRequested, RunningChanged, HandoverDone, FlushDone, TimePassed]


@dataclass(frozen=True)
class AnnounceLeaving:
    """Fail the readiness check, and announce to peers that this VM is draining."""


@dataclass(frozen=True)
class RefuseNewRequests:
    """Refuse new requests as not run, and close callers' idle connections."""


@dataclass(frozen=True)
class HandOver:
    """Hand the engine pools whose home VM this is over to the next home VMs."""

    #: Maximum number of seconds for the step.
    timeout_seconds: float


@dataclass(frozen=True)
class CutRemaining:
    """Abort the requests that are still running, each with an explicit failure."""

    #: Number of aborted requests.
    running: int


@dataclass(frozen=True)
class Flush:
    """Release leases and holds, and write pending records to the log."""

    #: Maximum number of seconds for the step.
    timeout_seconds: float


@dataclass(frozen=True)
class Exit:
    """End the process."""

    #: True if no request was aborted, and each step was completed within its time limit.
    clean: bool


DrainStep = Union[AnnounceLeaving, RefuseNewRequests, HandOver, CutRemaining, Flush, Exit]
