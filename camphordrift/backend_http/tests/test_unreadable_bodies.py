"""Tests of complete responses whose body is not what the client asked for.

A response without a length may lack its end although the connection was closed regularly. Guards
against errors that the users of a client do not expect, and that end the process.
"""

import msgpack
import pytest
import testtools

from camphordrift.backend_http import HttpConnections
from camphordrift.backend_http.tests.faulty_servers import responds, run_client
from camphordrift.platform_http import HttpLogTransport
from camphordrift.platform_log import AppendUnsureError

pytestmark = pytest.mark.sockets

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"

#: msgpack that is incomplete, no map, or a map without the fields that are read.
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


class LogTransportTest(testtools.TestCase):
    def test_an_append_whose_response_cannot_be_read_is_unsure(self) -> None:
        async def client(connections: HttpConnections, base_url: str) -> None:
            transport = HttpLogTransport(connections, base_url)
            with testtools.ExpectedException(AppendUnsureError):
                self.fail(f"{await transport.append('claims', [b'x'])}")

        for body in MSGPACK_BODIES:
            run_client(responds(HEAD + body), client)
