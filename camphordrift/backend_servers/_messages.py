"""Messages to and from backend servers.

Prompts are counted in tokens, and their text travels as opaque bytes: nothing on the way of a
request tokenizes it.
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
    """What an engine is set to do."""

    #: Prefill and decode.
    FULL = "full"

    #: Prefill only; its KV cache is exported to an engine that decodes.
    PREFILL = "prefill"

    #: Decode only.
    DECODE = "decode"


@dataclass(frozen=True)
class KvPart:
    """The part of a prompt whose KV cache lies under a hold on some engine."""

    #: The engine that has the part.
    engine_id: BackendServerId

    #: The hold under which the engine keeps it.
    hold_id: HoldId

    #: The first token of the part.
    start_token: int

    #: How many tokens the part has.
    token_count: int


@dataclass(frozen=True)
class GenerationRequest:
    """One attempt to have an engine answer a prompt.

    An attempt that continues a broken answer has ``delivered_tokens`` above zero: the engine then
    generates from that token on and sends no token before it.
    """

    #: The caller's request; every chunk of the answer carries it.
    request_id: RequestId

    #: Number of the attempt, from 1; every chunk carries it, so that a late chunk is recognized.
    attempt: int

    #: The model to answer with.
    model: ModelName

    #: The prompt's length in tokens, estimated from its bytes.
    prompt_tokens: int

    #: Upper bound of tokens to generate.
    max_output_tokens: int

    #: The prompt's text, as bytes of UTF-8. May be empty in measurements.
    prompt: bytes

    #: Hashes of the prompt's leading blocks, each over all text up to its end and over the account.
    prefix_blocks: tuple[int, ...] = ()

    #: The engine runs lower numbers first.
    priority: int = 0

    #: Time left for the whole request in seconds.
    remaining_seconds: float = 60.0

    #: Tokens that the caller already has from an earlier attempt.
    delivered_tokens: int = 0

    #: The text of those tokens, as bytes of UTF-8, for engines that continue a given text.
    delivered_text: bytes = b""

    #: For a prompt placed over several engines, where its parts lie; empty otherwise.
    kv_parts: tuple[KvPart, ...] = ()

    #: True if ``prompt`` is the JSON text of a chat's messages, False if it is plain text.
    is_chat: bool = False

    #: Sampling options for the engine, as the text of a JSON object.
    options_json: bytes = b"{}"


@dataclass(frozen=True)
class TokenChunk:
    """Some tokens of an answer."""

    #: The request that the tokens answer.
    request_id: RequestId

    #: The attempt that they belong to.
    attempt: int

    #: Index of the first of these tokens in the whole answer.
    first_token: int

    #: How many tokens the chunk has; zero only in a chunk that ends the answer.
    token_count: int

    #: Their text.
    text: str

    #: Why the answer ends here (``stop`` or ``length``); ``None`` if it goes on.
    finish_reason: Optional[str] = None


@dataclass(frozen=True)
class LoadReport:
    """What an engine says of its load. It is as old as the engine's reporting lag."""

    #: The engine that reports.
    engine_id: BackendServerId

    #: Grows with every report of one incarnation of the engine.
    sequence: int

    #: Changes when the engine process restarts.
    incarnation: Incarnation

    #: Requests being prefilled or decoded.
    running_requests: int

    #: Requests waiting in the engine.
    waiting_requests: int

    #: Prompt tokens that still have to be prefilled, waiting requests included.
    pending_prefill_tokens: int

    #: KV memory in use, holds included, in tokens.
    used_memory_tokens: int

    #: All KV memory, in tokens.
    total_memory_tokens: int

    #: Models that are loaded and ready.
    models: tuple[ModelName, ...]

    #: What the engine is set to do.
    role: EngineRole = EngineRole.FULL

    #: True once the engine is shutting down and wants no new work.
    leaving: bool = False


class CacheEventKind(Enum):
    """What happened to a block of the prefix cache."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@dataclass(frozen=True)
class CacheEvent:
    """One change of an engine's prefix cache."""

    #: Grows by one from event to event of one incarnation; a gap means that events were lost.
    sequence: int

    #: What happened.
    kind: CacheEventKind

    #: The blocks concerned; empty for ``CLEARED``.
    blocks: tuple[int, ...] = ()


@dataclass(frozen=True)
class CacheEventBatch:
    """The answer to a read of cache events."""

    #: The engine's incarnation.
    incarnation: Incarnation

    #: The events, oldest first.
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True)
class MemoryHold:
    """A reservation of KV memory on one engine, as the engine itself lists it."""

    #: The reservation's name, chosen by its owner.
    hold_id: HoldId

    #: How much memory it reserves, in tokens.
    token_count: int

    #: The VM that owns it.
    owner: VmId

    #: The owner's incarnation when it was made.
    owner_incarnation: Incarnation

    #: The request that it serves.
    request_id: RequestId

    #: Time until the engine drops it by itself unless renewed, in seconds; ``None`` if it does not.
    expires_in_seconds: Optional[float] = None

    #: Time since it was made or renewed, in seconds.
    age_seconds: float = 0.0

    #: True if it keeps exported KV cache rather than a running request's memory.
    exported: bool = False


class OrderKind(Enum):
    """What an order tells an engine to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True)
class EngineOrder:
    """An order to an engine.

    Orders state what shall be so ("model X at version 3 is loaded"), never a step, so that one that
    is repeated converges.
    """

    #: What to do.
    kind: OrderKind

    #: The model, adapter or role concerned.
    subject: str

    #: The version of the model or adapter; empty where none applies.
    version: str

    #: Offset of the lease record under which the order is given.
    fencing_number: int

    #: The same for every repetition of one order.
    order_id: str


@dataclass(frozen=True)
class OrderReply:
    """An engine's answer to an order."""

    #: True if the order was taken.
    accepted: bool

    #: The highest fencing number that the engine has seen; ``None`` if it does not check.
    highest_fencing_number: Optional[int] = None

    #: Why it was not taken.
    detail: str = ""
