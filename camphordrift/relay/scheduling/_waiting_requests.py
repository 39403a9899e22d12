"""A request that waits for an engine."""

from dataclasses import dataclass, field, replace
from typing import Optional

from camphordrift.relay.model import EngineCosts
from camphordrift.relay.scheduling._placement_values import PlacementRequest

#: Requests that miss their target time to the first event are deferred in favour of those that can
#: still meet it, but only during this share of the time from submission to deadline. The rest is
#: left for serving the request before its deadline.
DEFERRAL_SHARE = 0.5

#: Requests of one kind compete with each other: they have the same priority, and the same target
#: gap between events in seconds.
RequestKind = tuple[int, float]


@dataclass
class WaitingRequest:
    """A waiting request with values that each round needs, computed once."""

    request: PlacementRequest
    first_event_due_at: float
    #: End of the time in which the request may be deferred in favour of others.
    deferral_ends_at: float
    deadline: float
    #: When the caller leaves unless it has got an event.
    leaves_at: float
    #: Whether the engines together have enough memory.
    can_ever_fit: bool = True
    #: Seconds that the request needs if all engines are idle.
    minimum_time: float = 0.0
    #: Seconds that it needs of these until its first event.
    minimum_prefill: float = 0.0
    #: Engine time in seconds that the request takes up.
    engine_seconds: float = 0.0
    #: Whether an earlier round left the request without a decision.
    was_left: bool = False
    #: Ends of the pauses of engines that want no requests from the request's VM, by engine id.
    paused_until: dict[str, float] = field(default_factory=dict)
    #: The request with the pausing engines as excluded ones, until the next pause ends.
    _restricted: Optional[PlacementRequest] = None
    _restricted_until: float = float("-inf")

    def longest_wait(self, now: float) -> float:
        """Returns the seconds that the request can wait and still be served, if all were idle."""
        return min(
            self.deadline - now - self.minimum_time, self.leaves_at - now - self.minimum_prefill
        )

    def add_pause(self, server_id: str, until: float) -> None:
        """Records the end of an engine's pause, unless a later one is known."""
        self.paused_until[server_id] = max(until, self.paused_until.get(server_id, until))
        self._restricted_until = float("-inf")

    def at(self, now: float) -> PlacementRequest:
        """Returns the request, with the engines that pause now as excluded ones."""
        if self._restricted is None or now >= self._restricted_until:
            paused = {name: until for name, until in self.paused_until.items() if until > now}
            excluded = (*self.request.excluded, *sorted(paused))
            self._restricted = replace(self.request, excluded=excluded)
            self._restricted_until = min(paused.values(), default=float("inf"))
        return self._restricted


def waiting_request(request: PlacementRequest, now: float) -> WaitingRequest:
    """Returns a request that waits from now on."""
    return WaitingRequest(
        request,
        first_event_due_at=now + request.objective,
        deferral_ends_at=now + request.time_left * DEFERRAL_SHARE,
        deadline=now + request.time_left,
        leaves_at=now + request.patience,
    )


def kind_of(request: PlacementRequest) -> RequestKind:
    """Returns the kind of a request."""
    return request.priority, request.pause


def engine_seconds(request: PlacementRequest, costs: EngineCosts) -> float:
    """Returns the engine time in seconds that a request takes up.

    That is the prefill of its prompt, and for its output a slot's share of the time that an engine
    decodes with all slots taken.
    """
    iterations = request.answer_tokens / costs.decode_steps_per_iteration
    context = costs.slots * request.prompt_tokens
    decode = iterations * costs.iteration_time(costs.slots, context) / costs.slots
    return costs.prefill_time(request.prompt_tokens) + decode


def urgency(waiting: WaitingRequest) -> tuple[int, float]:
    """Sort key: the highest priority first, then the first event that is due first."""
    return waiting.request.priority, waiting.first_event_due_at
