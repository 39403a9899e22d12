"""Tests of numbers in servers' responses that are malformed or beyond their bounds."""

import json
import math

import pytest
import testtools
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.platform import PlatformHeaders
from camphordrift.platform.tests.test_numbers_of_callers import platform_adapters, request_with
from camphordrift.relay.tests import relay_harness
from camphordrift.relay.tests.relay_harness import open_relay, read_response
from camphordrift.relay.tests.samples import ScriptedServer, server
from camphordrift.testing import HttpRequest

#: Values that no number of a server may have.
BAD_NUMBERS = ("1" * 400, "9" * 5000, "9" * 60_000, "-1", "nan", "inf", "1e400", "1_0", "soon", "")

#: Headers of servers that state numbers, with what is before the number.
NUMBER_HEADERS = {
    "retry-after": "",
    "server-limit": "",
    "camphordrift-cold-ms": "",
    "keep-alive": "timeout=",
}


class ResponseMetadataTest(testtools.TestCase):
    def test_bad_numbers_count_as_not_stated(self) -> None:
        # Guards against infinite times and rates.
        for name, prefix in NUMBER_HEADERS.items():
            for value in BAD_NUMBERS:
                headers = [(name.encode(), (prefix + value).encode())]
                metadata = PlatformHeaders().response_metadata(headers)
                stated = (
                    metadata.retry_after,
                    metadata.request_limit,
                    metadata.cold_left,
                    metadata.idle_timeout,
                )
                self.assertEqual((None,) * 4, stated, f"{name}: {value[:30]}")
                (unreadable,) = metadata.unreadable
                self.assertEqual(name, unreadable.name)
                self.assertTrue(len(unreadable.value) <= 100)

    def test_numbers_at_their_bounds_are_read(self) -> None:
        metadata = PlatformHeaders().response_metadata(
            [
                (b"retry-after", b"31622400"),
                (b"server-limit", b"1000000000.0"),
                (b"camphordrift-cold-ms", b"86400000"),
                (b"keep-alive", b"timeout=86400, max=100"),
            ]
        )
        self.assertEqual((31622400.0, 1e9), (metadata.retry_after, metadata.request_limit))
        self.assertEqual((86400.0, 86400.0), (metadata.cold_left, metadata.idle_timeout))
        self.assertEqual((), metadata.unreadable)

    @settings(derandomize=True, max_examples=300)
    @given(
        st.dictionaries(
            st.sampled_from(sorted(NUMBER_HEADERS)),
            st.one_of(
                st.binary(max_size=20),
                st.from_regex(rb"(timeout=)?[0-9]{1,20}(\.[0-9]{0,20})?", fullmatch=True),
                st.integers(1, 5000).map(lambda length: b"9" * length),
                st.floats().map(lambda number: str(number).encode()),
            ),
        )
    )
    def test_any_headers_state_usable_numbers_or_none(self, values: dict[str, bytes]) -> None:
        headers = [(name.encode(), value) for name, value in values.items()]
        metadata = PlatformHeaders().response_metadata(headers)
        for number in (
            metadata.retry_after,
            metadata.request_limit,
            metadata.cold_left,
            metadata.idle_timeout,
        ):
            self.assertTrue(number is None or (math.isfinite(number) and number >= 0))


@pytest.mark.sockets
class RelayTest(testtools.TestCase):
    def test_callers_are_answered_whatever_numbers_a_server_states(self) -> None:
        # Guards against an OverflowError while a request is refused, which closes its connection.
        stated: list[tuple[str, str]] = []

        async def rejects(request: HttpRequest, stream: trio.SocketStream) -> bool:
            name, value = stated[-1]
            head = (
                "HTTP/1.1 503 Busy\r\ncamphordrift-not-executed: 1\r\ncontent-length: 0\r\n"
                f"camphordrift-attempt-id: {request.headers['camphordrift-attempt-id']}\r\n"
                f"{name}: {value}\r\n\r\n"
            )
            await stream.send_all(head.encode())
            return True

        async def main() -> None:
            only = ScriptedServer(server(0, "office", port=0), rejects)
            async with open_relay([only]) as relay:
                stream = await relay.connect()
                for name, prefix in NUMBER_HEADERS.items():
                    for value in BAD_NUMBERS:
                        stated.append((name, prefix + value))
                        count = len(only.requests)
                        request = request_with("x-other", "1").replace(b"/quick/", b"/book/")
                        await stream.send_all(request)
                        response = await read_response(stream)
                        self.assertEqual(503, response.status, f"{name}: {value[:30]}")
                        self.assertEqual(2007, json.loads(response.body)["error"]["code"])
                        # A pause or a limit of the server would keep the request from it.
                        self.assertEqual(count + 1, len(only.requests), f"{name}: {value[:30]}")

        self.patch(relay_harness, "adapters", platform_adapters)
        trio.run(main)
