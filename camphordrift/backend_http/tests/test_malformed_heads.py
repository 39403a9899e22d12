"""Tests of responses whose head is not valid HTTP.

Guards against such a response that counts as the server's, with whatever its other fields say.
"""

from functools import partial
from itertools import product

import pytest
import testtools

from camphordrift.backend_http import HttpCall, HttpConnections, HttpEngineClient
from camphordrift.backend_http.tests.faulty_servers import (
    WAYS_TO_SEND,
    Send,
    fetch,
    run_client,
)
from camphordrift.backend_servers import (
    EngineOrder,
    GenerationRequest,
    OrderKind,
    StreamBrokenError,
)
from camphordrift.identifiers import BackendServerId, ModelName, RequestId
from camphordrift.platform_http import HttpLogTransport, VmListClient, VmListUnavailableError
from camphordrift.platform_log import AppendUnsureError, LogUnavailableError
from camphordrift.testing import (
    Malform,
    heads_with_invalid_names,
    heads_with_invalid_status,
    malformed_responses,
    respond_with,
)

pytestmark = pytest.mark.sockets

ENGINE = BackendServerId("engine-1")

SUCCESS = b"HTTP/1.1 200 OK\r\nx-not-run: 1\r\ncontent-type: text/plain\r\n"
BODY = b"{}"

#: Heads and bodies of sound responses; the first one leaves the connection open.
RESPONSES = (
    (SUCCESS + b"content-length: 2\r\n\r\n", BODY),
    (SUCCESS + b"transfer-encoding: chunked\r\n\r\n", b"2\r\n{}\r\n0\r\n\r\n"),
    (SUCCESS + b"\r\n", BODY),
    (b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n", b""),
)


class HttpConnectionsTest(testtools.TestCase):
    def check(self, malform: Malform) -> None:
        """Checks that no malformed response is returned."""
        for send, response in product(WAYS_TO_SEND, malformed_responses(malform, RESPONSES)):
            run_client(respond_with(response), partial(self.check_broken, send))

    def check_reused_connection(self, malform: Malform) -> None:
        """Checks malformed responses that follow a sound one on the same connection."""

        async def client(connections: HttpConnections, base_url: str) -> None:
            response = await fetch(connections, HttpCall("GET", base_url, "/"))
            self.assertEqual(BODY, response.body)
            await self.check_broken(fetch, connections, base_url)

        sound = RESPONSES[0][0] + RESPONSES[0][1]
        for response in malformed_responses(malform, RESPONSES):
            run_client(respond_with(sound, response), client)

    async def check_broken(self, send: Send, connections: HttpConnections, base_url: str) -> None:
        """Checks that a call raises an error."""
        try:
            response = await send(connections, HttpCall("GET", base_url, "/"))
        except StreamBrokenError:
            return
        self.fail(f"{send.__name__}: {response}")

    def test_invalid_status(self) -> None:
        self.check(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check(heads_with_invalid_names)

    def test_invalid_status_on_a_reused_connection(self) -> None:
        self.check_reused_connection(heads_with_invalid_status)

    def test_invalid_names_on_a_reused_connection(self) -> None:
        self.check_reused_connection(heads_with_invalid_names)

    def test_a_switch_to_another_protocol(self) -> None:
        self.check(lambda head: [b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n{}"])


class EngineClientTest(testtools.TestCase):
    """Tests of streams, reports and orders."""

    def check(self, malform: Malform) -> None:
        """Checks that no malformed response is one, or a promise that nothing ran."""

        async def client(connections: HttpConnections, base_url: str) -> None:
            engines = HttpEngineClient(connections, lambda engine_id: base_url)
            request = GenerationRequest(RequestId("r"), 1, ModelName("m"), 1, 1, b"x")
            order = EngineOrder(OrderKind.LOAD_MODEL, "m", "1", 1, "o")
            with testtools.ExpectedException(StreamBrokenError):
                async with engines.generate(ENGINE, request) as chunks:
                    self.fail(f"{[chunk async for chunk in chunks]}")
            with testtools.ExpectedException(StreamBrokenError):
                self.fail(f"{await engines.read_load(ENGINE)}")
            with testtools.ExpectedException(StreamBrokenError):
                self.fail(f"{await engines.send_order(ENGINE, order)}")

        for response in malformed_responses(malform, RESPONSES):
            run_client(respond_with(response), client)

    def test_invalid_status(self) -> None:
        self.check(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check(heads_with_invalid_names)


class PlatformServicesTest(testtools.TestCase):
    """Tests of the log service and the list of VMs."""

    def check(self, malform: Malform) -> None:
        """Checks that no malformed response is one."""

        async def client(connections: HttpConnections, base_url: str) -> None:
            transport = HttpLogTransport(connections, base_url)
            with testtools.ExpectedException(AppendUnsureError):
                await transport.append("claims", [b"x"])
            with testtools.ExpectedException(LogUnavailableError):
                await transport.read("claims", 0, 10)
            with testtools.ExpectedException(VmListUnavailableError):
                await VmListClient(connections, base_url).read()

        for response in malformed_responses(malform, RESPONSES):
            run_client(respond_with(response), client)

    def test_invalid_status(self) -> None:
        self.check(heads_with_invalid_status)

    def test_invalid_names(self) -> None:
        self.check(heads_with_invalid_names)
