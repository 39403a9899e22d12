"""What is known of a request while it is being served."""

from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.relay._attempt import AttemptResult
from camphordrift.relay._http_server import CallerRequest, ResponseWriter
from camphordrift.relay._values import Account, RequestMetadata, Route, Service


@dataclass
class RequestProgress:
    """One request on its way."""

    request: CallerRequest
    response: ResponseWriter
    metadata: RequestMetadata
    route: Route
    account: Optional[Account]
    service: Service
    #: Moment at which the request needs its final answer.
    deadline: float
    #: Servers that were sent the request.
    attempted_servers: list[str]
    #: Servers that did not take the request.
    excluded_servers: list[str]
    #: Engine to ask again, as only one of its helpers was at fault.
    preferred_server: Optional[str] = None
    #: Whether a server may have run the request.
    may_have_run: bool = False
    last_result: Optional[AttemptResult] = None

    @property
    def remaining_time(self) -> float:
        return self.deadline - trio.current_time()

    @property
    def distinct_servers_attempted(self) -> int:
        """Different servers that were sent the request."""
        return len(set(self.attempted_servers))
