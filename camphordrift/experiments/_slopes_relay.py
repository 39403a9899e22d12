"""Measures what relaying the tokens of an answer costs the entry VM's processor.

Each event passes through the splitter, the decoder, the checks of its identity and place, the
formatter, the caller's stream and the framing of HTTP/1.1; sockets and their system calls are not
part of it.
"""

from collections.abc import Sequence
from typing import Any

import h11

from camphordrift.backend_http._engine_wire import decode_chunk, encode_chunk
from camphordrift.backend_http._sse import EventSplitter
from camphordrift.backend_servers import TokenChunk
from camphordrift.experiments._slope_series import Series, SeriesKind, cpu_seconds
from camphordrift.experiments._slope_values import generation_body
from camphordrift.gateway._caller_stream import CallerStream
from camphordrift.gateway._openai_bodies import parse_completion
from camphordrift.gateway._output import OutputAssembler
from camphordrift.gateway._response_encoder import ResponseEncoder
from camphordrift.identifiers import RequestId
from camphordrift.testing import run_in_virtual_time

#: Tokens of an answer while the tokens of one event vary.
ANSWER_TOKENS = 960

_BY_TOKENS = SeriesKind(
    "relay_cpu_by_tokens",
    "relay one answer, one token in each event and each event written by itself",
    "tokens of the answer",
    "ms CPU per answer",
)
_CHECKED_ONLY = SeriesKind(
    "relay_check_cpu_by_tokens",
    "the part of the relay before the caller's stream: split, decode, check and format each event",
    "tokens of the answer",
    "ms CPU per answer",
)
_BY_EVENT_SIZE = SeriesKind(
    "relay_cpu_by_event_tokens",
    "relay answers of 960 tokens, several tokens in each of the engine's events",
    "tokens in one event",
    "us CPU per event",
)
_COALESCED = SeriesKind(
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
    """Measures the relay by the length of the answer."""
    return (
        _BY_TOKENS.measured(token_counts, lambda count: _relay_seconds(_events(count, 1)) * 1e3),
        _CHECKED_ONLY.measured(token_counts, lambda count: _check_seconds(_events(count, 1)) * 1e3),
    )


def measure_relay_by_event_size(event_sizes: Sequence[int]) -> tuple[Series, ...]:
    """Measures the relay by the tokens in one event, coalesced by the engine or by the VM."""

    def by_engine(size: int) -> float:
        events = _events(ANSWER_TOKENS, size)
        return _relay_seconds(events) / len(events) * 1e6

    def by_vm(size: int) -> float:
        reads = _joined(_events(ANSWER_TOKENS, 1), size)
        return _relay_seconds(reads, coalesce=True) / len(reads) * 1e6

    return (
        _BY_EVENT_SIZE.measured(event_sizes, by_engine),
        _COALESCED.measured(event_sizes, by_vm),
    )


class _Relay:
    """One answer on its way from the engine to the caller."""

    def __init__(self, coalesce: bool) -> None:
        self._coalesce = coalesce
        self._connection = _connection()
        self._splitter = EventSplitter()
        self._assembler = OutputAssembler(_REQUEST_ID)
        self._assembler.start_attempt(1)
        body = parse_completion(generation_body(4_000)).unwrap()
        self._format = ResponseEncoder(_REQUEST_ID, body, 0)
        self._stream = CallerStream(self._send, {"content-type": "text/event-stream"}, 10.0)

    async def feed(self, data: bytes) -> None:
        """Relays what one read has brought."""
        for event in self.check(data):
            await self._stream.write(event)

    def check(self, data: bytes) -> list[bytes]:
        """Returns the caller's events for what one read has brought."""
        decoded = (decode_chunk(event) for event in self._splitter.feed(data))
        accepted = [self._assembler.accept(chunk) for chunk in decoded]
        fresh = [chunk for chunk in accepted if chunk is not None]
        if self._coalesce:
            fresh = [_merged(fresh)]
        return [self._format.chunk_event(chunk) for chunk in fresh]

    async def _send(self, message: Any) -> None:
        if message["type"] == "http.response.start":
            headers = [*message["headers"], (b"transfer-encoding", b"chunked")]
            self._connection.send(h11.Response(status_code=200, headers=headers))
        else:
            self._connection.send(h11.Data(data=message["body"]))


def _relay_seconds(reads: Sequence[bytes], coalesce: bool = False) -> float:
    async def relay_all() -> None:
        relay = _Relay(coalesce)
        for data in reads:
            await relay.feed(data)

    async def make_relay() -> None:
        _Relay(coalesce)

    # The loop's own start is taken off, since a VM has one loop for all answers.
    whole = cpu_seconds(lambda: run_in_virtual_time(relay_all))
    return whole - cpu_seconds(lambda: run_in_virtual_time(make_relay))


def _check_seconds(reads: Sequence[bytes]) -> float:
    async def measure() -> float:
        def check_all() -> None:
            relay = _Relay(coalesce=False)
            for data in reads:
                relay.check(data)

        return cpu_seconds(check_all) - cpu_seconds(lambda: _Relay(coalesce=False))

    return run_in_virtual_time(measure)


def _events(token_count: int, event_tokens: int) -> list[bytes]:
    return [
        encode_chunk(TokenChunk(_REQUEST_ID, 1, first, event_tokens, _TEXT * event_tokens))
        for first in range(0, token_count, event_tokens)
    ]


def _joined(events: Sequence[bytes], count: int) -> list[bytes]:
    return [b"".join(events[start : start + count]) for start in range(0, len(events), count)]


def _merged(chunks: Sequence[TokenChunk]) -> TokenChunk:
    count = sum(chunk.token_count for chunk in chunks)
    text = "".join(chunk.text for chunk in chunks)
    first, last = chunks[0], chunks[-1]
    return TokenChunk(
        first.request_id, first.attempt, first.first_token, count, text, last.finish_reason
    )


def _connection() -> h11.Connection:
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n")
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        pass
    return connection
