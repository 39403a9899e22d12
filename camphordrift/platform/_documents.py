"""Parses the configuration and the entries of backend servers from the platform's store."""

import re
from typing import Annotated, Optional

import msgspec

from camphordrift.platform._addresses import parse_address
from camphordrift.platform._json import (
    MAX_COLD_MS,
    MAX_NUMBER,
    Amount,
    Count,
    Name,
    PositiveAmount,
    PositiveCount,
    decode_json,
)
from camphordrift.relay import (
    Account,
    BackendServer,
    CallerLimits,
    Configuration,
    EngineCosts,
    Route,
    RunRule,
    ServerState,
    Service,
    ServiceShare,
)

#: Values of a route's ``Kind``. Requests of the first kind are idempotent and can be retried; a
#: stream can be retried only if it is resumable. Other requests are not retried once they may have
#: run.
_REPEATABLE_KIND = "idempotent"
_STREAM_KIND = "streaming"

_MS_PER_SECOND = 1000.0

#: Callers abandon a stream after the longest of these milliseconds without an event, this many
#: objectives, and this many target gaps between events.
_MIN_PATIENCE_MS = 2000.0
_PATIENCE_OBJECTIVES = 4.0
_PATIENCE_GAPS = 8.0

#: Ids of servers are sent in headers, so they consist of visible ASCII characters.
_SERVER_ID = re.compile(r"[!-~]{1,255}")

#: Capacity of an engine's KV cache in tokens. The relay leaves a part of it unused, and divides by
#: the rest.
_MemoryTokens = Annotated[int, msgspec.Meta(ge=2, le=MAX_NUMBER)]

#: Rank of a route or client account; 0 is the highest one in use.
_Priority = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class _Document(msgspec.Struct, rename="pascal", frozen=True, gc=False):
    """Base class of all documents; unknown fields are ignored."""


class _Share(_Document, frozen=True):
    service: str
    weight: Amount


class _Route(_Document, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Amount = 30000.0
    #: Target time in milliseconds to the response, or to the first event of a stream.
    slo_ms: Amount = 1000.0
    max_attempts: Count = 1
    priority: _Priority = 5
    no_auth: bool = False
    resume_streams: bool = False
    #: Maximum number of milliseconds between events of a stream that still meets the objective.
    gap_target_ms: Amount = 1000.0
    #: A route has either a service or a traffic split.
    service: Optional[str] = None
    traffic_split: tuple[_Share, ...] = ()


class _Engine(_Document, rename=None, frozen=True):
    """Capacity and cost model of a service's engines."""

    slots: PositiveCount = msgspec.field(name="Slots")
    memory_tokens: _MemoryTokens = msgspec.field(name="KvCacheTokens")
    #: Decode steps that an engine runs in one iteration.
    stride: PositiveCount = msgspec.field(name="Stride", default=1)
    #: Base duration of a decode step in milliseconds.
    step_ms: PositiveAmount = 1.0
    #: Milliseconds added to a decode step for each decoding request.
    per_seq_ms: Amount = 0.0
    #: Milliseconds added to a decode step for each 1,000 tokens of context.
    context_per_k: Amount = 0.0
    #: Prompt tokens prefilled per second.
    read_per_s: PositiveAmount = 1e5
    #: Attention cost of prefill: milliseconds per million (token, earlier token) pairs.
    pairs_per_m: Amount = 0.0


class _Service(_Document, frozen=True):
    name: str
    max_conns: Count = 100
    engine: Optional[_Engine] = None
    #: Seconds for which a server is cold after it started during traffic.
    cold_start_s: Amount = 0.0
    #: Requests per second that a cold server takes from all VMs together; 0 without a bound.
    cold_per_s: Amount = 0.0


class _Limits(_Document, frozen=True):
    max_header_bytes: Count = 16384
    max_body_bytes: Count = 4194304
    header_timeout_ms: Amount = 10000.0
    idle_timeout_ms: Amount = 60000.0


class _Tenant(_Document, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Optional[_Priority] = None


class _Configuration(_Document, frozen=True):
    version: Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    #: Absent if requests need no API key.
    tenants: Optional[tuple[_Tenant, ...]] = None


class _ConfigurationVersion(_Document, frozen=True):
    """A configuration of which all other fields are skipped."""

    version: Count


class _ServerEntry(_Document, frozen=True):
    service: Name
    address: Name
    zone: Name
    slots: Count
    state: Name
    #: Start of the process in milliseconds since 1970. The only field of the platform that is not
    #: capitalized.
    born: Count = msgspec.field(name="born", default=0)
    #: Milliseconds for which the server was still cold when it wrote the entry.
    cold_left_ms: Optional[Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]] = None


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_version_decoder = msgspec.json.Decoder(_ConfigurationVersion)
_entry_decoder = msgspec.json.Decoder(_ServerEntry)


class PlatformDocuments:
    """Implements :class:`camphordrift.relay.DocumentFormat`."""

    def configuration(self, document: bytes) -> Configuration:
        """Parses a configuration; raises ``ValueError`` if it is malformed."""
        parsed = decode_json(_configuration_decoder, document)
        return Configuration(
            version=parsed.version,
            routes=tuple(map(_convert_route, parsed.routes)),
            services={service.name: _convert_service(service) for service in parsed.services},
            accounts=None if parsed.tenants is None else _accounts_by_key(parsed.tenants),
            limits=CallerLimits(
                header_bytes=parsed.limits.max_header_bytes,
                body_bytes=parsed.limits.max_body_bytes,
                header_timeout=parsed.limits.header_timeout_ms / _MS_PER_SECOND,
                idle_timeout=parsed.limits.idle_timeout_ms / _MS_PER_SECOND,
            ),
        )

    def configuration_version(self, document: bytes) -> int:
        """Returns a configuration's version; raises ``ValueError`` if it is malformed."""
        return decode_json(_version_decoder, document).version

    def server(self, server_id: str, document: bytes) -> BackendServer:
        """Parses a backend server's entry.

        Raises:
            ValueError: The entry is malformed, its state is unknown, no connection can be opened to
                its address, or no request can be addressed to its id.

        """
        if not _SERVER_ID.fullmatch(server_id):
            raise ValueError("the id of the server cannot be sent in a header")
        parsed = decode_json(_entry_decoder, document)
        if parsed.state not in _SERVER_STATES:
            raise ValueError(f"unknown state {parsed.state!r}")
        address = parse_address(parsed.address)
        return BackendServer(
            id=server_id,
            service=parsed.service,
            host=address.host,
            port=address.port,
            zone=parsed.zone,
            slots=parsed.slots,
            state=_SERVER_STATES[parsed.state],
            started_ms=parsed.born,
            cold_left=(
                None if parsed.cold_left_ms is None else parsed.cold_left_ms / _MS_PER_SECOND
            ),
        )


_SERVER_STATES = {"ready": ServerState.READY, "draining": ServerState.LEAVING}


def _convert_route(route: _Route) -> Route:
    shares = tuple(ServiceShare(share.service, share.weight) for share in route.traffic_split)
    if route.service is not None:
        shares = (ServiceShare(route.service, 1.0),)
    repeatable = route.kind == _REPEATABLE_KIND
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        shares=shares,
        run_rule=RunRule.REPEATABLE if repeatable else RunRule.ONCE,
        streams=route.kind == _STREAM_KIND,
        resumable=route.resume_streams,
        timeout=route.timeout_ms / _MS_PER_SECOND,
        latency_objective=route.slo_ms / _MS_PER_SECOND,
        event_gap_objective=route.gap_target_ms / _MS_PER_SECOND,
        max_attempts=route.max_attempts,
        priority=route.priority,
        allows_anonymous=route.no_auth,
        caller_patience=_caller_patience(route),
    )


def _caller_patience(route: _Route) -> float:
    """Returns the seconds without an event after which callers abandon a stream (PROTOCOL.md)."""
    if route.kind != _STREAM_KIND:
        return float("inf")
    patience_ms = max(
        _MIN_PATIENCE_MS, _PATIENCE_OBJECTIVES * route.slo_ms, _PATIENCE_GAPS * route.gap_target_ms
    )
    return patience_ms / _MS_PER_SECOND


def _convert_service(service: _Service) -> Service:
    costs = None if service.engine is None else _convert_costs(service.engine)
    return Service(
        name=service.name,
        max_connections=service.max_conns,
        engine_costs=costs,
        cold_period=service.cold_start_s,
        cold_request_rate=service.cold_per_s or None,
    )


def _convert_costs(engine: _Engine) -> EngineCosts:
    return EngineCosts(
        slots=engine.slots,
        memory_tokens=engine.memory_tokens,
        decode_steps_per_iteration=engine.stride,
        decode_step_time=engine.step_ms / _MS_PER_SECOND,
        decode_step_time_per_request=engine.per_seq_ms / _MS_PER_SECOND,
        decode_step_time_per_context_token=engine.context_per_k / _MS_PER_SECOND / 1000,
        prefill_time_per_token=1 / engine.read_per_s,
        prefill_time_per_token_pair=engine.pairs_per_m / _MS_PER_SECOND / 1e6,
    )


def _accounts_by_key(tenants: tuple[_Tenant, ...]) -> dict[str, Account]:
    return {
        key: Account(tenant.name, tenant.priority) for tenant in tenants for key in tenant.api_keys
    }
