"""End-to-end tests of streams whose server sends nothing for a while."""

from dataclasses import replace

import pytest
import testtools
import trio

from camphordrift.relay import Account, Configuration
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    chunk,
    complete_stream,
    events,
    first_then,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import CONFIGURATION, ScriptedServer
from camphordrift.testing import HttpRequest, HttpRequestHandler

pytestmark = pytest.mark.sockets

#: Seconds for which a sound server may send nothing. It exceeds the relay's timeout between events
#: of the sample route, which is four times the route's target gap of 0.25 s.
SILENCE = 1.4


def silent_after(last_event: int, seconds: float = SILENCE) -> HttpRequestHandler:
    """Returns a script that pauses after ``last_event`` and then continues to event 5."""

    async def script(request: HttpRequest, stream: trio.SocketStream) -> bool:
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = stream_head(request) + chunk(events(first, max(first, last_event)))
        try:
            await stream.send_all(head)
            await trio.sleep(seconds)
            await stream.send_all(chunk(events(max(first, last_event) + 1, 5)) + b"0\r\n\r\n")
        except trio.BrokenResourceError:
            return False
        return True

    return script


class SilentServerTest(testtools.TestCase):
    """Guards against closing a caller's connection because a sound server sends nothing."""

    def test_a_stream_waits_for_its_server_if_there_is_no_other(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual(events(1, 5), response.body)
            self.assertTrue(response.complete)

        run_scenario(scenario, silent_after(2))

    def test_a_stream_waits_for_its_server_if_its_attempts_are_used_up(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual(events(1, 5), response.body)
            self.assertTrue(response.complete)

        run_scenario(scenario, silent_after(2), silent_after(2), silent_after(2))

    def test_a_stream_that_a_configuration_forbids_to_resume_waits_for_its_server(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            accounts = {"key-1": Account("school", priority=2)}
            changed = replace(CONFIGURATION, version=4, accounts=accounts)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_publish_after, relay, 0.3, changed)
                response = await relay.send_request("/quick/x")
            self.assertEqual(events(1, 5), response.body)
            self.assertTrue(response.complete)

        run_scenario(scenario, silent_after(2), silent_after(2))

    def test_a_first_event_is_awaited_if_there_is_no_other_server(self) -> None:
        """Without it, the caller gets a failure although its server would have responded."""

        async def responds_late(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await trio.sleep(2 * SILENCE)
            return await complete_stream(request, stream)

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual((200, events(1, 5)), (response.status, response.body))

        run_scenario(scenario, responds_late)

    def test_a_stream_continues_on_another_server_during_the_silence(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            started_at = trio.current_time()
            response = await relay.send_request("/quick/x")
            self.assertEqual(events(1, 5), response.body)
            self.assertTrue(response.complete)
            self.assertTrue(trio.current_time() - started_at < 5 * SILENCE)

        script = first_then(silent_after(2, seconds=6 * SILENCE), complete_stream)
        run_scenario(scenario, script, script)


async def _publish_after(relay: RelayHarness, seconds: float, configuration: Configuration) -> None:
    await trio.sleep(seconds)
    relay.publish(configuration)
