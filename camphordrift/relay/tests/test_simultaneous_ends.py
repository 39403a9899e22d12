"""Tests of responses that arrive just as their request is given up."""

from collections.abc import Callable

import pytest
import testtools

from camphordrift.relay.requests._attempt import AttemptResult
from camphordrift.relay.requests._request_progress import RequestProgress
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    plain_success,
    run_scenario,
)
from camphordrift.relay.tests.samples import ScriptedServer

pytestmark = pytest.mark.sockets


class SimultaneousEndTest(testtools.TestCase):
    """Guards against connections that are closed without a byte after a complete response."""

    def check(self, path: str, give_up: Callable[[RelayHarness], None]) -> None:
        """Gives a request up in the turn of the event loop in which its response has arrived."""

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            handler = relay.process._handler
            finish_or_retry = handler._finish_or_retry

            async def give_up_and_finish(progress: RequestProgress, result: AttemptResult) -> bool:
                give_up(relay)
                return await finish_or_retry(progress, result)

            self.patch(handler, "_finish_or_retry", give_up_and_finish)
            response = await relay.send_request(path)
            self.assertEqual(1, len(servers[0].requests))
            self.assertEqual((200, b"done"), (response.status, response.body))
            self.assertTrue(response.complete)

        run_scenario(scenario, plain_success, service="office")

    def test_a_response_that_arrives_at_the_last_refusal_is_delivered(self) -> None:
        for path in ("/book/x", "/look/x"):
            self.check(path, lambda relay: relay.process._handler.refuse_unstarted())

    def test_a_response_that_arrives_at_the_deadline_is_delivered(self) -> None:
        def pass_deadline(relay: RelayHarness) -> None:
            for scope in relay.process._handler._in_progress:
                scope.cancel()

        for path in ("/book/x", "/look/x"):
            self.check(path, pass_deadline)
