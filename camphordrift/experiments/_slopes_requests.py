"""Measures what one generation request costs the entry VM's processor before and after the engine.

The steps are those of :mod:`camphordrift.gateway`, called one after the other without a socket.
"""

from collections.abc import Sequence

from camphordrift.account_limits import AccountLimiter, LimiterSettings
from camphordrift.backend_http._engine_wire import encode_generation
from camphordrift.backend_servers import GenerationRequest
from camphordrift.configuration import AccountLimits, ConfigurationSnapshot
from camphordrift.experiments._slope_series import Series, SeriesKind, cpu_seconds
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

#: Engines in the configuration while the prompt's length varies.
ENGINES_OF_TODAY = 20

_REQUEST_CPU = SeriesKind(
    "request_cpu_by_prompt",
    "one completion request without its tokens: parse the body, permissions, limits, prefix "
    "hashes, scheduler, body for the engine, end of request; 20 engines",
    "thousand prompt tokens",
    "ms CPU per request",
)
_CHAT_CPU = SeriesKind(
    "chat_parse_cpu_by_prompt",
    "parse the body of a chat request",
    "thousand prompt tokens",
    "ms CPU per request",
)
_PERMIT_CPU = SeriesKind(
    "permit_cpu_by_engines",
    "permissions of one request and the ask for its grant, by engines of the service",
    "engines of the service",
    "us CPU per request",
)
_ASK_BYTES = SeriesKind(
    "ask_bytes_by_engines",
    "body of the ask for one grant as VMs encode it, by engines of the service; a prompt of 1,000 "
    "tokens, no prefix blocks",
    "engines of the service",
    "bytes",
)
_TOKENS_PER_THOUSAND = 1000
_BYTES_PER_TOKEN = 4


class RequestPath:
    """The steps of one request, with the parts of one entry VM."""

    def __init__(self, engine_count: int) -> None:
        self._snapshot = fleet_snapshot(engine_count)
        self._limiter = AccountLimiter(LimiterSettings(), 0.0)
        limits = {ACCOUNT: AccountLimits(ACCOUNT, 1e9, 1e15, 10_000)}
        self._limiter.set_limits(limits, memory_tokens=10**12)
        self._scheduler: Scheduler = pool_scheduler()
        self._scheduler.set_engines(_facts(self._snapshot), 0.0)
        self._now = 0.0
        self._number = 0

    def run(self, raw: bytes) -> bytes:
        """Runs one request; returns the body for the engine."""
        self._number += 1
        self._now += 0.05
        body = parse_completion(raw).unwrap()
        permission = permit_generation(self._snapshot, ACCOUNT, body).unwrap()
        tokens = body.prompt_tokens + body.max_output_tokens
        admission = self._limiter.try_admit(ACCOUNT, tokens, self._now).unwrap()
        ask = grant_ask(RequestId(f"r-{self._number}"), permission, body)
        sent = self._run_granted(ask, body)
        self._limiter.release(admission, self._now)
        return sent

    def _run_granted(self, ask: GrantAsk, body: GenerationBody) -> bytes:
        self._scheduler.submit(ask, self._now)
        granted = self._scheduler.decide(self._now)[0]
        assert isinstance(granted, Granted), granted
        sent = encode_generation(_generation(ask, body))
        OutputAssembler(ask.request_id).start_attempt(1)
        self._scheduler.record_first_token(AttemptKey(ask.request_id, 1), self._now)
        engine_id = granted.grant.engine_id
        outcome = GrantOutcome(ask.request_id, 1, engine_id, True, False, 100)
        self._scheduler.finish(outcome, self._now)
        self._scheduler.decide(self._now)
        ResponseEncoder(ask.request_id, body, 0).final_events(100)
        return sent


def grant_ask(
    request_id: RequestId, permission: GenerationPermission, body: GenerationBody
) -> GrantAsk:
    """Returns the ask that the gateway makes for a request."""
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


def measure_request_cpu(thousands: Sequence[int]) -> tuple[Series, ...]:
    """Measures requests by the length of their prompts, in thousands of tokens."""

    def request_cost(thousand: int) -> float:
        path = RequestPath(ENGINES_OF_TODAY)
        raw = generation_body(thousand * _TOKENS_PER_THOUSAND * _BYTES_PER_TOKEN)
        return cpu_seconds(lambda: path.run(raw)) * 1e3

    def chat_cost(thousand: int) -> float:
        raw = generation_body(thousand * _TOKENS_PER_THOUSAND * _BYTES_PER_TOKEN, is_chat=True)
        return cpu_seconds(lambda: parse_chat(raw).unwrap()) * 1e3

    return _REQUEST_CPU.measured(thousands, request_cost), _CHAT_CPU.measured(thousands, chat_cost)


def measure_permissions(engine_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures permissions and the ask by the engines of the service."""
    body = parse_completion(generation_body(4_000)).unwrap()
    registry = MessageRegistry()
    registry.declare(GrantAsk)

    def ask_of(snapshot: ConfigurationSnapshot) -> GrantAsk:
        permission = permit_generation(snapshot, ACCOUNT, body).unwrap()
        return grant_ask(RequestId("r-1"), permission, body)

    def cost(engine_count: int) -> float:
        snapshot = fleet_snapshot(engine_count)
        return cpu_seconds(lambda: ask_of(snapshot)) * 1e6

    def size(engine_count: int) -> float:
        ask = ask_of(fleet_snapshot(engine_count))
        return float(len(registry.encode(ask).body))

    return _PERMIT_CPU.measured(engine_counts, cost), _ASK_BYTES.measured(engine_counts, size)


def _facts(snapshot: ConfigurationSnapshot) -> list[EngineSpec]:
    models = frozenset({MODEL})
    return [EngineSpec(server.server_id, models, 10**8) for server in snapshot.engines()]


def _generation(ask: GrantAsk, body: GenerationBody) -> GenerationRequest:
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
