"""The phases of a graceful shutdown, the events that end them, and the steps to perform."""

from dataclasses import dataclass
from enum import Enum
from typing import Union


class DrainPhase(Enum):
    """Phase of a graceful shutdown. Phases only follow each other in this order."""

    #: No shutdown has been requested.
    SERVING = "serving"

    #: Not ready; new requests are still admitted, as the load balancer may still send them here.
    UNREADY = "unready"

    #: New requests are refused as not run; admitted requests may finish.
    FINISHING = "finishing"

    #: Other VMs take over what this VM coordinates as home VM (selected by rendezvous hashing).
    HANDING_OVER = "handing_over"

    #: Leases and holds are released, and pending records are written to the log.
    FLUSHING = "flushing"

    #: The process may exit.
    EXITED = "exited"


@dataclass(frozen=True)
class StopRequested:
    """A signal or an operator requested the shutdown. A second request skips its waits."""


@dataclass(frozen=True)
class RunningChanged:
    """The number of admitted requests that have not ended has changed."""

    #: Number of running requests, including those that this VM schedules for others.
    running: int


@dataclass(frozen=True)
class HandoverDone:
    """Other VMs have taken over all that this VM coordinated as home VM."""


@dataclass(frozen=True)
class FlushDone:
    """Leases and holds are released, and all pending records are in the log."""


@dataclass(frozen=True)
class TimePassed:
    """No other event occurred until ``next_check_at``."""


DrainEvent = Union[StopRequested, RunningChanged, HandoverDone, FlushDone, TimePassed]


@dataclass(frozen=True)
class AnnounceLeaving:
    """Fail the readiness check, and announce to peers that this VM is draining."""


@dataclass(frozen=True)
class RefuseNewRequests:
    """Refuse new requests as not run, and close callers' idle connections."""


@dataclass(frozen=True)
class HandOver:
    """Hand what this VM coordinates over to the next home VMs."""

    #: Time limit of the step, in seconds.
    timeout_seconds: float


@dataclass(frozen=True)
class CutRemaining:
    """Abort the requests that are still running, each with an explicit failure."""

    #: Number of aborted requests.
    running: int


@dataclass(frozen=True)
class Flush:
    """Release leases and holds, and write pending records to the log."""

    #: Time limit of the step, in seconds.
    timeout_seconds: float


@dataclass(frozen=True)
class Exit:
    """End the process."""

    #: True if every step was completed within its time limit.
    clean: bool


DrainStep = Union[AnnounceLeaving, RefuseNewRequests, HandOver, CutRemaining, Flush, Exit]
