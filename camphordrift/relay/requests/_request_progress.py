"""State of an admitted request until its response is complete."""

from dataclasses import dataclass, field
from functools import cached_property
from typing import Optional

import trio

from camphordrift.relay.connections import CallerRequest, ResponseWriter
from camphordrift.relay.crashes import whole_request_trait
from camphordrift.relay.model import Account, RequestMetadata, Route, Service
from camphordrift.relay.requests._attempt import AttemptResult
from camphordrift.relay.requests._caller_sink import CallerStream


@dataclass
class RequestProgress:
    """State of an admitted request across its attempts."""

    request: CallerRequest
    response: ResponseWriter
    metadata: RequestMetadata
    route: Route
    account: Optional[Account]
    service: Service
    #: Time, by trio's clock, at which the relay must start its final response.
    deadline: float
    #: Ids of the servers that the request was sent to, one for each attempt.
    attempted_servers: list[str]
    #: Ids of the servers that must not be chosen for the next attempt.
    excluded_servers: list[str]
    #: Ids of the servers that were chosen although they leave or pause; not chosen again.
    withheld_servers: set[str] = field(default_factory=set)
    #: Id of the engine to retry on, because only one of its prefill helpers failed.
    preferred_server: Optional[str] = None
    #: Whether a server may have executed the request.
    may_have_run: bool = False
    #: Whether a server wrote so much of a response that it did not crash at its beginning.
    is_established: bool = False
    #: Events of the longest attempt whose server may have crashed on the request.
    most_events_before_crash: int = 0
    #: Whether a server was silent. Further attempts use new connections, as open ones may hang.
    met_silence: bool = False
    last_result: Optional[AttemptResult] = None
    #: The stream to the caller; ``None`` if the response is no stream.
    stream: Optional[CallerStream] = None

    @cached_property
    def traits(self) -> tuple[str, ...]:
        """What the request may have in common with others on which servers crash."""
        return (*self.metadata.prompt_parts, self.whole_request)

    @cached_property
    def whole_request(self) -> str:
        """The one of the traits that stands for the whole request."""
        return whole_request_trait(self.request, self.account)

    @property
    def remaining_time(self) -> float:
        """Seconds until the deadline; negative afterwards."""
        return self.deadline - trio.current_time()

    @property
    def distinct_servers_attempted(self) -> int:
        """Number of different servers that the request was sent to."""
        return len(set(self.attempted_servers))
