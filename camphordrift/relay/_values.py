"""Values that the relay works with, free of any wire format."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Optional


class RunRule(Enum):
    """How often a request may run on backend servers."""

    #: May run any number of times.
    REPEATABLE = "repeatable"
    #: Runs at most once for each attempt of the caller.
    ONCE = "once"


class ServerState(Enum):
    """Whether a backend server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ServiceShare:
    """A service with its share of a route's requests."""

    service: str
    #: Relative weight, over all shares of the route.
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    run_rule: RunRule
    #: Whether answers are streams of events.
    streams: bool
    #: Whether a broken stream may go on at another backend server.
    resumable: bool
    #: Seconds after which the request needs a final answer.
    timeout: float
    #: Seconds to the answer, or to a stream's first event, that callers aim at.
    objective: float
    #: Longest pause in seconds between events of a stream that is on time.
    pause_objective: float
    #: Most backend servers that one attempt of a caller is sent to.
    max_attempts: int
    #: 0 comes first.
    priority: int
    #: Whether requests are served without a key.
    open: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.run_rule is RunRule.REPEATABLE or (self.streams and self.resumable)


@dataclass(frozen=True)
class EngineCosts:
    """What an engine of a service needs for its work."""

    #: Requests that an engine works on at once.
    slots: int
    #: Tokens of KV memory of an engine.
    memory_tokens: int
    #: Steps of one pass while requests are writing.
    steps_per_pass: int
    #: Seconds of one step.
    step: float
    #: Seconds added to a step for each request that is writing.
    step_per_request: float
    #: Seconds added to a step for each token of context of requests that are writing.
    step_per_context_token: float
    #: Seconds to read one prompt token.
    read_per_token: float
    #: Seconds for each pair of a prompt token and an earlier one.
    read_per_pair: float

    def reading_time(self, tokens: int) -> float:
        """Returns the seconds one engine needs to read a prompt alone."""
        return tokens * self.read_per_token + self.read_per_pair * tokens * tokens / 2

    def pass_time(self, writers: int, context_tokens: int) -> float:
        """Returns the seconds of a pass with ``writers`` requests and their context."""
        step = (
            self.step
            + self.step_per_request * writers
            + self.step_per_context_token * context_tokens
        )
        return step * self.steps_per_pass


@dataclass(frozen=True)
class Service:
    """A group of backend servers that answer the same requests."""

    name: str
    #: Connections that one server accepts from all callers together.
    max_connections: int
    #: Present for services of model engines.
    engine_costs: Optional[EngineCosts]


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send, and how slowly."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    #: Seconds for the head of a request.
    header_timeout: float = 10.0
    #: Seconds that a connection may stay idle.
    idle_timeout: float = 60.0


@dataclass(frozen=True)
class Account:
    """A client account as the routes see it."""

    name: str
    #: Takes precedence over the priority of routes; 0 comes first.
    priority: Optional[int]


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    #: Client accounts by key; ``None`` where requests need no key at all.
    accounts: Optional[dict[str, Account]]
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True)
class BackendServer:
    """A backend server as the directory lists it."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: ServerState
    #: Milliseconds since the epoch at which the server started; tells restarts apart.
    started_ms: int = 0

    @property
    def address(self) -> str:
        """IP number and port, as HTTP writes them."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class RequestFacts:
    """What a caller's headers say, apart from the route."""

    #: Each attempt of a caller has its own.
    attempt_id: str
    #: Seconds that the caller waits; ``None`` if it did not say.
    patience: Optional[float]
    key: Optional[str]
    #: Tokens of the prompt; 0 if not said.
    prompt_tokens: int = 0
    #: Most tokens of the answer; 0 if not said.
    answer_tokens: int = 0
    #: The caller's estimate of the tokens of the answer; 0 if not said.
    answer_estimate: int = 0
    #: Last event of an earlier stream that the caller has.
    last_event_id: Optional[str] = None


@dataclass(frozen=True)
class AnswerFacts:
    """What a backend server's headers say."""

    attempt_id: Optional[str]
    #: Whether the answer bears the signature of a server's work.
    signed: bool
    #: Whether the server says that it did not run the request.
    not_run: bool
    #: Id or address of the server that is at fault, if the answer names one.
    server_at_fault: Optional[str] = None
    #: Seconds for which an idle connection stays open, if the server says so.
    idle_timeout: Optional[float] = None


@dataclass(frozen=True)
class SendFacts:
    """What the relay tells a backend server about one attempt."""

    #: Seconds in which the answer is needed.
    time_left: float
    server_id: str
    account: Optional[str]
    #: 0 comes first, 9 last.
    priority: Optional[int] = None
    #: Last event that the caller has, where a stream goes on.
    last_event_id: Optional[str] = None
    #: Addresses of engines that help to read the prompt, each with a reservation or none.
    helpers: tuple["Helper", ...] = field(default=())


@dataclass(frozen=True)
class Helper:
    """An engine that reads a part of a prompt for another one."""

    host: str
    port: int
    #: Reservation that takes the part's memory; without one the first engine keeps it.
    reservation: Optional[str] = None
