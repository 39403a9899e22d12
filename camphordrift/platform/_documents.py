"""Documents on the platform's store: the configuration, and entries of backend servers."""

from typing import Optional

import msgspec

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

#: The kinds of route that may run any number of times. A stream may only if it can be resumed.
_REPEATABLE_KIND = "idempotent"
_STREAM_KIND = "streaming"

_MS = 1000.0


class _Document(msgspec.Struct, rename="pascal", frozen=True, gc=False):
    """Base of all documents; unknown fields are ignored."""


class _Share(_Document, frozen=True):
    service: str
    weight: float


class _Route(_Document, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 30000.0
    #: The time callers aim at.
    slo_ms: float = 1000.0
    max_attempts: int = 1
    priority: int = 5
    no_auth: bool = False
    resume_streams: bool = False
    #: Longest pause between a stream's events that is on time.
    gap_target_ms: float = 1000.0
    #: A route has either one service or a split.
    service: Optional[str] = None
    traffic_split: tuple[_Share, ...] = ()


class _Engine(_Document, rename=None, frozen=True):
    """What engines of a service need for their work."""

    slots: int = msgspec.field(name="Slots")
    memory_tokens: int = msgspec.field(name="KvCacheTokens")
    stride: int = msgspec.field(name="Stride", default=1)
    step_ms: float = 1.0
    #: Added to a step for each request that is writing.
    per_seq_ms: float = 0.0
    #: Milliseconds added to a step for each 1,000 tokens of context.
    context_per_k: float = 0.0
    #: Prompt tokens read in a second.
    read_per_s: float = 1e5
    #: Milliseconds for each million pairs of a token and an earlier one.
    pairs_per_m: float = 0.0


class _Service(_Document, frozen=True):
    name: str
    max_conns: int = 100
    engine: Optional[_Engine] = None


class _Limits(_Document, frozen=True):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 10000.0
    idle_timeout_ms: float = 60000.0


class _Tenant(_Document, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Optional[int] = None


class _Configuration(_Document, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    #: Absent where requests need no key.
    tenants: Optional[tuple[_Tenant, ...]] = None


class _ServerEntry(_Document, frozen=True):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    #: Milliseconds since the epoch; the only name here that is not capitalized.
    born: int = msgspec.field(name="born", default=0)


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_entry_decoder = msgspec.json.Decoder(_ServerEntry)


class PlatformDocuments:
    """Implements :class:`camphordrift.relay.DocumentFormat`."""

    def configuration(self, document: bytes) -> Configuration:
        """Reads a configuration."""
        read = _configuration_decoder.decode(document)
        return Configuration(
            version=read.version,
            routes=tuple(map(_route, read.routes)),
            services={service.name: _service(service) for service in read.services},
            accounts=None if read.tenants is None else _accounts(read.tenants),
            limits=CallerLimits(
                header_bytes=read.limits.max_header_bytes,
                body_bytes=read.limits.max_body_bytes,
                header_timeout=read.limits.header_timeout_ms / _MS,
                idle_timeout=read.limits.idle_timeout_ms / _MS,
            ),
        )

    def server(self, server_id: str, document: bytes) -> BackendServer:
        """Reads a backend server's entry."""
        read = _entry_decoder.decode(document)
        host, _, port = read.address.rpartition(":")
        return BackendServer(
            id=server_id,
            service=read.service,
            host=host,
            port=int(port),
            zone=read.zone,
            slots=read.slots,
            state=_STATES[read.state],
            started_ms=read.born,
        )


_STATES = {"ready": ServerState.READY, "draining": ServerState.LEAVING}


def _route(route: _Route) -> Route:
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
        timeout=route.timeout_ms / _MS,
        latency_objective=route.slo_ms / _MS,
        event_gap_objective=route.gap_target_ms / _MS,
        max_attempts=route.max_attempts,
        priority=route.priority,
        allows_anonymous=route.no_auth,
    )


def _service(service: _Service) -> Service:
    costs = None if service.engine is None else _costs(service.engine)
    return Service(name=service.name, max_connections=service.max_conns, engine_costs=costs)


def _costs(engine: _Engine) -> EngineCosts:
    return EngineCosts(
        slots=engine.slots,
        memory_tokens=engine.memory_tokens,
        decode_steps_per_iteration=engine.stride,
        decode_step_time=engine.step_ms / _MS,
        decode_step_time_per_request=engine.per_seq_ms / _MS,
        decode_step_time_per_context_token=engine.context_per_k / _MS / 1000,
        prefill_time_per_token=1 / engine.read_per_s,
        prefill_time_per_token_pair=engine.pairs_per_m / _MS / 1e6,
    )


def _accounts(tenants: tuple[_Tenant, ...]) -> dict[str, Account]:
    return {
        key: Account(tenant.name, tenant.priority) for tenant in tenants for key in tenant.api_keys
    }
