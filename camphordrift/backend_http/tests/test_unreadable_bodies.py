"""Tests of complete responses whose body is not what the client asked for.

A response without a length may lack its end although the connection was closed regularly. Guards
against errors that the users of a client do not expect, and that end the process.
"""

from itertools import product

import msgpack
import pytest
import testtools

from camphordrift.backend_http import HttpConnections, HttpEngineClient
from camphordrift.backend_http.tests.faulty_servers import run_client
from camphordrift.backend_servers import (
    EngineOrder,
    GenerationRequest,
    OrderKind,
    StreamBrokenError,
)
from camphordrift.identifiers import BackendServerId, ModelName, RequestId
from camphordrift.platform_http import HttpLogTransport, VmListClient, VmListUnavailableError
from camphordrift.platform_log import AppendUnsureError, LogUnavailableError
from camphordrift.testing import respond_with

pytestmark = pytest.mark.sockets

ENGINE = BackendServerId("engine-1")

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"

#: JSON that is incomplete, no object, or an object without the fields that are read.
JSON_BODIES = (
    *(b"", b"{", b"\xff", b"null", b"1", b'"text"', b"[]", b"[1]", b"{}", b"[" * 100_000),
    *(b'{"vms": 1}', b'{"vms": [1]}', b'{"vms": [{"url": 1}]}', b'{"vms": [{"peer_port": "x"}]}'),
    *(b'{"holds": 1}', b'{"holds": [1]}', b'{"holds": [{}]}', b'{"incarnation": 1e400}'),
    *(b'{"incarnation": 1, "events": [[]]}', b'{"engine_id": 1, "sequence": 1e400}'),
    *(b'{"choices": []}', b'{"choices": [1]}', b'{"choices": [{"finish_reason": null}]}'),
)

#: The same in msgpack.
MSGPACK_BODIES = (
    *(b"", b"\x81", b"\xc1", b"\x81\xa6offset", b"\xa6off", b"\x91" * 100_000),
    *map(
        msgpack.packb,
        (
            *(None, 1, "text", [], {}, {"offset": None}, {"offset": "x"}, {"offset": 1e400}),
            *({"first_offset": []}, {"records": 1, "end_offset": 1}, {"records": [1]}),
            *({"records": [[1]], "end_offset": 1}, {"records": [], "end_offset": "x"}),
            {"records": [["x", b"", 0]], "end_offset": 1},
        ),
    ),
)


class EngineClientTest(testtools.TestCase):
    def test_reports_orders_and_holds(self) -> None:
        order = EngineOrder(OrderKind.LOAD_MODEL, "m", "1", 1, "o")

        async def client(connections: HttpConnections, base_url: str) -> None:
            engines = HttpEngineClient(connections, lambda engine_id: base_url)
            with testtools.ExpectedException(StreamBrokenError):
                self.fail(f"{await engines.read_load(ENGINE)}")
            with testtools.ExpectedException(StreamBrokenError):
                self.fail(f"{await engines.read_cache_events(ENGINE, 0)}")
            with testtools.ExpectedException(StreamBrokenError):
                self.fail(f"{await engines.list_holds(ENGINE)}")
            with testtools.ExpectedException(StreamBrokenError):
                self.fail(f"{await engines.send_order(ENGINE, order)}")

        for body in JSON_BODIES:
            run_client(respond_with(HEAD + body), client)

    def test_events_of_streams(self) -> None:
        request = GenerationRequest(RequestId("r"), 1, ModelName("m"), 1, 1, b"x")

        async def client(connections: HttpConnections, base_url: str) -> None:
            engines = HttpEngineClient(connections, lambda engine_id: base_url)
            with testtools.ExpectedException(StreamBrokenError):
                async with engines.generate(ENGINE, request) as chunks:
                    self.fail(f"{[chunk async for chunk in chunks]}")

        for body in filter(None, JSON_BODIES):
            run_client(respond_with(HEAD + b"data: " + body + b"\n\n"), client)


class LogTransportTest(testtools.TestCase):
    def test_an_append_whose_response_cannot_be_read_is_unsure(self) -> None:
        async def client(connections: HttpConnections, base_url: str) -> None:
            transport = HttpLogTransport(connections, base_url)
            with testtools.ExpectedException(AppendUnsureError):
                self.fail(f"{await transport.append('claims', [b'x'])}")

        for body in MSGPACK_BODIES:
            run_client(respond_with(HEAD + body), client)

    def test_reads(self) -> None:
        async def client(connections: HttpConnections, base_url: str) -> None:
            transport = HttpLogTransport(connections, base_url)
            with testtools.ExpectedException(LogUnavailableError):
                self.fail(f"{await transport.read('claims', 0, 10)}")

        expired = HEAD.replace(b"200 OK", b"410 Gone")
        for head, body in product((HEAD, expired), MSGPACK_BODIES):
            run_client(respond_with(head + body), client)


class VmListTest(testtools.TestCase):
    def test_lists(self) -> None:
        async def client(connections: HttpConnections, base_url: str) -> None:
            with testtools.ExpectedException(VmListUnavailableError):
                self.fail(f"{await VmListClient(connections, base_url).read()}")

        for body in JSON_BODIES:
            run_client(respond_with(HEAD + body), client)
