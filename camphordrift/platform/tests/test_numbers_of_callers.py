"""Tests of numbers in callers' requests that are malformed or beyond their bounds."""

import json
import math
from dataclasses import replace

import pytest
import testtools
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.platform import PlatformHeaders
from camphordrift.relay import Adapters
from camphordrift.relay.tests import relay_harness
from camphordrift.relay.tests.relay_harness import chunk, events, open_relay, read_response
from camphordrift.relay.tests.samples import (
    InMemoryLog,
    SampleDocuments,
    ScriptedServer,
    adapters,
    server,
)
from camphordrift.testing import HttpRequest

#: Headers of callers that state numbers, without their common beginning, and malformed values.
BAD_NUMBERS: dict[str, tuple[str, ...]] = {
    "deadline-ms": (
        *("nan", "inf", "-inf", "-1", "1e400", "1e3", "+5", "1_000", "", "soon", "0x10"),
        *("1" * 400, "9" * 5000, "9007199254740994"),
    ),
    "token-count": (
        *("-1,80", "1460,-80", "1e3,80", "1_000,80", "nan,80", ",80", "1,2,3", "1460;80"),
        *("1" * 400 + ",80", "1460," + "9" * 5000),
    ),
    "length-hint": ("-1", "nan", "1e3", "9" * 17, "9" * 5000),
    "prompt-prefix": ("a:-1,b:1", "a:" + "9" * 5000 + ",b:1", "a:1,b:" + "1" * 17, "a:1_0,b:1"),
}


def platform_adapters(log: InMemoryLog, documents: SampleDocuments) -> Adapters:
    """Returns the adapters of the tests, with the platform's headers."""
    return replace(adapters(log, documents), headers=PlatformHeaders())


def request_with(name: str, value: str) -> bytes:
    """Returns the bytes of a request with one more header."""
    return (
        "POST /quick/x HTTP/1.1\r\nhost: a.example\r\ncamphordrift-attempt-id: a1\r\n"
        f"camphordrift-credential: key-1\r\n{name}: {value}\r\ncontent-length: 0\r\n\r\n"
    ).encode("latin-1")


async def platform_stream(request: HttpRequest, stream: trio.SocketStream) -> bool:
    """Responds with a complete stream of five events."""
    head = (
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
        "camphordrift-engine-signature: s\r\n"
        f"camphordrift-attempt-id: {request.headers['camphordrift-attempt-id']}\r\n\r\n"
    )
    await stream.send_all(head.encode() + chunk(events(1, 5)) + b"0\r\n\r\n")
    return True


class RequestMetadataTest(testtools.TestCase):
    def test_bad_numbers_raise_value_error(self) -> None:
        # Guards against numbers that a later calculation does not take, such as NaN.
        for name, values in BAD_NUMBERS.items():
            for value in values:
                headers = [(b"camphordrift-" + name.encode(), value.encode())]
                try:
                    metadata = PlatformHeaders().request_metadata(headers)
                except ValueError:
                    continue
                self.fail(f"{name}: {value[:30]!r} is taken for {metadata}")

    @settings(derandomize=True, max_examples=300)
    @given(
        st.dictionaries(
            st.sampled_from([f"camphordrift-{name}" for name in BAD_NUMBERS] + ["last-event-id"]),
            st.one_of(
                st.binary(max_size=20),
                st.from_regex(rb"[-+]?[0-9]{1,400}([.,:eE_][-+]?[0-9]{1,20}){0,3}", fullmatch=True),
                st.integers().map(lambda number: b"%d" % number),
                st.integers(1, 5000).map(lambda length: b"9" * length),
                st.floats().map(lambda number: str(number).encode()),
            ),
        )
    )
    def test_any_headers_are_rejected_or_state_usable_numbers(
        self, values: dict[str, bytes]
    ) -> None:
        headers = [(name.encode(), value) for name, value in values.items()]
        try:
            metadata = PlatformHeaders().request_metadata(headers)
        except ValueError as error:
            self.assertTrue(len(str(error)) < 300)
            return
        timeout = 0.0 if metadata.caller_timeout is None else metadata.caller_timeout
        self.assertTrue(math.isfinite(timeout) and timeout >= 0)
        for tokens in (
            metadata.prompt_tokens,
            metadata.max_output_tokens,
            metadata.estimated_output_tokens,
        ):
            self.assertTrue(0 <= tokens <= 2**53)


@pytest.mark.sockets
class RelayTest(testtools.TestCase):
    def test_a_bad_number_is_answered_and_the_connection_serves_the_next_request(self) -> None:
        # Guards against an exception that closes the connection without an answer.
        async def main() -> None:
            sound = ScriptedServer(server(0, port=0), platform_stream)
            async with open_relay([sound]) as relay:
                stream = await relay.connect()
                for name, values in BAD_NUMBERS.items():
                    for value in values:
                        header = f"camphordrift-{name}"
                        await stream.send_all(request_with(header, value))
                        response = await read_response(stream)
                        self.assertEqual(400, response.status, f"{header}: {value[:30]}")
                        self.assertEqual(1002, json.loads(response.body)["error"]["code"])
                await stream.send_all(request_with("camphordrift-deadline-ms", "5000"))
                response = await read_response(stream)
                self.assertEqual((200, events(1, 5)), (response.status, response.body))

        self.patch(relay_harness, "adapters", platform_adapters)
        trio.run(main)

    def test_numbers_at_their_bounds_are_served_or_refused(self) -> None:
        # Guards against calculations that overflow with the largest numbers.
        async def main() -> None:
            sound = ScriptedServer(server(0, port=0), platform_stream)
            async with open_relay([sound]) as relay:
                stream = await relay.connect()
                for header, value, status in (
                    ("camphordrift-deadline-ms", str(2**53), 200),
                    ("camphordrift-deadline-ms", "5000.5", 200),
                    ("camphordrift-deadline-ms", "0", 503),
                    ("camphordrift-length-hint", str(2**53), 413),
                    ("camphordrift-token-count", f"{2**53},{2**53}", 413),
                    ("camphordrift-token-count", "1460,80", 200),
                ):
                    await stream.send_all(request_with(header, value))
                    response = await read_response(stream)
                    self.assertEqual(status, response.status, f"{header}: {value}")

        self.patch(relay_harness, "adapters", platform_adapters)
        trio.run(main)

    def test_any_id_of_a_last_event_is_served(self) -> None:
        # Guards against an internal error for an id that is no number, or a very long one.
        async def main() -> None:
            sound = ScriptedServer(server(0, port=0), platform_stream)
            async with open_relay([sound]) as relay:
                stream = await relay.connect()
                for value in ("9" * 5000, "-1", "x", str(2**70)):
                    await stream.send_all(request_with("last-event-id", value))
                    response = await read_response(stream)
                    self.assertEqual((200, events(1, 5)), (response.status, response.body))

        self.patch(relay_harness, "adapters", platform_adapters)
        trio.run(main)
