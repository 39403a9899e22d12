"""A client that calls engines over HTTP."""

import json
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Sequence
from contextlib import aclosing, asynccontextmanager, suppress
from dataclasses import replace
from typing import Any, Optional, TypeVar

import trio

from camphordrift.backend_http._connections import HttpCall, HttpConnections, HttpStream
from camphordrift.backend_http._engine_wire import (
    decode_cache_events,
    decode_chunk,
    decode_hold,
    decode_load,
    decode_order_reply,
    encode_generation,
    encode_hold,
    encode_order,
    encode_part,
)
from camphordrift.backend_http._sse import EventSplitter, EventTooLongError
from camphordrift.backend_servers import (
    BackendError,
    BackendRefusedError,
    BackendUnreachableError,
    CacheEventBatch,
    EngineOrder,
    GenerationRequest,
    KvPart,
    LoadReport,
    MemoryHold,
    OrderReply,
    StreamBrokenError,
    TokenChunk,
)
from camphordrift.identifiers import BackendServerId, HoldId, RequestId
from camphordrift.response_checks import DECODING_ERRORS

#: Timeout in seconds of a control request: one that reads or changes an engine's state without
#: running a prompt.
CONTROL_TIMEOUT_SECONDS = 2.0

#: Timeout in seconds of a request that cancels an attempt. It may be sent after the attempt's
#: deadline.
CANCEL_TIMEOUT_SECONDS = 1.0

#: Response header with the value ``1`` if the engine refused a request without running any of it.
NOT_RUN_HEADER = "x-not-run"

#: Data of the server-sent event that marks the end of a stream.
END_OF_STREAM = b"[DONE]"

#: Headers of requests with a JSON body.
JSON_HEADERS = (("Content-Type", "application/json"),)

AddressLookup = Callable[[BackendServerId], Optional[str]]

_Decoded = TypeVar("_Decoded")


class HttpEngineClient:
    """An :class:`EngineClient` over HTTP.

    ``address_of`` returns an engine's base URL, such as ``http://127.0.0.1:9001``, or ``None`` if
    the configuration does not contain it.
    """

    def __init__(self, connections: HttpConnections, address_of: AddressLookup) -> None:
        self._connections = connections
        self._address_of = address_of
        self._nursery: Optional[trio.Nursery] = None

    async def run(self) -> None:
        """Sends a cancel request for each cancelled attempt, until cancelled itself.

        While it does not run, engines detect a cancelled attempt only by its closed connection.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    @asynccontextmanager
    async def generate(
        self, engine_id: BackendServerId, request: GenerationRequest
    ) -> AsyncIterator[AsyncIterator[TokenChunk]]:
        """Runs one attempt and yields its chunks.

        Exiting the context before the last chunk cancels the attempt on the engine.
        """
        target = "/v1/chat/completions" if request.is_chat else "/v1/completions"
        call = self._call(engine_id, "POST", target, encode_generation(request))
        ended = False

        async def chunks(stream: HttpStream) -> AsyncGenerator[TokenChunk, None]:
            nonlocal ended
            async with aclosing(_chunks_of(stream)) as source:
                async for chunk in source:
                    ended = chunk.finish_reason is not None
                    yield chunk

        try:
            async with self._connections.stream(call) as stream:
                await _raise_for_error_status(stream)
                async with aclosing(chunks(stream)) as iterator:
                    yield iterator
        except BackendUnreachableError:
            ended = True
            raise
        except trio.Cancelled:
            # The engine may not respond to the cancel request. No further attempt follows, so the
            # request is sent in the background and does not delay the caller.
            ended = True
            self._cancel_in_background(engine_id, request.request_id)
            raise
        finally:
            if not ended:
                await self._try_cancel(engine_id, request.request_id)

    async def prefill_part(self, part: KvPart, request: GenerationRequest) -> None:
        """Prefills one part of a prompt; the engine stores the KV cache in the part's hold."""
        body = {"part": encode_part(part), "request": json.loads(encode_generation(request))}
        call = self._call(part.engine_id, "POST", "/kv/prefill", _json_bytes(body))
        async with self._connections.stream(call) as stream:
            await _raise_for_error_status(stream)
            async for _ in stream.parts:
                pass

    async def cancel(self, engine_id: BackendServerId, request_id: RequestId) -> None:
        """Cancels all work of the engine for the request; does nothing if there is none."""
        await self._control(engine_id, "POST", "/cancel", _ignore, {"request_id": request_id})

    async def read_load(self, engine_id: BackendServerId) -> LoadReport:
        """Returns the engine's latest load report."""
        return await self._control(engine_id, "GET", "/load", decode_load)

    async def read_cache_events(
        self, engine_id: BackendServerId, after_sequence: int
    ) -> CacheEventBatch:
        """Returns the cache events after ``after_sequence`` that the engine still retains."""
        target = f"/cache_events?after={after_sequence}"
        return await self._control(engine_id, "GET", target, decode_cache_events)

    async def place_hold(self, engine_id: BackendServerId, hold: MemoryHold) -> None:
        """Reserves KV memory, or renews the hold if one with the same id and owner exists."""
        await self._control(engine_id, "POST", "/holds", _ignore, encode_hold(hold))

    async def release_hold(self, engine_id: BackendServerId, hold_id: HoldId) -> None:
        """Releases a hold; does nothing if the engine has no such hold."""
        await self._control(engine_id, "POST", "/holds/release", _ignore, {"hold_id": hold_id})

    async def list_holds(self, engine_id: BackendServerId) -> tuple[MemoryHold, ...]:
        """Returns all holds of the engine, regardless of their owner."""
        return await self._control(engine_id, "GET", "/holds", _decode_holds)

    async def send_order(self, engine_id: BackendServerId, order: EngineOrder) -> OrderReply:
        """Sends an order to the engine and returns its reply."""
        return await self._control(
            engine_id, "POST", "/orders", decode_order_reply, encode_order(order)
        )

    def _call(
        self, engine_id: BackendServerId, method: str, target: str, body: bytes = b""
    ) -> HttpCall:
        base_url = self._address_of(engine_id)
        if base_url is None:
            raise BackendUnreachableError(f"no address is configured for engine {engine_id}")
        return HttpCall(method, base_url, target, body, JSON_HEADERS)

    async def _control(
        self,
        engine_id: BackendServerId,
        method: str,
        target: str,
        decode: Callable[[Any], _Decoded],
        body: Any = None,
    ) -> _Decoded:
        content = b"" if body is None else _json_bytes(body)
        call = self._call(engine_id, method, target, content)
        async with self._connections.stream(call, CONTROL_TIMEOUT_SECONDS) as stream:
            await _raise_for_error_status(stream)
            response_body = b"".join([part async for part in stream.parts])
        try:
            return decode(json.loads(response_body))
        except DECODING_ERRORS as error:
            raise StreamBrokenError(
                f"{target}: the response body cannot be read: {error!r}"
            ) from error

    def _cancel_in_background(self, engine_id: BackendServerId, request_id: RequestId) -> None:
        """Starts a cancel request in a task that the current cancellation does not affect."""
        if self._nursery is not None:
            self._nursery.start_soon(self._try_cancel, engine_id, request_id)

    async def _try_cancel(self, engine_id: BackendServerId, request_id: RequestId) -> None:
        """Sends a cancel request and ignores its failure.

        Closing the connection also cancels the work. The explicit request makes it more certain
        that the work has ended before another attempt starts.
        """
        with trio.move_on_after(CANCEL_TIMEOUT_SECONDS), suppress(BackendError):
            await self.cancel(engine_id, request_id)


async def _raise_for_error_status(stream: HttpStream) -> None:
    if stream.status < 400:
        return
    body = b"".join([part async for part in stream.parts])
    not_run = stream.headers.get(NOT_RUN_HEADER) == "1"
    raise BackendRefusedError(body[:500].decode("utf-8", "replace"), stream.status, not_run)


async def _chunks_of(stream: HttpStream) -> AsyncGenerator[TokenChunk, None]:
    splitter = EventSplitter()
    async with aclosing(stream.parts) as parts:
        async for part in parts:
            for chunk in merge_adjacent(_decode_events(splitter, part)):
                yield chunk


def _decode_events(splitter: EventSplitter, part: bytes) -> list[TokenChunk]:
    try:
        return [decode_chunk(event) for event in splitter.feed(part) if event != END_OF_STREAM]
    except (*DECODING_ERRORS, EventTooLongError) as error:
        raise StreamBrokenError(f"invalid server-sent event: {error!r}") from error


def _decode_holds(body: Any) -> tuple[MemoryHold, ...]:
    return tuple(decode_hold(hold) for hold in body["holds"])


def _ignore(body: Any) -> None:
    """Ignores the body of a response whose status says everything."""


def merge_adjacent(chunks: Sequence[TokenChunk]) -> list[TokenChunk]:
    """Merges consecutive chunks of one attempt, so that they are relayed in a single write."""
    merged: list[TokenChunk] = []
    for chunk in chunks:
        if merged and _continues(merged[-1], chunk):
            merged[-1] = _merged(merged[-1], chunk)
        else:
            merged.append(chunk)
    return merged


def _continues(earlier: TokenChunk, later: TokenChunk) -> bool:
    return (
        earlier.finish_reason is None
        and (earlier.request_id, earlier.attempt) == (later.request_id, later.attempt)
        and earlier.first_token + earlier.token_count == later.first_token
    )


def _merged(earlier: TokenChunk, later: TokenChunk) -> TokenChunk:
    return replace(
        earlier,
        token_count=earlier.token_count + later.token_count,
        text=earlier.text + later.text,
        finish_reason=later.finish_reason,
    )


def _json_bytes(body: Any) -> bytes:
    return json.dumps(body).encode("utf-8")
