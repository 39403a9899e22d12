"""Placement requests to the engine scheduler, its decisions, and outcomes of placed requests."""

from dataclasses import dataclass
from typing import Optional, Union

from camphordrift.relay.model import BackendServer, Seconds, TolerantEnum
from camphordrift.relay.servers import ServerPause


@dataclass(frozen=True)
class PlacementRequest:
    """Asks the engine scheduler for an engine for one attempt of a client request.

    All times are in seconds, counted from the time at which the placement request is made.
    """

    #: Unique over all VMs and attempts.
    id: str
    #: Name of the model service.
    service: str
    #: Availability zone of the VM that sends the request.
    zone: str
    #: Length of the prompt.
    prompt_tokens: int
    #: Expected length of the output.
    answer_tokens: int
    #: Target time to the first event.
    objective: Seconds
    #: Maximum gap between events that still meets the target.
    pause: Seconds
    #: Time until the deadline of the complete response.
    time_left: Seconds
    #: 0 is the highest priority.
    priority: int
    #: Ids of engines that must not be chosen.
    excluded: tuple[str, ...] = ()
    #: Id of the engine that must be the primary one, as an earlier attempt was sent to it; other
    #: engines may only be helpers.
    preferred: Optional[str] = None
    #: Whether the caller already has the beginning of the output, so that only the rest is decoded.
    resumed: bool = False
    #: Whether the engine should run no other request until the first event, because engines may
    #: have crashed on a part of the prompt.
    isolated: bool = False
    #: Engines that want no requests from the VM for now.
    server_pauses: tuple[ServerPause, ...] = ()
    #: Time after which the caller leaves unless it has got an event; not more than is left.
    patience: Seconds = float("inf")
    #: Name of the client account; empty if there are none, or if the VM does not tell it.
    account: str = ""


@dataclass(frozen=True)
class Grant:
    """Permission to send a request to an engine."""

    #: Id of the placement request.
    ask_id: str
    #: Primary engine, which gets the request and decodes the output.
    server: BackendServer
    #: Engines that prefill parts of the prompt.
    helpers: tuple[BackendServer, ...]
    #: Tokens of KV memory to reserve on each helper; 0 where the primary engine stores the part.
    helper_memory: tuple[int, ...]
    #: Expected seconds from the placement to the first event.
    first_event: Seconds


class RefusalReason(TolerantEnum):
    """Why a placement request is refused."""

    #: All engines named a limit of requests, and take none before the deadline.
    LIMITED = "the engines take no more requests for now"
    #: No usable engine is left: none is listed, all are draining, pausing or excluded, or the
    #: preferred one is not usable.
    NO_ENGINE = "no_engine"
    #: The deadline would pass, or the caller would leave, even on idle engines.
    TOO_LATE = "too_late"
    #: Requests that come first take up the engines until the deadline.
    BACKLOG = "other requests take up the engines until the deadline"
    #: The prompt and the output need more KV memory than all allowed engines have.
    NEVER_FITS = "never_fits"

    @classmethod
    def _fallback(cls) -> "RefusalReason":
        return cls.NO_ENGINE


@dataclass(frozen=True)
class PlacementRefusal:
    """The decision on a placement request that cannot be served."""

    #: Id of the placement request.
    ask_id: str
    reason: RefusalReason
    #: Seconds after which an engine may be free; ``None`` if a retry cannot succeed.
    retry_after: Optional[Seconds]
    #: Seconds to the deadline, or until the caller leaves; set only if that caused the refusal.
    time_left: Optional[Seconds] = None
    #: Minimum number of seconds that the request needs; set together with ``time_left``.
    time_needed: Optional[Seconds] = None


PlacementDecision = Union[Grant, PlacementRefusal]


class AttemptOutcome(TolerantEnum):
    """How a request ended on its engine; decides whether the engine backs off."""

    #: The response was complete and is no internal error, or the caller disconnected.
    SERVED = "served"
    #: The request was not sent, although the primary engine did not fail.
    WITHHELD = "withheld"
    #: The engine responded that it did not run the request.
    REJECTED = "rejected"
    #: The engine was unreachable, reported an internal error, truncated its response, or sent an
    #: invalid one.
    FAILED = "failed"
    #: The engine sent nothing for a while, and the request was sent to another one or ended.
    SILENT = "silent"

    @classmethod
    def _fallback(cls) -> "AttemptOutcome":
        # The engine's place is free again, and nothing is held against the engine.
        return cls.SERVED
