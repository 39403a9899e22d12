"""The numbers that describe one stand-in engine."""

from dataclasses import dataclass

from camphordrift.identifiers import BackendServerId, ModelName


@dataclass(frozen=True)
class EngineParameters:
    """How fast an engine is, how much it holds, and how late it speaks of itself.

    Example::

        engine_id = BackendServerId("engine-1")
        EngineParameters(engine_id, (ModelName("assistant"),), memory_tokens=10_000)
    """

    #: The engine's name.
    engine_id: BackendServerId

    #: The models that it has loaded at its start.
    models: tuple[ModelName, ...]

    #: Prompt tokens computed a second by an engine that does nothing else.
    prefill_tokens_per_second: float = 25_000.0

    #: Prompt tokens computed between two decoding steps; a new priority counts after them.
    prefill_chunk_tokens: int = 1024

    #: Time of a decoding step of an empty batch, in seconds.
    step_seconds: float = 0.012

    #: What each request in the batch adds to a decoding step, in seconds.
    step_seconds_per_request: float = 0.0003

    #: KV memory, in tokens.
    memory_tokens: int = 450_000

    #: Requests prefilled or decoded at once.
    max_running_requests: int = 64

    #: Blocks of the prefix cache, which is kept apart from the KV memory.
    cache_blocks: int = 512

    #: Prompt tokens in each block of the prefix cache.
    cache_block_tokens: int = 1024

    #: Time between two load reports, in seconds; a report read is at most this old.
    load_lag_seconds: float = 0.5

    #: Age of a cache event before it can be read, in seconds.
    cache_event_lag_seconds: float = 1.0

    #: Share of the cache events that are lost, from 0 to 1.
    cache_event_loss: float = 0.0

    #: Tokens are handed out at least this often, in seconds.
    flush_interval_seconds: float = 0.1

    #: Shortest answer as a share of the request's bound; which one it is depends on the prompt.
    min_output_fraction: float = 1.0

    #: Whether orders with an old fencing number are refused.
    checks_fencing: bool = True

    #: Time to load a model or an adapter, in seconds.
    load_model_seconds: float = 5.0

    def __post_init__(self) -> None:
        if min(self.prefill_tokens_per_second, self.step_seconds) <= 0:
            raise ValueError("prefill_tokens_per_second and step_seconds must be above zero")
        if min(self.prefill_chunk_tokens, self.memory_tokens, self.cache_block_tokens) < 1:
            raise ValueError("chunk, memory and cache block must have at least one token")
        if not 0.0 < self.min_output_fraction <= 1.0:
            raise ValueError("min_output_fraction must lie in (0, 1]")
