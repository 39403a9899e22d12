"""Messages to and from backend servers.

The serving layer does not tokenize prompts: it passes their text on as bytes, and estimates their
length in tokens.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Optional

from camphordrift.identifiers import (
    BackendServerId,
    HoldId,
    Incarnation,
    ModelName,
    RequestId,
    VmId,
)


class EngineRole(Enum):
    """Whether an engine runs prefill, decode, or both."""

    #: Prefill and decode.
    FULL = "full"

    #: Prefill only; the KV cache is exported to an engine that decodes.
    PREFILL = "prefill"

    #: Decode only.
    DECODE = "decode"


@dataclass(frozen=True)
class KvPart:
    """A contiguous part of a prompt whose KV cache is stored in a hold on one engine."""

    #: The engine that stores the part.
    engine_id: BackendServerId

    #: The hold that reserves the KV memory for the part.
    hold_id: HoldId

    #: Index of the part's first token in the prompt.
    start_token: int

    #: Length of the part in tokens.
    token_count: int


@dataclass(frozen=True)
class GenerationRequest:
    """One attempt to generate the output for a prompt on an engine.

    An attempt that resumes a truncated output has ``delivered_tokens`` above zero: the engine then
    continues from that token index and sends no earlier token.
    """

    #: The caller's request; repeated in every chunk of the output.
    request_id: RequestId

    #: Attempt number, from 1; repeated in every chunk, to detect late chunks of earlier attempts.
    attempt: int

    #: The model that generates the output.
    model: ModelName

    #: The prompt's length in tokens, estimated from its bytes.
    prompt_tokens: int

    #: Maximum number of tokens in the complete output, including ``delivered_tokens``.
    max_output_tokens: int

    #: The prompt's text in UTF-8. May be empty in measurements.
    prompt: bytes

    #: Hashes of the prompt's leading blocks; each covers the account and all text up to its end.
    prefix_blocks: tuple[int, ...] = ()

    #: Scheduling priority on the engine; lower numbers run first.
    priority: int = 0

    #: Seconds until the request's deadline.
    remaining_seconds: float = 60.0

    #: Number of output tokens that earlier attempts delivered to the caller.
    delivered_tokens: int = 0

    #: The text of those tokens in UTF-8, for engines that continue a given text.
    delivered_text: bytes = b""

    #: The parts of a prompt that is split over several engines; empty for other prompts.
    kv_parts: tuple[KvPart, ...] = ()

    #: True if ``prompt`` is a JSON array of chat messages, False if it is plain text.
    is_chat: bool = False

    #: Sampling options for the engine, as a JSON object in UTF-8.
    options_json: bytes = b"{}"


@dataclass(frozen=True)
class TokenChunk:
    """Consecutive output tokens of one attempt."""

    #: The request that the tokens belong to.
    request_id: RequestId

    #: The attempt that generated them.
    attempt: int

    #: Index of the chunk's first token in the complete output.
    first_token: int

    #: Number of tokens in the chunk; zero only in the last chunk of an output.
    token_count: int

    #: The text of these tokens.
    text: str

    #: Why the output ends with this chunk (``stop`` or ``length``); ``None`` if more chunks follow.
    finish_reason: Optional[str] = None


@dataclass(frozen=True)
class LoadReport:
    """An engine's load, as the engine reports it with some lag."""

    #: The reporting engine.
    engine_id: BackendServerId

    #: Increases with every report of one incarnation of the engine.
    sequence: int

    #: Changes when the engine process restarts.
    incarnation: Incarnation

    #: Number of requests in prefill or decode.
    running_requests: int

    #: Number of requests in the engine's queue.
    waiting_requests: int

    #: Number of prompt tokens to prefill, for running and waiting requests.
    pending_prefill_tokens: int

    #: KV memory in use in tokens, including holds.
    used_memory_tokens: int

    #: KV memory capacity in tokens.
    total_memory_tokens: int

    #: Models that the engine has loaded and can run.
    models: tuple[ModelName, ...]

    #: Whether the engine runs prefill, decode, or both.
    role: EngineRole = EngineRole.FULL

    #: True if the engine is draining and accepts no new requests.
    leaving: bool = False


class CacheEventKind(Enum):
    """How the prefix cache changed: blocks stored, blocks evicted, or all blocks dropped."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@dataclass(frozen=True)
class CacheEvent:
    """One change of an engine's prefix cache."""

    #: Increases by one per event of one incarnation; a gap means that events were missed.
    sequence: int

    #: The kind of change.
    kind: CacheEventKind

    #: Hashes of the affected blocks; empty for ``CLEARED``.
    blocks: tuple[int, ...] = ()


@dataclass(frozen=True)
class CacheEventBatch:
    """The response to a read of cache events."""

    #: The engine's incarnation, to which the sequence numbers belong.
    incarnation: Incarnation

    #: The events, oldest first.
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True)
class MemoryHold:
    """A reservation of KV memory on one engine, as listed by that engine."""

    #: The reservation's id, chosen by its owner.
    hold_id: HoldId

    #: Reserved memory in tokens.
    token_count: int

    #: The VM that owns the hold.
    owner: VmId

    #: The owner's incarnation when the hold was placed.
    owner_incarnation: Incarnation

    #: The request that the memory is reserved for.
    request_id: RequestId

    #: Seconds until the engine drops the hold unless it is renewed; ``None`` if it never does.
    expires_in_seconds: Optional[float] = None

    #: Seconds since the hold was placed or last renewed.
    age_seconds: float = 0.0

    #: True if the hold stores exported KV cache, False if it is memory of a running request.
    exported: bool = False


class OrderKind(Enum):
    """The kinds of orders that engines accept."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True)
class EngineOrder:
    """An administrative order to an engine.

    An order describes a desired state ("model X at version 3 is loaded"), never a step, so it is
    idempotent and can be retried.
    """

    #: Which part of the engine's state the order sets.
    kind: OrderKind

    #: Name of the model, adapter or role.
    subject: str

    #: Version of the model or adapter to load; empty for other orders.
    version: str

    #: Fencing token: the offset of the log record that granted the sender's lease. An engine that
    #: checks it rejects orders with a lower number than it has seen.
    fencing_number: int

    #: Identifier of the order; retries have the same one.
    order_id: str


@dataclass(frozen=True)
class OrderReply:
    """An engine's response to an order."""

    #: True if the engine accepted the order.
    accepted: bool

    #: The highest fencing number that the engine has seen; ``None`` if it does not check them.
    highest_fencing_number: Optional[int] = None

    #: Why the order was rejected; empty if it was accepted.
    detail: str = ""
