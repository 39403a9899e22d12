"""What is known of a request while it is being served."""

from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.relay._attempt import AttemptResult
from camphordrift.relay._http_server import Answer, CallerRequest
from camphordrift.relay._values import Account, RequestFacts, Route, Service


@dataclass
class RequestProgress:
    """One request on its way."""

    request: CallerRequest
    answer: Answer
    facts: RequestFacts
    route: Route
    account: Optional[Account]
    service: Service
    #: Moment at which the request needs its final answer.
    give_up_at: float
    #: Servers that were sent the request.
    tried: list[str]
    #: Servers that did not take the request.
    excluded: list[str]
    #: Engine to ask again, as only one of its helpers was at fault.
    preferred: Optional[str] = None
    #: Whether a server may have run the request.
    may_have_run: bool = False
    last_result: Optional[AttemptResult] = None

    @property
    def time_left(self) -> float:
        return self.give_up_at - trio.current_time()

    @property
    def engines_tried(self) -> int:
        """Different servers that were sent the request."""
        return len(set(self.tried))
