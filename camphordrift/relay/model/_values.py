"""Data types of the relay, independent of any wire format."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Optional

from camphordrift.relay.model._tolerant_enum import TolerantEnum


class RunRule(Enum):
    """Execution guarantee of a route's requests."""

    #: Idempotent: may be executed any number of times.
    REPEATABLE = "repeatable"
    #: Executed at most once for each attempt id that the caller sends.
    ONCE = "once"


class ServerState(TolerantEnum):
    """Whether a backend server accepts new requests."""

    READY = "ready"
    #: The server is draining and must get no new requests.
    LEAVING = "leaving"

    @classmethod
    def _fallback(cls) -> "ServerState":
        return cls.LEAVING


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight in the traffic split of a route."""

    service: str
    #: Relative to the sum of the weights of the route's shares.
    weight: float


@dataclass(frozen=True)
class Route:
    """Routing rule for the requests of one host and path prefix."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    shares: tuple[ServiceShare, ...]
    run_rule: RunRule
    #: Whether responses are streams of server-sent events.
    streams: bool
    #: Whether an interrupted stream may be resumed on another backend server.
    resumable: bool
    #: Seconds until the complete response is due.
    timeout: float
    #: Target time in seconds to the response, or to the first event of a stream.
    latency_objective: float
    #: Maximum number of seconds between events of a stream that still meets the target.
    event_gap_objective: float
    #: Maximum number of backend servers tried for one attempt of a caller.
    max_attempts: int
    #: 0 is the highest priority.
    priority: int
    #: Whether requests need no API key.
    allows_anonymous: bool
    #: Seconds without an event after which callers abandon a stream, also before its first event.
    caller_patience: float = float("inf")

    @property
    def retryable(self) -> bool:
        """Whether a request can be retried although a server may have executed it."""
        return self.run_rule is RunRule.REPEATABLE or (self.streams and self.resumable)


@dataclass(frozen=True)
class EngineCosts:
    """Capacity of a service's engines and cost model of prefill and decode."""

    #: Maximum number of requests that an engine processes concurrently.
    slots: int
    #: Capacity of an engine's KV cache in tokens.
    memory_tokens: int
    #: Decode steps that an engine runs between two scheduling decisions (one iteration).
    decode_steps_per_iteration: int
    #: Base duration of a decode step in seconds.
    decode_step_time: float
    #: Seconds added to a decode step for each decoding request.
    decode_step_time_per_request: float
    #: Seconds added to a decode step for each context token of the decoding requests.
    decode_step_time_per_context_token: float
    #: Prefill time of one prompt token in seconds.
    prefill_time_per_token: float
    #: Attention cost in seconds for each pair of a prompt token and an earlier one.
    prefill_time_per_token_pair: float

    def prefill_time(self, tokens: int) -> float:
        """Returns the prefill time in seconds of a prompt on one engine without other load."""
        return (
            tokens * self.prefill_time_per_token
            + self.prefill_time_per_token_pair * tokens * tokens / 2
        )

    def iteration_time(self, decoding_requests: int, context_tokens: int) -> float:
        """Returns the duration of an iteration in seconds, without prefill.

        Args:
            decoding_requests: Number of decoding requests.
            context_tokens: Sum of the context lengths of these requests.

        """
        step = (
            self.decode_step_time
            + self.decode_step_time_per_request * decoding_requests
            + self.decode_step_time_per_context_token * context_tokens
        )
        return step * self.decode_steps_per_iteration


@dataclass(frozen=True)
class Service:
    """A group of interchangeable backend servers."""

    name: str
    #: Maximum number of connections that one server accepts in total.
    max_connections: int
    #: ``None`` for services whose servers are not model engines.
    engine_costs: Optional[EngineCosts]
    #: Seconds for which a server is cold after it started during traffic; 0 if servers are never
    #: cold.
    cold_period: float = 0.0
    #: Requests per second from all VMs together that a cold server takes; ``None`` without a bound.
    cold_request_rate: Optional[float] = None

    @property
    def may_be_cold(self) -> bool:
        """Whether the configuration says anything about cold servers."""
        return self.cold_period > 0 or self.cold_request_rate is not None


@dataclass(frozen=True)
class CallerLimits:
    """Size and time limits for requests from callers."""

    #: Maximum size of the request line and headers.
    header_bytes: int = 16384
    #: Maximum size of the body.
    body_bytes: int = 4194304
    #: Seconds from the first byte until the complete request must have been read.
    header_timeout: float = 10.0
    #: Seconds for which a connection may stay idle between requests.
    idle_timeout: float = 60.0


@dataclass(frozen=True)
class Account:
    """The properties of a client account that the relay uses."""

    name: str
    #: Overrides the priority of the route; 0 is the highest, ``None`` keeps the route's.
    priority: Optional[int]


@dataclass(frozen=True)
class Configuration:
    """A complete version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    #: Client accounts by API key; ``None`` if no route requires a key.
    accounts: Optional[dict[str, Account]]
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True)
class BackendServer:
    """A backend server as registered in the server directory."""

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: ServerState
    #: Start time in milliseconds since the epoch; distinguishes restarts of a server.
    started_ms: int = 0
    #: Seconds for which the server is cold, at the time of reading the entry; ``None`` if it does
    #: not say so. Each heartbeat states another value, which is no change of the entry.
    cold_left: Optional[float] = field(default=None, compare=False)

    @property
    def address(self) -> str:
        """IP address and port as ``host:port``."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class EngineReport:
    """An engine's own statement of its load, some hundred milliseconds old."""

    #: Number of requests in prefill or decode, parts of other engines' prompts included.
    running: int
    #: Number of requests that wait on the engine.
    waiting: int


@dataclass(frozen=True)
class RequestMetadata:
    """Request metadata from the caller's headers, except for host and path."""

    #: Unique for each attempt of the caller; a retry by the caller has a new one.
    attempt_id: str
    #: Seconds for which the caller waits; ``None`` if not specified.
    caller_timeout: Optional[float]
    key: Optional[str]
    #: Length of the prompt in tokens; 0 if not specified.
    prompt_tokens: int = 0
    #: Maximum length of the output in tokens; 0 if not specified.
    max_output_tokens: int = 0
    #: Output length in tokens that the caller expects; 0 if not specified.
    estimated_output_tokens: int = 0
    #: Id of the last event the caller received, if it resumes an earlier stream.
    last_event_id: Optional[str] = None
    #: Ids of the parts of the prompt that other requests may share, in order.
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class UnreadableHeader:
    """A header of a response whose value is malformed or beyond its bound."""

    name: str
    #: The beginning of the value.
    value: str


@dataclass(frozen=True)
class ResponseMetadata:
    """Response metadata from a backend server's headers."""

    attempt_id: Optional[str]
    #: Whether the response carries the signature that servers add to executed requests.
    signed: bool
    #: Whether the server states that it did not execute the request.
    not_run: bool
    #: Id or address of the server that caused the failure, if the response names one.
    server_at_fault: Optional[str] = None
    #: Seconds for which the server keeps an idle connection open, if stated.
    idle_timeout: Optional[float] = None
    #: Whether the server announces that it leaves, and so must get no new requests.
    leaving: bool = False
    #: Seconds for which the server wants no further requests, if stated.
    retry_after: Optional[float] = None
    #: Requests per second that the server takes from all VMs together, if it states a limit.
    request_limit: Optional[float] = None
    #: Seconds for which the server is still cold, if stated; 0 if it is not.
    cold_left: Optional[float] = None
    #: Headers that are ignored.
    unreadable: tuple[UnreadableHeader, ...] = ()


@dataclass(frozen=True)
class ForwardingMetadata:
    """Metadata that the relay adds to a request it forwards to a backend server."""

    #: Seconds until the complete response is due.
    remaining_time: float
    #: Any other server must reject the request.
    server_id: str
    #: Name of the client account; ``None`` on routes without API keys.
    account: Optional[str]
    #: 0 is the highest priority, 9 the lowest.
    priority: Optional[int] = None
    #: Id of the last event that the caller has, if a stream is resumed.
    last_event_id: Optional[str] = None
    #: Engines that compute parts of the prefill, each with or without a memory reservation.
    helpers: tuple["PrefillHelper", ...] = field(default=())


@dataclass(frozen=True)
class PrefillHelper:
    """An engine that computes a part of the prefill for another engine."""

    host: str
    port: int
    #: Memory reservation for the part's KV cache; ``None`` if the primary engine stores it.
    reservation: Optional[str] = None
