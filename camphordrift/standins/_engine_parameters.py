"""The speed, memory size and reporting delays of a stand-in engine."""

from dataclasses import dataclass

from camphordrift.identifiers import BackendServerId, ModelName


@dataclass(frozen=True)
class EngineParameters:
    """Speed, memory and reporting delays of one stand-in engine.

    Example::

        engine_id = BackendServerId("engine-1")
        EngineParameters(engine_id, (ModelName("assistant"),), memory_tokens=10_000)
    """

    #: Id of the engine.
    engine_id: BackendServerId

    #: Models that are loaded when the engine starts.
    models: tuple[ModelName, ...]

    #: Prefill speed of an otherwise idle engine, in prompt tokens per second.
    prefill_tokens_per_second: float = 25_000.0

    #: Number of prompt tokens that are prefilled between two decode steps. A more urgent request
    #: waits until they are prefilled.
    prefill_chunk_tokens: int = 1024

    #: Seconds that a decode step takes, without the time added by each request.
    step_seconds: float = 0.012

    #: Seconds that each request in the batch adds to a decode step.
    step_seconds_per_request: float = 0.0003

    #: Number of tokens that the KV memory holds.
    memory_tokens: int = 450_000

    #: Maximum number of requests in prefill or decode at the same time.
    max_running_requests: int = 64

    #: Maximum number of blocks in the prefix cache, which is separate from the KV memory.
    cache_blocks: int = 512

    #: Number of prompt tokens in one block of the prefix cache.
    cache_block_tokens: int = 1024

    #: Seconds between two load reports, and thus the maximum age of a report that is read.
    load_lag_seconds: float = 0.5

    #: Seconds from a change of the prefix cache until its cache event can be read.
    cache_event_lag_seconds: float = 1.0

    #: Probability that a cache event is lost, from 0 to 1.
    cache_event_loss: float = 0.0

    #: Maximum seconds between two sendings of generated tokens.
    flush_interval_seconds: float = 0.1

    #: Minimum length of an output as a fraction of the request's output limit. The actual length
    #: depends on the request's id and prompt.
    min_output_fraction: float = 1.0

    #: Whether the engine rejects orders with an outdated fencing number.
    checks_fencing: bool = True

    #: Seconds that loading a model or an adapter takes.
    load_model_seconds: float = 5.0

    def __post_init__(self) -> None:
        if min(self.prefill_tokens_per_second, self.step_seconds) <= 0:
            raise ValueError("prefill_tokens_per_second and step_seconds must be positive")
        if min(self.prefill_chunk_tokens, self.memory_tokens, self.cache_block_tokens) < 1:
            raise ValueError("chunk, memory and cache block must each have at least one token")
        if not 0.0 < self.min_output_fraction <= 1.0:
            raise ValueError("min_output_fraction must be in (0, 1]")
