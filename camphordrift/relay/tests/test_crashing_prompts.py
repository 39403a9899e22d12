"""End-to-end tests of prompts with a part on which engines crash."""

import json
from collections.abc import Callable

import pytest
import testtools
import trio

from camphordrift.relay.crashes._crash_analysis import CRASHES_TO_QUARANTINE, SAME_CAUSE_SECONDS
from camphordrift.relay.crashes._quarantines import QUARANTINE_PERIOD
from camphordrift.relay.requests._crash_checks import OPEN_TIME
from camphordrift.relay.tests.crashing_servers import DOWNTIME, CrashingServers
from camphordrift.relay.tests.relay_harness import (
    CallerResponse,
    RelayHarness,
    chunk,
    complete_stream,
    events,
    first_then,
    open_relay,
    run_scenario,
    stream_head,
    truncates,
)
from camphordrift.relay.tests.samples import COSTS, ScriptedServer, server
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: Engines of the tests.
ENGINE_COUNT = 8

#: Crashes after which the relay has to know the part.
MAX_CRASHES = 5

#: Seconds after these crashes until the relay has to know it (StableWindowMs of the platform).
KNOWN_WITHIN = 3.0

#: Requests with the part that may reach engines after that.
MAX_LATER_REQUESTS = 3


def _is_bad(request: HttpRequest) -> bool:
    return "bad" in request.headers.get("x-parts", "").split()


class RefusalTest(testtools.TestCase):
    def test_a_request_that_waits_for_an_engine_is_not_sent_after_its_part_is_known(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            responses: list[CallerResponse] = []
            async with trio.open_nursery() as nursery:
                for number in range(COSTS.slots):
                    nursery.start_soon(relay.send_request, "/quick/x", f"s{number}")
                await _wait_until(lambda: len(servers[0].requests) == COSTS.slots)
                nursery.start_soon(_send, relay, "b", "shared bad", responses)
                await _wait_until(lambda: relay.process._scheduler.request_counts[1] == 1)
                await _accuse(relay, "bad")
                release.set()
            self.assertEqual([503], [response.status for response in responses])
            self.assertEqual(COSTS.slots, len(servers[0].requests))

        release = trio.Event()

        async def waits(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 1)))
            await release.wait()
            await stream.send_all(chunk(events(2, 5)) + b"0\r\n\r\n")
            return True

        run_scenario(scenario, waits)

    def test_a_refusal_states_that_the_request_was_not_run(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            await _accuse(relay, "bad")
            response = await relay.send_request("/quick/x", x_parts="shared bad")
            error = json.loads(response.body)["error"]
            self.assertEqual((503, 2013), (response.status, error["code"]))
            self.assertEqual("not_run", error["run_state"])
            self.assertTrue(float(response.headers["retry-after"]) > QUARANTINE_PERIOD / 2)
            self.assertEqual([], servers[0].requests)
            self.assertEqual(200, (await relay.send_request("/quick/x", x_parts="shared")).status)
            self.assertIn("camphordrift_relay_quarantined_traits 1.0", await relay.metrics_page())

        run_scenario(scenario, complete_stream)

    def test_silence_of_a_server_accuses_no_part(self) -> None:
        async def never_responds(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await trio.sleep_forever()
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            await relay.send_request("/quick/x", x_parts="shared", x_patience="1.5")
            self.assertTrue(servers[0].requests or servers[1].requests)
            self.assertFalse(relay.process._crashes.is_suspect(("shared",)))

        run_scenario(scenario, never_responds, never_responds)

    def test_a_server_that_crashes_after_some_events_accuses_the_parts(self) -> None:
        """The parts are accused until a response on them is complete."""
        engines: list[ScriptedServer] = []

        async def crashes_unless_sound(request: HttpRequest, stream: trio.SocketStream) -> bool:
            if request.body == b"sound":
                return await complete_stream(request, stream)
            first = int(request.headers.get("last-event-id", "0")) + 1
            await stream.send_all(stream_head(request) + chunk(events(first, first + 2)))
            for engine in engines:
                engine.refuse_connections(DOWNTIME, lambda: None)
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            engines.extend(servers)
            response = await relay.send_request("/quick/x", x_parts="shared", x_patience="1")
            self.assertFalse(response.complete)
            await trio.sleep(DOWNTIME + 2 * OPEN_TIME)
            self.assertTrue(relay.process._crashes.is_suspect(("shared",)))
            await relay.send_request("/quick/x", "a2", b"sound", x_parts="shared")
            self.assertFalse(relay.process._crashes.is_suspect(("shared",)))

        run_scenario(scenario, crashes_unless_sound, crashes_unless_sound)

    def test_an_established_stream_is_retried_although_its_part_is_accused(self) -> None:
        """Guards against sound streams that end because others with their part were broken off."""

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            for number in range(CRASHES_TO_QUARANTINE):
                # At the same moment, as when power is lost.
                relay.process._crashes.record_crash(("shared",), server(100 + number))
            self.assertFalse(relay.process._crashes.may_retry(("shared",)))
            response = await relay.send_request("/quick/x", x_parts="shared")
            self.assertEqual((events(1, 5), True), (response.body, response.complete))

        script = first_then(truncates, complete_stream)
        run_scenario(scenario, script, script)

    def test_a_short_complete_response_shows_that_its_parts_are_sound(self) -> None:
        async def one_event(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 1)) + b"0\r\n\r\n")
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.process._crashes.record_crash(("shared",), server(9))
            self.assertTrue(relay.process._crashes.is_suspect(("shared",)))
            await relay.send_request("/quick/x", x_parts="shared")
            self.assertFalse(relay.process._crashes.is_suspect(("shared",)))

        run_scenario(scenario, one_event)


async def _send(
    relay: RelayHarness, attempt: str, parts: str, responses: list[CallerResponse]
) -> None:
    responses.append(await relay.send_request("/quick/x", attempt, x_parts=parts))


async def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await trio.sleep(0.01)


async def _accuse(relay: RelayHarness, part: str) -> None:
    """Lets the relay observe so many crashes that it quarantines a part."""
    for number in range(CRASHES_TO_QUARANTINE):
        relay.process._crashes.record_crash((part,), server(100 + number))
        await trio.sleep(2 * SAME_CAUSE_SECONDS)
    await _wait_until(lambda: len(relay.process._crashes.quarantined_traits()) == 1)


class CrashingPartTest(testtools.TestCase):
    """Guards against requests of one kind that crash engine after engine.

    On second1 of bazarnik-prod, requests with one part in their prompts crashed 57 engines.
    """

    def test_a_part_on_which_engines_crash_is_no_longer_sent(self) -> None:
        bad, _, engines = self._run(bad_count=15)
        self.assertTrue(engines.crashes <= MAX_CRASHES, engines.crashes)
        self.assertTrue(
            engines.crashing_requests <= MAX_CRASHES + MAX_LATER_REQUESTS, engines.crashing_requests
        )
        self.assertEqual({502, 503}, {response.status for response in bad})
        self.assertEqual(503, bad[-1].status)

    def test_a_part_on_which_engines_crash_after_some_events_is_no_longer_sent(self) -> None:
        """Guards against responses that count as sound before their engine crashes."""
        bad, _, engines = self._run(bad_count=30, crash_after=4)
        late = engines.late_crashing_requests(MAX_CRASHES, KNOWN_WITHIN)
        self.assertTrue(late <= MAX_LATER_REQUESTS, late)
        self.assertEqual(503, bad[-1].status)

    def test_sound_requests_beside_a_part_on_which_engines_crash_are_served(self) -> None:
        _, sound, _ = self._run(bad_count=15)
        self.assertEqual(
            [(200, events(1, 5), True)] * len(sound),
            [(response.status, response.body, response.complete) for response in sound],
        )

    def _run(
        self, bad_count: int, crash_after: int = 0
    ) -> tuple[list[CallerResponse], list[CallerResponse], CrashingServers]:
        engines = CrashingServers(ENGINE_COUNT, "engines", _is_bad, crash_after)
        bad: list[CallerResponse] = []
        sound: list[CallerResponse] = []

        async def main() -> None:
            async with open_relay(engines.scripted) as relay:
                engines.set_relay(relay)
                await _send(relay, "s", "shared", sound)
                async with trio.open_nursery() as nursery:
                    for number in range(bad_count):
                        for index in range(4):
                            name, parts = f"s{number}-{index}", f"shared topic-{index}"
                            nursery.start_soon(_send, relay, name, parts, sound)
                        nursery.start_soon(_send, relay, f"b{number}", "shared bad", bad)
                        await trio.sleep(0.2)

        trio.run(main)
        return bad, sound, engines
