"""The HTTP interface of the stand-in engines: one application for each engine."""

from collections.abc import AsyncIterator
from typing import Any

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from camphordrift.backend_http import (
    decode_generation,
    decode_hold,
    decode_order,
    decode_part,
    encode_cache_events,
    encode_chunk,
    encode_hold,
    encode_load,
    encode_order_reply,
)
from camphordrift.backend_servers import (
    BackendRefusedError,
    BackendUnreachableError,
    GenerationRequest,
    StreamBrokenError,
    TokenChunk,
)
from camphordrift.identifiers import BackendServerId, HoldId, RequestId
from camphordrift.standins._engines import InMemoryEngines

#: Seconds between two keepalives that an engine sends on an open response.
KEEP_ALIVE_SECONDS = 1.0

_KEEP_ALIVE = b": prefilling\n\n"


class _GenerationResponse:
    """Streams the output of one attempt while the engine generates it."""

    def __init__(
        self, engines: InMemoryEngines, engine_id: BackendServerId, request: GenerationRequest
    ) -> None:
        self._engines = engines
        self._engine_id = engine_id
        self._request = request
        self._lock = trio.Lock()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Sends the response; cancels the attempt if the caller disconnects."""
        async with self._engines.generate(self._engine_id, self._request) as chunks:
            await self._write_response(chunks, receive, send)

    async def _write_response(
        self, chunks: AsyncIterator[TokenChunk], receive: Receive, send: Send
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            await _start_stream(send)
            nursery.start_soon(self._keep_alive, send)
            if await self._write_chunks(chunks, send):
                await self._write(send, b"data: [DONE]\n\n")
                await send({"type": "http.response.body", "body": b"", "more_body": False})
            nursery.cancel_scope.cancel()

    async def _write_chunks(self, chunks: AsyncIterator[TokenChunk], send: Send) -> bool:
        """Sends the chunks; returns whether the output is complete.

        If it is not, the response ends truncated.
        """
        try:
            async for chunk in chunks:
                await self._write(send, encode_chunk(chunk))
        except StreamBrokenError:
            return False
        return True

    async def _keep_alive(self, send: Send) -> None:
        while True:
            await trio.sleep(KEEP_ALIVE_SECONDS)
            if not self._engines.is_frozen(self._engine_id):
                await self._write(send, _KEEP_ALIVE)

    async def _write(self, send: Send, data: bytes) -> None:
        async with self._lock:
            await send({"type": "http.response.body", "body": data, "more_body": True})


async def _start_stream(send: Send) -> None:
    headers = [(b"content-type", b"text/event-stream")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})


async def _cancel_on_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


class EngineEndpoints:
    """The HTTP endpoints of one stand-in engine."""

    def __init__(self, engines: InMemoryEngines, engine_id: BackendServerId) -> None:
        self._engines = engines
        self._engine_id = engine_id

    async def generate(self, request: Request) -> Any:
        """Handles a completion or chat request."""
        body = decode_generation(await request.json())
        return _GenerationResponse(self._engines, self._engine_id, body)

    async def prefill(self, request: Request) -> Response:
        """Prefills one part of a prompt under its hold."""
        body = await request.json()
        part = decode_part(body["part"])
        generation_request = decode_generation(body["request"])

        async def keep_alive_until_done() -> AsyncIterator[bytes]:
            # JSON allows white space before the document, which serves as a keepalive.
            done = trio.Event()

            async def prefill() -> None:
                await self._engines.prefill_part(part, generation_request)
                done.set()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(prefill)
                while not done.is_set():
                    with trio.move_on_after(KEEP_ALIVE_SECONDS):
                        await done.wait()
                    yield b" "
            yield b"{}"

        return StreamingResponse(keep_alive_until_done(), media_type="application/json")

    async def cancel(self, request: Request) -> Response:
        """Cancels all jobs of a request."""
        body = await request.json()
        await self._engines.cancel(self._engine_id, RequestId(body["request_id"]))
        return JSONResponse({})

    async def load(self, request: Request) -> Response:
        """Returns the latest load report."""
        return JSONResponse(encode_load(await self._engines.read_load(self._engine_id)))

    async def cache_events(self, request: Request) -> Response:
        """Returns the cache events after the sequence number ``after``."""
        after = int(request.query_params.get("after", "0"))
        batch = await self._engines.read_cache_events(self._engine_id, after)
        return JSONResponse(encode_cache_events(batch))

    async def list_holds(self, request: Request) -> Response:
        """Returns all holds of the engine."""
        holds = await self._engines.list_holds(self._engine_id)
        return JSONResponse({"holds": [encode_hold(hold) for hold in holds]})

    async def place_hold(self, request: Request) -> Response:
        """Places or renews a hold."""
        await self._engines.place_hold(self._engine_id, decode_hold(await request.json()))
        return JSONResponse({})

    async def release_hold(self, request: Request) -> Response:
        """Releases a hold; an unknown hold is ignored."""
        body = await request.json()
        await self._engines.release_hold(self._engine_id, HoldId(body["hold_id"]))
        return JSONResponse({})

    async def order(self, request: Request) -> Response:
        """Executes an order; rejects it if its fencing number is checked and outdated."""
        order = decode_order(await request.json())
        return JSONResponse(
            encode_order_reply(await self._engines.send_order(self._engine_id, order))
        )


def engine_app(engines: InMemoryEngines, engine_id: BackendServerId) -> Starlette:
    """Returns the application of one stand-in engine."""
    endpoints = EngineEndpoints(engines, engine_id)
    return Starlette(
        routes=[
            Route("/v1/completions", endpoints.generate, methods=["POST"]),
            Route("/v1/chat/completions", endpoints.generate, methods=["POST"]),
            Route("/kv/prefill", endpoints.prefill, methods=["POST"]),
            Route("/cancel", endpoints.cancel, methods=["POST"]),
            Route("/load", endpoints.load, methods=["GET"]),
            Route("/cache_events", endpoints.cache_events, methods=["GET"]),
            Route("/holds", endpoints.list_holds, methods=["GET"]),
            Route("/holds", endpoints.place_hold, methods=["POST"]),
            Route("/holds/release", endpoints.release_hold, methods=["POST"]),
            Route("/orders", endpoints.order, methods=["POST"]),
        ],
        exception_handlers={
            BackendRefusedError: _refused_response,
            BackendUnreachableError: _unreachable_response,
            ValueError: _malformed_response,
            KeyError: _malformed_response,
        },
    )


async def _refused_response(request: Request, error: Exception) -> Response:
    assert isinstance(error, BackendRefusedError)
    headers = {"x-not-run": "1" if error.not_run else "0"}
    return JSONResponse({"error": str(error)}, status_code=error.status, headers=headers)


async def _unreachable_response(request: Request, error: Exception) -> Response:
    return JSONResponse({"error": str(error)}, status_code=503, headers={"x-not-run": "1"})


async def _malformed_response(request: Request, error: Exception) -> Response:
    return JSONResponse({"error": repr(error)}, status_code=400, headers={"x-not-run": "1"})
