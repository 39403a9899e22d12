"""Encodes and decodes the JSON messages exchanged with engines.

The generation API is OpenAI-compatible with additional fields: among others ``request_id``,
``attempt``, ``resume_from_token``, ``priority`` and ``kv_parts`` in the request, and
``request_id``, ``attempt``, ``first_token`` and ``token_count`` in each event of the response.
"""

import json
from collections.abc import Mapping
from typing import Any, Optional

from camphordrift.backend_servers import (
    CacheEvent,
    CacheEventBatch,
    CacheEventKind,
    EngineOrder,
    EngineRole,
    GenerationRequest,
    KvPart,
    LoadReport,
    MemoryHold,
    OrderKind,
    OrderReply,
    TokenChunk,
)
from camphordrift.identifiers import (
    BackendServerId,
    HoldId,
    Incarnation,
    ModelName,
    RequestId,
    VmId,
)

JsonObject = Mapping[str, Any]


def encode_generation(request: GenerationRequest) -> bytes:
    """Returns the body of the HTTP request that runs ``request`` on an engine."""
    body: dict[str, Any] = dict(json.loads(request.options_json))
    text = request.prompt.decode("utf-8")
    if request.is_chat:
        body["messages"] = json.loads(text)
    else:
        body["prompt"] = text
    body.update(
        model=request.model,
        max_tokens=request.max_output_tokens,
        stream=True,
        request_id=request.request_id,
        attempt=request.attempt,
        prompt_tokens=request.prompt_tokens,
        prefix_blocks=list(request.prefix_blocks),
        priority=request.priority,
        remaining_seconds=request.remaining_seconds,
        resume_from_token=request.delivered_tokens,
        delivered_text=request.delivered_text.decode("utf-8"),
        kv_parts=[encode_part(part) for part in request.kv_parts],
    )
    return json.dumps(body).encode("utf-8")


def decode_generation(body: JsonObject) -> GenerationRequest:
    """Returns the request that :func:`encode_generation` encoded as ``body``."""
    is_chat = "messages" in body
    prompt = json.dumps(body["messages"]) if is_chat else str(body["prompt"])
    return GenerationRequest(
        request_id=RequestId(body["request_id"]),
        attempt=int(body["attempt"]),
        model=ModelName(body["model"]),
        prompt_tokens=int(body["prompt_tokens"]),
        max_output_tokens=int(body["max_tokens"]),
        prompt=prompt.encode("utf-8"),
        prefix_blocks=tuple(body.get("prefix_blocks", ())),
        priority=int(body.get("priority", 0)),
        remaining_seconds=float(body.get("remaining_seconds", 60.0)),
        delivered_tokens=int(body.get("resume_from_token", 0)),
        delivered_text=str(body.get("delivered_text", "")).encode("utf-8"),
        kv_parts=tuple(decode_part(part) for part in body.get("kv_parts", ())),
        is_chat=is_chat,
    )


def encode_part(part: KvPart) -> JsonObject:
    """Returns a part of a prompt as a JSON object."""
    return {
        "engine_id": part.engine_id,
        "hold_id": part.hold_id,
        "start_token": part.start_token,
        "token_count": part.token_count,
    }


def decode_part(body: JsonObject) -> KvPart:
    """Returns the prompt part that :func:`encode_part` encoded as ``body``."""
    return KvPart(
        engine_id=BackendServerId(body["engine_id"]),
        hold_id=HoldId(body["hold_id"]),
        start_token=int(body["start_token"]),
        token_count=int(body["token_count"]),
    )


def encode_chunk(chunk: TokenChunk) -> bytes:
    """Returns the server-sent event for ``chunk``."""
    event = {
        "request_id": chunk.request_id,
        "attempt": chunk.attempt,
        "first_token": chunk.first_token,
        "token_count": chunk.token_count,
        "choices": [{"index": 0, "text": chunk.text, "finish_reason": chunk.finish_reason}],
    }
    return b"data: " + json.dumps(event).encode("utf-8") + b"\n\n"


def decode_chunk(data: bytes) -> TokenChunk:
    """Returns the chunk in the data of one server-sent event.

    Raises ``ValueError``, ``KeyError``, ``TypeError`` or ``IndexError`` if ``data`` is not a valid
    chunk.
    """
    event = json.loads(data)
    choice = event["choices"][0]
    finish_reason: Optional[str] = choice["finish_reason"]
    return TokenChunk(
        request_id=RequestId(event["request_id"]),
        attempt=int(event["attempt"]),
        first_token=int(event["first_token"]),
        token_count=int(event["token_count"]),
        text=choice["text"],
        finish_reason=finish_reason,
    )


def encode_load(report: LoadReport) -> JsonObject:
    """Returns a load report as the JSON object of the response to ``GET /load``."""
    return {
        "engine_id": report.engine_id,
        "sequence": report.sequence,
        "incarnation": report.incarnation,
        "running_requests": report.running_requests,
        "waiting_requests": report.waiting_requests,
        "pending_prefill_tokens": report.pending_prefill_tokens,
        "used_memory_tokens": report.used_memory_tokens,
        "total_memory_tokens": report.total_memory_tokens,
        "models": list(report.models),
        "role": report.role.value,
        "leaving": report.leaving,
    }


def decode_load(body: JsonObject) -> LoadReport:
    """Returns the load report that :func:`encode_load` encoded as ``body``."""
    return LoadReport(
        engine_id=BackendServerId(body["engine_id"]),
        sequence=int(body["sequence"]),
        incarnation=Incarnation(int(body["incarnation"])),
        running_requests=int(body["running_requests"]),
        waiting_requests=int(body["waiting_requests"]),
        pending_prefill_tokens=int(body["pending_prefill_tokens"]),
        used_memory_tokens=int(body["used_memory_tokens"]),
        total_memory_tokens=int(body["total_memory_tokens"]),
        models=tuple(ModelName(name) for name in body["models"]),
        role=EngineRole(body["role"]),
        leaving=bool(body["leaving"]),
    )


def encode_cache_events(batch: CacheEventBatch) -> JsonObject:
    """Returns cache events as the JSON object of the response to ``GET /cache_events``."""
    return {
        "incarnation": batch.incarnation,
        "events": [
            {"sequence": event.sequence, "kind": event.kind.value, "blocks": list(event.blocks)}
            for event in batch.events
        ],
    }


def decode_cache_events(body: JsonObject) -> CacheEventBatch:
    """Returns the batch of events that :func:`encode_cache_events` encoded as ``body``."""
    events = tuple(
        CacheEvent(int(event["sequence"]), CacheEventKind(event["kind"]), tuple(event["blocks"]))
        for event in body["events"]
    )
    return CacheEventBatch(Incarnation(int(body["incarnation"])), events)


def encode_hold(hold: MemoryHold) -> JsonObject:
    """Returns a hold as a JSON object, as ``/holds`` receives and returns it."""
    return {
        "hold_id": hold.hold_id,
        "token_count": hold.token_count,
        "owner": hold.owner,
        "owner_incarnation": hold.owner_incarnation,
        "request_id": hold.request_id,
        "expires_in_seconds": hold.expires_in_seconds,
        "age_seconds": hold.age_seconds,
        "exported": hold.exported,
    }


def decode_hold(body: JsonObject) -> MemoryHold:
    """Returns the hold that :func:`encode_hold` encoded as ``body``."""
    expires = body.get("expires_in_seconds")
    return MemoryHold(
        hold_id=HoldId(body["hold_id"]),
        token_count=int(body["token_count"]),
        owner=VmId(body["owner"]),
        owner_incarnation=Incarnation(int(body["owner_incarnation"])),
        request_id=RequestId(body["request_id"]),
        expires_in_seconds=None if expires is None else float(expires),
        age_seconds=float(body.get("age_seconds", 0.0)),
        exported=bool(body.get("exported", False)),
    )


def encode_order(order: EngineOrder) -> JsonObject:
    """Returns an order as the JSON object of the request to ``POST /orders``."""
    return {
        "kind": order.kind.value,
        "subject": order.subject,
        "version": order.version,
        "fencing_number": order.fencing_number,
        "order_id": order.order_id,
    }


def decode_order(body: JsonObject) -> EngineOrder:
    """Returns the order that :func:`encode_order` encoded as ``body``."""
    return EngineOrder(
        kind=OrderKind(body["kind"]),
        subject=str(body["subject"]),
        version=str(body["version"]),
        fencing_number=int(body["fencing_number"]),
        order_id=str(body["order_id"]),
    )


def encode_order_reply(reply: OrderReply) -> JsonObject:
    """Returns an order reply as the JSON object of the response to ``POST /orders``."""
    return {
        "accepted": reply.accepted,
        "highest_fencing_number": reply.highest_fencing_number,
        "detail": reply.detail,
    }


def decode_order_reply(body: JsonObject) -> OrderReply:
    """Returns the reply that :func:`encode_order_reply` encoded as ``body``."""
    highest = body["highest_fencing_number"]
    return OrderReply(
        accepted=bool(body["accepted"]),
        highest_fencing_number=None if highest is None else int(highest),
        detail=str(body["detail"]),
    )
