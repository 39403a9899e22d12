"""Tests of servers that respond to a long request early and reset the connection.

Guards against a truncated response without a length that counts as a complete one. httpcore ignores
the error of a write, and the read that follows returns the same as after a regular end.
"""

from contextlib import suppress
from itertools import product

import pytest
import testtools

from camphordrift.backend_http import HttpCall, HttpConnections, HttpEngineClient, HttpResponse
from camphordrift.backend_http.tests.faulty_servers import WAYS_TO_SEND, Send, run_client
from camphordrift.backend_servers import GenerationRequest, StreamBrokenError, TokenChunk
from camphordrift.identifiers import BackendServerId, ModelName, RequestId
from camphordrift.platform_http import HttpLogTransport
from camphordrift.platform_log import AppendUnsureError
from camphordrift.testing import UNBUFFERED_BODY, EarlyReset

pytestmark = pytest.mark.sockets

HEAD = b"HTTP/1.1 200 OK\r\n"
UNFRAMED = HEAD + b"\r\n"
INFORMATIONAL = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
WHOLE = b"0123456789"
PART = b"01234"

#: Beginnings of responses.
TRUNCATED = (
    UNFRAMED + PART,
    UNFRAMED,
    INFORMATIONAL + UNFRAMED + PART,
    HEAD + b"content-length: 10\r\n\r\n" + PART,
    HEAD + b"transfer-encoding: chunked\r\n\r\n5\r\n" + PART + b"\r\n",
    HEAD,
    INFORMATIONAL,
    b"",
)


class HttpConnectionsTest(testtools.TestCase):
    def respond(self, send: Send, script: EarlyReset) -> list[HttpResponse]:
        """Returns the response that a way to send a call returns; nothing if it is broken."""
        responses: list[HttpResponse] = []

        async def client(connections: HttpConnections, base_url: str) -> None:
            call = HttpCall("POST", base_url, "/", UNBUFFERED_BODY)
            with suppress(StreamBrokenError):
                responses.append(await send(connections, call))

        run_client(script, client)
        return responses

    def test_a_truncated_response_is_none(self) -> None:
        for send, response in product(WAYS_TO_SEND, TRUNCATED):
            responses = self.respond(send, EarlyReset(response))
            self.assertEqual([], responses, f"{send.__name__} of {response!r}")

    def test_a_complete_response_is_returned(self) -> None:
        complete = (
            EarlyReset(HEAD + b"content-length: 10\r\n\r\n" + WHOLE),
            EarlyReset(UNFRAMED + WHOLE, ends_first=True),
        )
        for send, script in product(WAYS_TO_SEND, complete):
            bodies = [response.body for response in self.respond(send, script)]
            self.assertEqual([WHOLE], bodies, f"{send.__name__} of {script}")


class EngineClientTest(testtools.TestCase):
    def test_a_stream_that_was_truncated_is_broken(self) -> None:
        event = (
            b'data: {"request_id": "r", "attempt": 1, "first_token": 0, "token_count": 1,'
            b' "choices": [{"text": "a", "finish_reason": null}]}\n\n'
        )
        received: list[TokenChunk] = []

        async def check(connections: HttpConnections, base_url: str) -> None:
            client = HttpEngineClient(connections, lambda engine_id: base_url)
            request = GenerationRequest(
                RequestId("r"), 1, ModelName("m"), 1, 1, UNBUFFERED_BODY, options_json=b"{}"
            )
            with testtools.ExpectedException(StreamBrokenError):
                async with client.generate(BackendServerId("engine-1"), request) as chunks:
                    async for chunk in chunks:
                        received.append(chunk)

        run_client(EarlyReset(UNFRAMED + event), check)
        self.assertEqual(["a"], [chunk.text for chunk in received])


class LogTransportTest(testtools.TestCase):
    def test_an_append_whose_response_was_truncated_is_unsure(self) -> None:
        async def check(connections: HttpConnections, base_url: str) -> None:
            transport = HttpLogTransport(connections, base_url)
            with testtools.ExpectedException(AppendUnsureError):
                await transport.append("claims", [UNBUFFERED_BODY])

        run_client(EarlyReset(UNFRAMED + b"\x81\xa6offset\x00"), check)
