"""The phases of a planned stop, what leads from one to the next, and what is to be done."""

from dataclasses import dataclass
from enum import Enum
from typing import Union


class DrainPhase(Enum):
    """Where a planned stop stands. Phases are only ever passed in this order."""

    #: No stop was asked for.
    SERVING = "serving"

    #: Not ready; the balancer may not have noticed, so new requests are still taken.
    UNREADY = "unready"

    #: New requests are refused as not run; admitted ones finish.
    FINISHING = "finishing"

    #: What this VM is home to goes to other VMs.
    HANDING_OVER = "handing_over"

    #: Holds are released and streams to the log are flushed.
    FLUSHING = "flushing"

    #: The process may exit.
    EXITED = "exited"


@dataclass(frozen=True)
class StopRequested:
    """SIGTERM arrived, or an operator asked for a stop. A second one shortens the wait."""


@dataclass(frozen=True)
class RunningChanged:
    """The number of admitted requests that still run has changed."""

    #: How many run, those included that this VM schedules for others.
    running: int


@dataclass(frozen=True)
class HandoverDone:
    """All that this VM was home to has been taken over."""


@dataclass(frozen=True)
class FlushDone:
    """Holds are released and the log has everything."""


@dataclass(frozen=True)
class TimePassed:
    """Nothing happened but that time went by."""


DrainEvent = Union[StopRequested, RunningChanged, HandoverDone, FlushDone, TimePassed]


@dataclass(frozen=True)
class AnnounceLeaving:
    """Fail the readiness check, and tell peers that this VM is leaving."""


@dataclass(frozen=True)
class RefuseNewRequests:
    """Refuse new requests as not run, and close idle connections of callers."""


@dataclass(frozen=True)
class HandOver:
    """Tell the next home VMs what they take over."""

    #: How long there is for it, in seconds.
    within_seconds: float


@dataclass(frozen=True)
class CutRemaining:
    """End requests that outlasted the bound, each with an explicit failure."""

    #: How many are cut.
    running: int


@dataclass(frozen=True)
class Flush:
    """Release holds, and write what still has to go to the log."""

    #: How long there is for it, in seconds.
    within_seconds: float


@dataclass(frozen=True)
class Exit:
    """Stop the process."""

    #: True if every step was completed within its time.
    clean: bool


DrainStep = Union[AnnounceLeaving, RefuseNewRequests, HandOver, CutRemaining, Flush, Exit]
