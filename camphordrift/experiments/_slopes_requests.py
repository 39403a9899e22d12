"""Measures the CPU time of one generation request on the entry VM, without its output tokens.

It calls the steps of :mod:`camphordrift.gateway` before and after the engine one by one, without
sockets.
"""

from collections.abc import Sequence

from camphordrift.account_limits import AccountLimiter, LimiterSettings
from camphordrift.backend_http._engine_wire import encode_generation
from camphordrift.backend_servers import GenerationRequest
from camphordrift.configuration import AccountLimits, ConfigurationSnapshot
from camphordrift.experiments._slope_series import Series, SeriesDefinition, cpu_seconds
from camphordrift.experiments._slope_values import ACCOUNT, MODEL, fleet_snapshot, generation_body
from camphordrift.gateway._lengths import prefix_block_hashes
from camphordrift.gateway._openai_bodies import GenerationBody, parse_chat, parse_completion
from camphordrift.gateway._output import OutputAssembler
from camphordrift.gateway._permissions import GenerationPermission, permit_generation
from camphordrift.gateway._response_encoder import ResponseEncoder
from camphordrift.identifiers import RequestId, VmId
from camphordrift.peers import MessageRegistry
from camphordrift.routing import (
    AttemptKey,
    EngineSpec,
    GrantAsk,
    Granted,
    GrantOutcome,
    Scheduler,
    pool_scheduler,
)

#: Number of engines in the configuration while the prompt length varies.
ENGINE_COUNT = 20

_REQUEST_CPU = SeriesDefinition(
    "request_cpu_by_prompt",
    "one completion request without its tokens: parse the body, permissions, limits, prefix "
    "hashes, scheduler, body for the engine, end of request; 20 engines",
    "thousand prompt tokens",
    "ms CPU per request",
)
_CHAT_CPU = SeriesDefinition(
    "chat_parse_cpu_by_prompt",
    "parse the body of a chat request",
    "thousand prompt tokens",
    "ms CPU per request",
)
_PERMIT_CPU = SeriesDefinition(
    "permit_cpu_by_engines",
    "permissions of one request and the ask for its grant, by engines of the service",
    "engines of the service",
    "us CPU per request",
)
_GRANT_REQUEST_BYTES = SeriesDefinition(
    "ask_bytes_by_engines",
    "body of the ask for one grant as VMs encode it, by engines of the service; a prompt of 1,000 "
    "tokens, no prefix blocks",
    "engines of the service",
    "bytes",
)
_TOKENS_PER_THOUSAND = 1000
_BYTES_PER_TOKEN = 4


class RequestPath:
    """Runs the steps of a request with the limiter and the scheduler of one entry VM."""

    def __init__(self, engine_count: int) -> None:
        self._snapshot = fleet_snapshot(engine_count)
        self._limiter = AccountLimiter(LimiterSettings(), 0.0)
        limits = {ACCOUNT: AccountLimits(ACCOUNT, 1e9, 1e15, 10_000)}
        self._limiter.set_limits(limits, memory_tokens=10**12)
        self._scheduler: Scheduler = pool_scheduler()
        self._scheduler.set_engines(_engine_specs(self._snapshot), 0.0)
        self._now = 0.0
        self._request_count = 0

    def run(self, raw: bytes) -> bytes:
        """Runs one completion request and returns the body that is sent to the engine."""
        self._request_count += 1
        self._now += 0.05
        body = parse_completion(raw).unwrap()
        permission = permit_generation(self._snapshot, ACCOUNT, body).unwrap()
        tokens = body.prompt_tokens + body.max_output_tokens
        admission = self._limiter.try_admit(ACCOUNT, tokens, self._now).unwrap()
        ask = grant_request(RequestId(f"r-{self._request_count}"), permission, body)
        engine_body = self._run_granted(ask, body)
        self._limiter.release(admission, self._now)
        return engine_body

    def _run_granted(self, ask: GrantAsk, body: GenerationBody) -> bytes:
        self._scheduler.submit(ask, self._now)
        granted = self._scheduler.decide(self._now)[0]
        assert isinstance(granted, Granted), granted
        engine_body = encode_generation(_generation_request(ask, body))
        OutputAssembler(ask.request_id).start_attempt(1)
        self._scheduler.record_first_token(AttemptKey(ask.request_id, 1), self._now)
        engine_id = granted.grant.engine_id
        outcome = GrantOutcome(ask.request_id, 1, engine_id, True, False, 100)
        self._scheduler.finish(outcome, self._now)
        self._scheduler.decide(self._now)
        ResponseEncoder(ask.request_id, body, 0).final_events(100)
        return engine_body


def grant_request(
    request_id: RequestId, permission: GenerationPermission, body: GenerationBody
) -> GrantAsk:
    """Returns the grant request that the gateway makes for a generation request."""
    return GrantAsk(
        request_id=request_id,
        attempt=1,
        vm_id=VmId("vm-0001"),
        account_id=permission.account_id,
        model=MODEL,
        prompt_tokens=body.prompt_tokens,
        expected_output_tokens=body.max_output_tokens,
        max_output_tokens=body.max_output_tokens,
        remaining_seconds=60.0,
        prefix_blocks=prefix_block_hashes(permission.account_id, body.prompt),
        permitted_engines=permission.engines,
    )


def measure_request_cpu(thousands_of_tokens: Sequence[int]) -> tuple[Series, ...]:
    """Measures the CPU time of a request by its prompt length, in thousands of tokens."""

    def request_cost(thousand_tokens: int) -> float:
        path = RequestPath(ENGINE_COUNT)
        raw = generation_body(thousand_tokens * _TOKENS_PER_THOUSAND * _BYTES_PER_TOKEN)
        return cpu_seconds(lambda: path.run(raw)) * 1e3

    def chat_cost(thousand_tokens: int) -> float:
        raw = generation_body(
            thousand_tokens * _TOKENS_PER_THOUSAND * _BYTES_PER_TOKEN, is_chat=True
        )
        return cpu_seconds(lambda: parse_chat(raw).unwrap()) * 1e3

    return (
        _REQUEST_CPU.measure(thousands_of_tokens, request_cost),
        _CHAT_CPU.measure(thousands_of_tokens, chat_cost),
    )


def measure_permissions(engine_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures permissions and the size of a grant request by the engines of the service."""
    body = parse_completion(generation_body(4_000)).unwrap()
    registry = MessageRegistry()
    registry.declare(GrantAsk)

    def grant_request_for(snapshot: ConfigurationSnapshot) -> GrantAsk:
        permission = permit_generation(snapshot, ACCOUNT, body).unwrap()
        return grant_request(RequestId("r-1"), permission, body)

    def cost(engine_count: int) -> float:
        snapshot = fleet_snapshot(engine_count)
        return cpu_seconds(lambda: grant_request_for(snapshot)) * 1e6

    def size(engine_count: int) -> float:
        ask = grant_request_for(fleet_snapshot(engine_count))
        return float(len(registry.encode(ask).body))

    return (
        _PERMIT_CPU.measure(engine_counts, cost),
        _GRANT_REQUEST_BYTES.measure(engine_counts, size),
    )


def _engine_specs(snapshot: ConfigurationSnapshot) -> list[EngineSpec]:
    models = frozenset({MODEL})
    return [EngineSpec(server.server_id, models, 10**8) for server in snapshot.engines()]


def _generation_request(ask: GrantAsk, body: GenerationBody) -> GenerationRequest:
    return GenerationRequest(
        request_id=ask.request_id,
        attempt=1,
        model=ask.model,
        prompt_tokens=ask.prompt_tokens,
        max_output_tokens=ask.max_output_tokens,
        prompt=body.prompt,
        prefix_blocks=prefix_block_hashes(ask.account_id, body.prompt),
        options_json=body.options_json,
    )
