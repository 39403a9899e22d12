"""End-to-end tests of streams whose server sends nothing for a while."""

from dataclasses import replace

import pytest
import testtools
import trio

from camphordrift.relay import Configuration
from camphordrift.relay.scheduling._placement_values import PlacementDecision, PlacementRequest
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
        pause_after = max(first, last_event) if last_event else 0
        try:
            if pause_after:
                await stream.send_all(stream_head(request) + chunk(events(first, pause_after)))
            await trio.sleep(seconds)
            if not pause_after:
                await stream.send_all(stream_head(request))
            await stream.send_all(chunk(events(pause_after + 1, 5)) + b"0\r\n\r\n")
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
            changed = replace(CONFIGURATION, version=4, accounts={})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_publish_after, relay, 0.3, changed)
                response = await relay.send_request("/quick/x")
            self.assertEqual(events(1, 5), response.body)
            self.assertTrue(response.complete)

        run_scenario(scenario, silent_after(2), silent_after(2))

    def test_a_stream_that_is_long_but_not_silent_is_sent_to_one_server(self) -> None:
        async def is_slow(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request))
            for number in range(1, 6):
                await stream.send_all(chunk(events(number, number)))
                await trio.sleep(0.4)
            await stream.send_all(b"0\r\n\r\n")
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual(events(1, 5), response.body)
            self.assertEqual(1, sum(len(item.requests) for item in servers))

        run_scenario(scenario, is_slow, is_slow)

    def test_a_first_event_is_awaited_if_there_is_no_other_server(self) -> None:
        """Without it, the caller gets a failure although its server would have responded."""

        async def responds_late(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await trio.sleep(2 * SILENCE)
            return await complete_stream(request, stream)

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual((200, events(1, 5)), (response.status, response.body))

        run_scenario(scenario, responds_late)

    def test_a_further_attempt_may_use_the_engines_of_the_silent_one(self) -> None:
        """Guards against a long prompt that gets one engine for all of its prefill.

        Its first attempt had occupied the other ones, and they counted as suspect.
        """
        released: list[int] = []

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            scheduler = relay.process._scheduler
            request_placement = relay.process._dispatcher.request_placement

            async def record(placement_request: PlacementRequest) -> PlacementDecision:
                released.append(scheduler.placed_count("engines"))
                return await request_placement(placement_request)

            self.patch(relay.process._dispatcher, "request_placement", record)
            response = await relay.send_request("/quick/x")
            self.assertEqual((200, events(1, 5)), (response.status, response.body))
            self.assertEqual([0, 0], released)

        script = first_then(silent_after(0, seconds=2 * SILENCE), complete_stream)
        run_scenario(scenario, script, script)

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
