"""Builders of grant requests and engine specifications for the tests of routing."""

from camphordrift.identifiers import AccountId, BackendServerId, ModelName, RequestId, VmId
from camphordrift.routing import EngineSpec, GrantAsk

MODEL = ModelName("assistant")


def grant_ask(
    name: str,
    prompt_tokens: int = 2_000,
    remaining: float = 60.0,
    account: str = "a",
    blocks: tuple[int, ...] = (),
    vm: str = "vm-1",
) -> GrantAsk:
    return GrantAsk(
        RequestId(name),
        1,
        VmId(vm),
        AccountId(account),
        MODEL,
        prompt_tokens,
        expected_output_tokens=100,
        max_output_tokens=100,
        remaining_seconds=remaining,
        prefix_blocks=blocks,
    )


def engine_specs(count: int, memory_tokens: int = 450_000) -> list[EngineSpec]:
    return [
        EngineSpec(BackendServerId(f"engine-{index:02}"), frozenset({MODEL}), memory_tokens)
        for index in range(count)
    ]
