"""Measures the CPU time that an entry VM needs to relay the output tokens of a response.

Each event passes through the event splitter, the decoder, the checks of request id, attempt and
token position, the response encoder, the caller's stream and the HTTP/1.1 framing. Sockets and
system calls are not included.
"""

from collections.abc import Sequence
from typing import Any

import h11

from camphordrift.backend_http._engine_wire import decode_chunk, encode_chunk
from camphordrift.backend_http._sse import EventSplitter
from camphordrift.backend_servers import TokenChunk
from camphordrift.experiments._slope_series import Series, SeriesDefinition, cpu_seconds
from camphordrift.experiments._slope_values import generation_body
from camphordrift.gateway._caller_stream import CallerStream
from camphordrift.gateway._openai_bodies import parse_completion
from camphordrift.gateway._output import OutputAssembler
from camphordrift.gateway._response_encoder import ResponseEncoder
from camphordrift.identifiers import RequestId
from camphordrift.testing import run_in_virtual_time

#: Output tokens of a response while the tokens per event vary.
OUTPUT_TOKENS = 960

_BY_TOKENS = SeriesDefinition(
    "relay_cpu_by_tokens",
    "relay one answer, one token in each event and each event written by itself",
    "tokens of the answer",
    "ms CPU per answer",
)
_CHECK_ONLY = SeriesDefinition(
    "relay_check_cpu_by_tokens",
    "the part of the relay before the caller's stream: split, decode, check and format each event",
    "tokens of the answer",
    "ms CPU per answer",
)
_BY_EVENT_SIZE = SeriesDefinition(
    "relay_cpu_by_event_tokens",
    "relay answers of 960 tokens, several tokens in each of the engine's events",
    "tokens in one event",
    "us CPU per event",
)
_COALESCED = SeriesDefinition(
    "relay_cpu_coalesced",
    "relay answers of 960 tokens, one token in each of the engine's events; each event is checked "
    "by itself, and what stands in one read is formatted and written as one event (a trial: the "
    "gateway does not do so yet)",
    "events in one read",
    "us CPU per read",
)
_REQUEST_ID = RequestId("request-1")
_TEXT = " word"


def measure_relay_by_tokens(token_counts: Sequence[int]) -> tuple[Series, ...]:
    """Measures the CPU time to relay a response by its output tokens."""
    return (
        _BY_TOKENS.measure(
            token_counts, lambda count: _relay_cpu_seconds(_encode_events(count, 1)) * 1e3
        ),
        _CHECK_ONLY.measure(
            token_counts, lambda count: _check_cpu_seconds(_encode_events(count, 1)) * 1e3
        ),
    )


def measure_relay_by_event_size(event_sizes: Sequence[int]) -> tuple[Series, ...]:
    """Measures the CPU time to relay an event by its tokens, coalesced by the engine or the VM."""

    def by_engine(size: int) -> float:
        events = _encode_events(OUTPUT_TOKENS, size)
        return _relay_cpu_seconds(events) / len(events) * 1e6

    def by_vm(size: int) -> float:
        reads = _join_events(_encode_events(OUTPUT_TOKENS, 1), size)
        return _relay_cpu_seconds(reads, coalesce=True) / len(reads) * 1e6

    return (
        _BY_EVENT_SIZE.measure(event_sizes, by_engine),
        _COALESCED.measure(event_sizes, by_vm),
    )


class _ResponseRelay:
    """Relays one response from the engine to the caller."""

    def __init__(self, coalesce: bool) -> None:
        self._coalesce = coalesce
        self._h11_connection = _h11_connection()
        self._splitter = EventSplitter()
        self._assembler = OutputAssembler(_REQUEST_ID)
        self._assembler.start_attempt(1)
        body = parse_completion(generation_body(4_000)).unwrap()
        self._encoder = ResponseEncoder(_REQUEST_ID, body, 0)
        self._stream = CallerStream(self._send, {"content-type": "text/event-stream"}, 10.0)

    async def feed(self, data: bytes) -> None:
        """Relays the events in the data of one read."""
        for event in self.check(data):
            await self._stream.write(event)

    def check(self, data: bytes) -> list[bytes]:
        """Checks the events in the data of one read; returns the events for the caller."""
        decoded = (decode_chunk(event) for event in self._splitter.feed(data))
        accepted = [self._assembler.accept(chunk) for chunk in decoded]
        new_chunks = [chunk for chunk in accepted if chunk is not None]
        if self._coalesce:
            new_chunks = [_merge_chunks(new_chunks)]
        return [self._encoder.chunk_event(chunk) for chunk in new_chunks]

    async def _send(self, message: Any) -> None:
        if message["type"] == "http.response.start":
            headers = [*message["headers"], (b"transfer-encoding", b"chunked")]
            self._h11_connection.send(h11.Response(status_code=200, headers=headers))
        else:
            self._h11_connection.send(h11.Data(data=message["body"]))


def _relay_cpu_seconds(reads: Sequence[bytes], coalesce: bool = False) -> float:
    async def relay_all() -> None:
        relay = _ResponseRelay(coalesce)
        for data in reads:
            await relay.feed(data)

    async def make_relay() -> None:
        _ResponseRelay(coalesce)

    # The time to start the event loop is subtracted: a VM has one loop for all responses.
    total = cpu_seconds(lambda: run_in_virtual_time(relay_all))
    return total - cpu_seconds(lambda: run_in_virtual_time(make_relay))


def _check_cpu_seconds(reads: Sequence[bytes]) -> float:
    async def measure() -> float:
        def check_all() -> None:
            relay = _ResponseRelay(coalesce=False)
            for data in reads:
                relay.check(data)

        return cpu_seconds(check_all) - cpu_seconds(lambda: _ResponseRelay(coalesce=False))

    return run_in_virtual_time(measure)


def _encode_events(token_count: int, event_tokens: int) -> list[bytes]:
    return [
        encode_chunk(TokenChunk(_REQUEST_ID, 1, first, event_tokens, _TEXT * event_tokens))
        for first in range(0, token_count, event_tokens)
    ]


def _join_events(events: Sequence[bytes], count: int) -> list[bytes]:
    return [b"".join(events[start : start + count]) for start in range(0, len(events), count)]


def _merge_chunks(chunks: Sequence[TokenChunk]) -> TokenChunk:
    count = sum(chunk.token_count for chunk in chunks)
    text = "".join(chunk.text for chunk in chunks)
    first, last = chunks[0], chunks[-1]
    return TokenChunk(
        first.request_id, first.attempt, first.first_token, count, text, last.finish_reason
    )


def _h11_connection() -> h11.Connection:
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        pass
    return connection
