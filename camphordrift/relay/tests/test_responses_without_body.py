"""Tests of responses that must not have a body: those to HEAD requests, and status 204 and 304."""

from typing import Optional

import h11
import pytest
import testtools
import trio

from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    complete_stream,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import ScriptedServer, attempt_id_of
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets


class Caller:
    """A caller that sends several requests on one connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)

    async def request(self, method: str, path: str, key: str = "key-1") -> tuple[int, bytes]:
        """Sends a request; returns status and body of the complete response."""
        headers = {"host": "a.example", "x-attempt": "a1", "x-key": key, "x-tokens": "5000"}
        head = h11.Request(method=method, target=path, headers=list(headers.items()))
        end = self._protocol.send(head) or b""
        await self._stream.send_all(end + (self._protocol.send(h11.EndOfMessage()) or b""))
        status, body = 0, b""
        while True:
            event = self._protocol.next_event()
            match event:
                case h11.Response():
                    status = event.status_code
                case h11.Data():
                    body += event.data
                case h11.EndOfMessage():
                    if self._protocol.our_state is h11.DONE:
                        self._protocol.start_next_cycle()
                    return status, body
                case h11.ConnectionClosed():
                    raise AssertionError("the connection was closed without a response")
                case _:
                    self._protocol.receive_data(await self._stream.receive_some(65536))


async def connect(relay: RelayHarness) -> Caller:
    return Caller(await relay.connect())


class HeadTest(testtools.TestCase):
    def check(self, path: str, expected: int, key: str = "key-1") -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            caller = await connect(relay)
            self.assertEqual((expected, b""), await caller.request("HEAD", path, key))
            # The connection is still in step.
            status, body = await caller.request("POST", "/nowhere")
            self.assertEqual(404, status)
            self.assertIn(b"error", body)

        run_scenario(scenario, complete_stream)

    def test_refusal_of_an_unknown_path(self) -> None:
        self.check("/nowhere", 404)

    def test_refusal_of_an_unknown_key(self) -> None:
        self.check("/quick/x", 401, "unknown")

    def test_refusal_without_a_server(self) -> None:
        self.check("/book/x", 503)

    def test_metrics(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            stream = await trio.open_tcp_stream(relay.host, relay.metrics_port)
            caller = Caller(stream)
            self.assertEqual((200, b""), await caller.request("HEAD", "/metrics"))
            self.assertIn("relay_ready", await relay.metrics_page())

        run_scenario(scenario, complete_stream)

    def test_response_of_a_server_keeps_its_length(self) -> None:
        async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
            head = f"HTTP/1.1 200 OK\r\nx-signature: s\r\nx-attempt: {attempt_id_of(request)}\r\n"
            await stream.send_all(head.encode() + b"content-length: 5\r\n\r\n")
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            stream = await relay.connect()
            await stream.send_all(
                b"HEAD /look/x HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: key-1\r\n\r\n"
            )
            received = bytes(await stream.receive_some(65536))
            self.assertIn(b"HTTP/1.1 200", received)
            self.assertIn(b"content-length: 5\r\n", received)
            self.assertTrue(received.endswith(b"\r\n\r\n"))

        run_scenario(scenario, answer, service="office")

    def test_stream(self) -> None:
        async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request))
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            caller = await connect(relay)
            self.assertEqual((200, b""), await caller.request("HEAD", "/quick/x"))

        run_scenario(scenario, answer)


class StatusTest(testtools.TestCase):
    def check(self, status: int, method: str = "POST", line: Optional[bytes] = None) -> None:
        async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
            head = b"HTTP/1.1 %d X\r\nx-signature: s\r\n" % status
            attempt = f"x-attempt: {attempt_id_of(request)}\r\n".encode()
            await stream.send_all(head + attempt + (line or b"") + b"\r\n")
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            caller = await connect(relay)
            self.assertEqual((status, b""), await caller.request(method, "/look/x"))
            self.assertEqual(404, (await caller.request("POST", "/nowhere"))[0])

        run_scenario(scenario, answer, service="office")

    def test_status_204(self) -> None:
        self.check(204)

    def test_status_304(self) -> None:
        self.check(304, "GET", b"content-length: 5\r\n")


class LengthTest(testtools.TestCase):
    def lengths(self, method: str, server_head: str) -> list[bytes]:
        """Returns the lengths that a caller is told if a server sends only the given head."""
        lengths: list[bytes] = []

        async def answer(request: HttpRequest, stream: trio.SocketStream) -> bool:
            attempt = f"x-signature: s\r\nx-attempt: {attempt_id_of(request)}\r\n\r\n"
            await stream.send_all(f"HTTP/1.1 {server_head}\r\n{attempt}".encode())
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            stream = await relay.connect()
            head = f"{method} /look/x HTTP/1.1\r\nhost: a.example\r\nx-attempt: a1\r\nx-key: key-1"
            await stream.send_all(f"{head}\r\nconnection: close\r\n\r\n".encode())
            protocol = h11.Connection(h11.CLIENT)
            protocol.send(h11.Request(method=method, target="/look/x", headers=[("host", "a")]))
            protocol.receive_data(b"".join([bytes(part) async for part in stream]))
            response = protocol.next_event()
            assert isinstance(response, h11.Response)
            self.assertEqual(int(server_head[:3]), response.status_code)
            lengths.extend(value for name, value in response.headers if name == b"content-length")

        run_scenario(scenario, answer, service="office")
        return lengths

    # The length of a 204 was forwarded, and others were told a length of 0.
    def test_a_response_without_body_states_no_length_that_its_server_did_not(self) -> None:
        chunked = "200 OK\r\ntransfer-encoding: chunked"
        cases: tuple[tuple[str, str, list[bytes]], ...] = (
            ("POST", "204 No Content\r\ncontent-length: 5", []),
            ("HEAD", "204 No Content\r\ncontent-length: 5", []),
            ("POST", "204 No Content", []),
            ("GET", "304 Not Modified", []),
            ("GET", "304 Not Modified\r\ncontent-length: 5", [b"5"]),
            ("HEAD", chunked, []),
            ("HEAD", "200 OK", []),
            ("HEAD", "200 OK\r\ncontent-length: 5", [b"5"]),
            ("HEAD", "200 OK\r\ncontent-length: 0", [b"0"]),
        )
        told = [(method, head, self.lengths(method, head)) for method, head, _ in cases]
        self.assertEqual(list(cases), told)
