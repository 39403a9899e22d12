"""Tests of requests in whose handling the relay itself fails."""

import pytest
import testtools

from camphordrift.relay.connections import CallerRequest
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    complete_stream,
    read_response,
    request_bytes,
    run_scenario,
)
from camphordrift.relay.tests.samples import ScriptedServer

pytestmark = pytest.mark.sockets


class FailedHandlingTest(testtools.TestCase):
    """Guards against exceptions that close a caller's connection without a response."""

    def test_an_exception_before_the_first_attempt_is_answered(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            admission = relay.process._handler._admission
            accept = admission.accept

            def fail_once(request: CallerRequest, *rest: object) -> object:
                self.patch(admission, "accept", accept)
                raise RuntimeError("a fault of the relay")

            self.patch(admission, "accept", fail_once)
            stream = await relay.connect()
            async with stream:
                await stream.send_all(request_bytes("/quick/x"))
                failed = await read_response(stream)
                self.assertEqual((500, True), (failed.status, failed.complete))
                self.assertIn(b"9000", failed.body)
                # The connection is still in step.
                await stream.send_all(request_bytes("/quick/x", "a2"))
                self.assertEqual(200, (await read_response(stream)).status)

        run_scenario(scenario, complete_stream)

    def test_a_deadline_that_is_no_time_is_answered(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x", x_patience="nan")
            self.assertGreaterEqual(response.status, 400)
            self.assertTrue(response.complete)

        run_scenario(scenario, complete_stream)


class ConnectMethodTest(testtools.TestCase):
    def test_a_connect_request_is_refused(self) -> None:
        # Guards against a request to which a server's success is not a response but a tunnel.
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            stream = await relay.connect()
            async with stream:
                request = request_bytes("/quick/x").replace(b"POST", b"CONNECT", 1)
                await stream.send_all(request)
                response = await read_response(stream)
                self.assertEqual((501, True), (response.status, response.complete))
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, complete_stream)
