"""The parameters of one stand-in engine."""

from dataclasses import dataclass

from camphordrift.identifiers import BackendServerId, ModelName


@dataclass(frozen=True)
class EngineParameters:
    """Speed, memory and reporting delays of one stand-in engine.

    Example::

        engine_id = BackendServerId("engine-1")
        EngineParameters(engine_id, (ModelName("assistant"),), memory_tokens=10_000)
    """

    #: Identifier of the engine.
    engine_id: BackendServerId

    #: Models that are loaded when the engine starts.
    models: tuple[ModelName, ...]

    #: Prefill speed of an otherwise idle engine, in prompt tokens per second.
    prefill_tokens_per_second: float = 25_000.0

    #: Prompt tokens prefilled between two decode steps; a more urgent request waits for them.
    prefill_chunk_tokens: int = 1024

    #: Duration of a decode step with an empty batch, in seconds.
    step_seconds: float = 0.012

    #: Time that each request in the batch adds to a decode step, in seconds.
    step_seconds_per_request: float = 0.0003

    #: KV memory, in tokens.
    memory_tokens: int = 450_000

    #: Maximum number of requests in prefill or decode at the same time.
    max_running_requests: int = 64

    #: Capacity of the prefix cache in blocks; it is separate from the KV memory.
    cache_blocks: int = 512

    #: Prompt tokens per block of the prefix cache.
    cache_block_tokens: int = 1024

    #: Interval between two load reports, in seconds; a report that is read is at most this old.
    load_lag_seconds: float = 0.5

    #: Delay until a cache event can be read, in seconds.
    cache_event_lag_seconds: float = 1.0

    #: Fraction of the cache events that are lost, from 0 to 1.
    cache_event_loss: float = 0.0

    #: Generated tokens are sent at least this often, in seconds.
    flush_interval_seconds: float = 0.1

    #: Shortest output as a fraction of the request's limit; the length depends on the prompt.
    min_output_fraction: float = 1.0

    #: Whether orders with an outdated fencing number are refused.
    checks_fencing: bool = True

    #: Time to load a model or an adapter, in seconds.
    load_model_seconds: float = 5.0

    def __post_init__(self) -> None:
        if min(self.prefill_tokens_per_second, self.step_seconds) <= 0:
            raise ValueError("prefill_tokens_per_second and step_seconds must be positive")
        if min(self.prefill_chunk_tokens, self.memory_tokens, self.cache_block_tokens) < 1:
            raise ValueError("chunk, memory and cache block must each have at least one token")
        if not 0.0 < self.min_output_fraction <= 1.0:
            raise ValueError("min_output_fraction must be in (0, 1]")
