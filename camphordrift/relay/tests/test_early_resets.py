"""Tests of servers that respond to a long request early and reset the connection.

Guards against a truncated response without a length that callers get as a complete one. The kernel
reports a reset to one call only. If that is a write of the request's body, the next read returns
the same as after a regular end.
"""

import errno
import os
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Optional, cast

import pytest
import testtools
import trio

from camphordrift.relay import Route
from camphordrift.relay.connections import (
    ByteStream,
    ConnectionPool,
    OpenStream,
    PathBrokenError,
    _connection_pool,
    connect,
)
from camphordrift.relay.connections._byte_stream import SocketByteStream
from camphordrift.relay.connections._http_client import HttpConnection, SmallRequest
from camphordrift.relay.model import Address
from camphordrift.relay.peers._tunnels import open_tunnel
from camphordrift.relay.requests._attempt import Answered, AttemptResult, Broken, Rejected
from camphordrift.relay.tests.cut_responses import RecordingSink, run_attempt_on
from camphordrift.relay.tests.relay_harness import (
    CallerResponse,
    chunk,
    events,
    open_relay,
)
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    ONCE,
    REPEATABLE,
    STREAM,
    ScriptedServer,
    server,
)
from camphordrift.relay.tests.test_cut_responses import INFORMATIONAL
from camphordrift.relay.tests.test_tunnels import TIMEOUT, Network, run
from camphordrift.testing import (
    UNBUFFERED_BODY,
    EarlyReset,
    HttpRequest,
    HttpRequestHandler,
)

#: Seconds after which a client that waits for a failed write counts as hanging.
HANG_TIMEOUT = 10.0

WHOLE = events(1, 9)
PART = events(1, 4)

HEAD = b"HTTP/1.1 200 OK\r\nx-signature: s\r\nx-attempt: a1\r\ncontent-type: text/event-stream\r\n"
UNFRAMED = HEAD + b"\r\n"
WITH_LENGTH = HEAD + b"content-length: %d\r\n\r\n" % len(WHOLE)
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nx-attempt: a1\r\n\r\n"


class WriteFirst(ByteStream):
    """A connection whose reads wait while a write is in progress, which gets any error first."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._may_read = trio.Event()
        self._may_read.set()

    async def send_all(self, data: bytes) -> None:
        """Sends data."""
        self._may_read = trio.Event()
        try:
            await self._stream.send_all(data)
        finally:
            self._may_read.set()

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Returns the next data."""
        await self._may_read.wait()
        return await self._stream.receive_some(max_bytes)

    def is_readable(self) -> bool:
        """Returns whether data or the end of the stream has arrived."""
        return self._stream.is_readable()

    def abort(self) -> None:
        """Closes the connection with a reset."""
        self._stream.abort()


class FailedWriteFirst(WriteFirst):
    """A connection whose reads wait until a write has failed."""

    def __init__(self, stream: ByteStream) -> None:
        super().__init__(stream)
        self._may_read = trio.Event()

    async def send_all(self, data: bytes) -> None:
        """Sends data."""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, PathBrokenError):
            self._may_read.set()
            raise


async def open_failing(host: str, port: int, timeout: float) -> ByteStream:
    """Opens a connection on which a write gets the error of a reset."""
    return FailedWriteFirst(SocketByteStream(await connect(host, port, timeout)))


def attempt(script: EarlyReset, sink: Optional[RecordingSink] = None) -> AttemptResult:
    """Runs an attempt of a long request on a server."""

    def opener(network: Network) -> OpenStream:
        async def open_stream(host: str, port: int, timeout: float) -> ByteStream:
            return await open_failing(network.server.host, network.server.port, timeout)

        return open_stream

    return _run_attempt(script, sink, opener)


def attempt_through_other_vm(
    script: EarlyReset, sink: Optional[RecordingSink] = None
) -> AttemptResult:
    """Runs an attempt of a long request on a server, through another VM."""

    def opener(network: Network) -> OpenStream:
        async def connect_server(address: Address, timeout: float) -> ByteStream:
            return await open_failing(address.host, address.port, timeout)

        async def open_stream(host: str, port: int, timeout: float) -> ByteStream:
            return await open_tunnel(network.vm, network.server, TIMEOUT)

        network.tunnels._connect_directly = connect_server
        return open_stream

    return _run_attempt(script, sink, opener)


def _run_attempt(
    script: EarlyReset, sink: Optional[RecordingSink], opener: Callable[[Network], OpenStream]
) -> AttemptResult:
    results: list[AttemptResult] = []

    async def scenario(network: Network) -> None:
        connections = ConnectionPool(1.0, opener(network))
        results.append(await run_attempt_on(connections, sink, body=UNBUFFERED_BODY))

    run(script, scenario, HANG_TIMEOUT)
    return results[0]


@pytest.mark.sockets
class AttemptTest(testtools.TestCase):
    def check_broken(self, response: bytes) -> None:
        """Checks that part of a response is no complete one, whole or as a stream."""
        for send in (attempt, attempt_through_other_vm):
            result = send(EarlyReset(response))
            self.assertIsInstance(result, Broken, f"{send.__name__}: {result}")
            sink = RecordingSink()
            result = send(EarlyReset(response), sink)
            self.assertIsInstance(result, Broken, f"{send.__name__}: {result}")
            self.assertFalse(sink.has_ended)
            self.assertTrue(WHOLE.startswith(sink.content))

    def test_without_length(self) -> None:
        self.check_broken(UNFRAMED + PART)

    def test_without_length_after_informational_responses(self) -> None:
        self.check_broken(INFORMATIONAL + UNFRAMED + PART)

    def test_without_any_body(self) -> None:
        self.check_broken(UNFRAMED)

    def test_with_length(self) -> None:
        self.check_broken(WITH_LENGTH + PART)

    def test_in_chunks(self) -> None:
        self.check_broken(CHUNKED + chunk(PART))

    def test_part_of_a_head(self) -> None:
        self.check_broken(HEAD)

    def test_a_rejection_without_length_promises_nothing(self) -> None:
        for send in (attempt, attempt_through_other_vm):
            self.assertIsInstance(send(EarlyReset(REJECTION + b"fu")), Broken)

    def test_complete_responses_are_passed_on(self) -> None:
        for response in (WITH_LENGTH + WHOLE, CHUNKED + chunk(WHOLE) + b"0\r\n\r\n"):
            for send in (attempt, attempt_through_other_vm):
                result = send(EarlyReset(response))
                assert isinstance(result, Answered), result
                self.assertEqual(WHOLE, result.body)

    def test_a_complete_rejection_is_one(self) -> None:
        response = REJECTION.replace(b"\r\n\r\n", b"\r\ncontent-length: 2\r\n\r\nno")
        for send in (attempt, attempt_through_other_vm):
            self.assertIsInstance(send(EarlyReset(response)), Rejected)

    def test_a_response_that_ended_before_the_reset_is_complete(self) -> None:
        """The server ends its response regularly, and resets what still arrives of the request."""
        for send in (attempt, attempt_through_other_vm):
            result = send(EarlyReset(UNFRAMED + WHOLE, ends_first=True))
            assert isinstance(result, Answered), result
            self.assertEqual(WHOLE, result.body)


@pytest.mark.sockets
class SmallRequestTest(testtools.TestCase):
    def test_part_of_a_response_to_an_order_or_a_call_of_the_store(self) -> None:
        async def exchange(network: Network) -> None:
            stream = await open_failing(network.server.host, network.server.port, TIMEOUT)
            request = SmallRequest(b"POST", b"/order", [(b"host", b"a")], UNBUFFERED_BODY)
            try:
                response = await HttpConnection(stream).exchange(request)
            except OSError:
                return
            self.fail(f"{response}")

        run(EarlyReset(UNFRAMED + PART), exchange, HANG_TIMEOUT)


class BrokenSocket:
    """A socket on which a write fails, and the next read returns nothing."""

    def __init__(self, error: int) -> None:
        self._error = error

    async def send_all(self, data: bytes) -> None:
        """Fails as trio's sockets do."""
        await trio.lowlevel.checkpoint()
        cause = OSError(self._error, os.strerror(self._error))
        raise trio.BrokenResourceError from cause

    async def receive_some(self, max_bytes: Optional[int] = None) -> bytes:
        """Returns nothing, as the error was reported already."""
        await trio.lowlevel.checkpoint()
        return b""


class SocketTest(testtools.TestCase):
    def receive_after_failed_write(self, error: int) -> bytes:
        async def main() -> bytes:
            stream = SocketByteStream(cast(Any, BrokenSocket(error)))
            for _ in range(2):
                try:
                    await stream.send_all(b"x")
                except (trio.BrokenResourceError, PathBrokenError):
                    continue
            return await stream.receive_some()

        return trio.run(main)

    def test_a_reset(self) -> None:
        self.assertRaises(
            trio.BrokenResourceError, self.receive_after_failed_write, errno.ECONNRESET
        )

    def test_a_peer_that_does_not_respond_any_more(self) -> None:
        for error in (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH):
            self.assertRaises(PathBrokenError, self.receive_after_failed_write, error)

    def test_a_reset_after_the_regular_end(self) -> None:
        self.assertEqual(b"", self.receive_after_failed_write(errno.EPIPE))


class ResettingServer(ScriptedServer):
    """Resets the connection of the first request while its body is being written."""

    def __init__(self, script: HttpRequestHandler) -> None:
        super().__init__(server(0, "office", port=0), script)
        self.has_reset = False

    async def _serve(self, stream: trio.SocketStream) -> None:
        if self.has_reset:
            await super()._serve(stream)
            return
        self.has_reset = await EarlyReset(UNFRAMED + PART).serve(stream)


@pytest.mark.sockets
class CallerTest(testtools.TestCase):
    def send(self, route: Route) -> CallerResponse:
        """Returns what a caller gets if the first of two servers resets its connection."""
        self.patch(
            _connection_pool,
            "SocketByteStream",
            lambda stream: WriteFirst(SocketByteStream(stream)),
        )
        response: Optional[CallerResponse] = None
        resetting = ResettingServer(_respond)
        servers = [resetting, ScriptedServer(server(1, "office", port=0), _respond)]
        route = replace(route, shares=ONCE.shares)

        async def main() -> None:
            nonlocal response
            async with open_relay(servers, replace(CONFIGURATION, routes=(route,))) as relay:
                # Which server gets a request first is not determined.
                while not resetting.has_reset:
                    response = await relay.send_request(
                        f"{route.path_prefix}x", "a1", UNBUFFERED_BODY
                    )

        trio.run(main)
        assert response is not None
        return response

    def test_a_request_that_runs_once_fails(self) -> None:
        response = self.send(ONCE)
        self.assertEqual((502, True), (response.status, response.complete))

    def test_a_repeatable_request_gets_the_response_of_the_other_server(self) -> None:
        response = self.send(REPEATABLE)
        self.assertEqual((200, WHOLE, True), (response.status, response.body, response.complete))

    def test_a_stream_that_may_not_be_resumed_is_cut(self) -> None:
        response = self.send(replace(STREAM, resumable=False))
        self.assertEqual((200, PART, False), (response.status, response.body, response.complete))

    def test_a_stream_that_may_be_resumed_is_continued_by_the_other_server(self) -> None:
        response = self.send(STREAM)
        self.assertEqual((200, WHOLE, True), (response.status, response.body, response.complete))


async def _respond(request: HttpRequest, stream: trio.SocketStream) -> bool:
    """Responds with all events that follow the caller's last one."""
    first = int(request.headers.get("last-event-id", "0")) + 1
    await stream.send_all(CHUNKED + chunk(events(first, 9)) + b"0\r\n\r\n")
    return True
