"""End-to-end tests of a VM that starts while callers already connect to it."""

import socket

import pytest
import testtools
import trio

from camphordrift.relay.tests.relay_harness import (
    TEST_TIMEOUT,
    CallerResponse,
    RelayHarness,
    complete_stream,
    read_response,
    request_bytes,
)
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    InMemoryLog,
    SampleDocuments,
    ScriptedServer,
    server,
)
from camphordrift.testing import process_loopback_network

pytestmark = pytest.mark.sockets


class StartTest(testtools.TestCase):
    def test_a_request_that_was_sent_before_the_start_is_served(self) -> None:
        listening = socket.create_server((f"{process_loopback_network()}.1", 0))
        self.addCleanup(listening.close)

        async def main() -> CallerResponse:
            relay = RelayHarness(InMemoryLog(), SampleDocuments(), caller_socket=listening)
            engine = ScriptedServer(server(1, "engines", port=0), complete_stream)
            with trio.fail_after(TEST_TIMEOUT):
                stream = await relay.connect()
                await stream.send_all(request_bytes("/quick/x"))
                async with trio.open_nursery() as nursery:
                    await nursery.start(engine.run)
                    relay.register_server(engine)
                    relay.publish(CONFIGURATION)
                    nursery.start_soon(relay.process.run)
                    response = await read_response(stream)
                    await stream.aclose()
                    nursery.cancel_scope.cancel()
            return response

        response = trio.run(main)
        self.assertEqual((200, True), (response.status, response.complete))
