"""End-to-end tests of a VM that stops while it has requests."""

from dataclasses import astuple, replace

import pytest
import testtools
import trio

from camphordrift.relay import _process
from camphordrift.relay._stop_schedule import StopSchedule, stop_schedule
from camphordrift.relay.tests.relay_harness import (
    CallerResponse,
    RelayHarness,
    chunk,
    events,
    read_response,
    request_bytes,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import CONFIGURATION, STREAM, ScriptedServer
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets

#: Grace periods in seconds.
GRACE_PERIODS = (1.0, 2.0, 4.0, 5.0, 8.0, 30.0)

#: Seconds by which a VM may notice the signal late, and a request may be under way.
MAX_SIGNAL_DELAY = 0.4

#: Number of requests that occupy all slots of the only engine.
SLOTS = 8


async def never_ends(request: HttpRequest, stream: trio.SocketStream) -> bool:
    await stream.send_all(stream_head(request) + chunk(events(1, 1)))
    await trio.sleep_forever()
    return False


async def never_responds(request: HttpRequest, stream: trio.SocketStream) -> bool:
    await trio.sleep_forever()
    return False


class StopScheduleTest(testtools.TestCase):
    def test_streams_may_run_until_the_last_sixth_of_the_grace_period(self) -> None:
        """Guards against a fixed margin that is too long for short grace periods."""
        for grace_period in GRACE_PERIODS:
            exit_at = stop_schedule(grace_period).exit
            self.assertTrue(grace_period * 5 / 6 < exit_at < grace_period)

    def test_late_requests_are_refused_before_the_first_three_seconds_end(self) -> None:
        """Guards against requests that are sent after 3 s, but before a busy VM refuses them."""
        for grace_period in GRACE_PERIODS:
            self.assertLessEqual(stop_schedule(grace_period).late_refusal, 3.0 - MAX_SIGNAL_DELAY)

    def test_a_short_grace_period_leaves_time_for_each_step(self) -> None:
        """Guards against a VM that is killed while it still waits for the load balancer."""
        for grace_period in GRACE_PERIODS:
            schedule = stop_schedule(grace_period)
            times = astuple(schedule)
            self.assertEqual(sorted(times), list(times))
            self.assertGreater(schedule.late_refusal, 0.0)
            self.assertLess(schedule.deregistration, schedule.last_refusal)


class GracePeriodTest(testtools.TestCase):
    """Guards against connections that are closed without a response when the grace period ends."""

    def setUp(self) -> None:
        super().setUp()
        self.use_schedule(StopSchedule(0.1, 0.1, 0.75, 1.0))

    def use_schedule(self, schedule: StopSchedule) -> None:
        self.patch(_process, "stop_schedule", lambda grace_period: schedule)

    def test_a_late_request_on_a_new_connection_is_refused(self) -> None:
        """Guards against requests that are sent after the first 3 s, and read before their end."""
        self.use_schedule(StopSchedule(0.1, 60.0, 60.0, 60.0))

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            patient = replace(STREAM, timeout=90.0)
            relay.publish(replace(CONFIGURATION, version=4, routes=(patient,)))
            await relay.wait_for_version(4)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(relay.process._drain)
                while relay.process._handler._exit_at is None:
                    await trio.sleep(0.01)
                response = await relay.send_request("/quick/x", x_patience="90")
                self.assertEqual((503, True), (response.status, response.complete))
                self.assertIn("retry-after", response.headers)
                nursery.cancel_scope.cancel()
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, never_ends)

    def test_a_request_that_waits_for_an_engine_is_refused(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            patient = replace(STREAM, timeout=30.0, latency_objective=9.0, event_gap_objective=9.0)
            relay.publish(replace(CONFIGURATION, version=4, routes=(patient,)))
            await relay.wait_for_version(4)
            responses: list[CallerResponse] = []

            async def request(attempt: str) -> None:
                responses.append(await relay.send_request("/quick/x", attempt, x_patience="30"))

            async with trio.open_nursery() as nursery:
                for number in range(SLOTS):
                    nursery.start_soon(request, f"a{number}")
                while len(servers[0].requests) < SLOTS:
                    await trio.sleep(0.01)
                nursery.start_soon(request, "waits")
                while relay.process._scheduler.request_counts[1] == 0:
                    await trio.sleep(0.01)
                await relay.process._drain()
                self.assertEqual([503], [response.status for response in responses])
                self.assertIn("retry-after", responses[0].headers)
                nursery.cancel_scope.cancel()

        run_scenario(scenario, never_ends)

    def test_a_late_request_that_may_outlast_the_vm_is_refused(self) -> None:
        """Guards against streams that are cut although their callers could use another VM."""

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            short, long = await relay.connect(), await relay.connect()
            for stream in (short, long):
                await stream.send_all(request_bytes("/nowhere"))
                await read_response(stream)
            responses: dict[str, CallerResponse] = {}

            async def request(stream: trio.SocketStream, attempt: str, patience: str) -> None:
                await stream.send_all(request_bytes("/quick/x", attempt, x_patience=patience))
                responses[attempt] = await read_response(stream)

            self.patch(relay.process, "_close_idle_callers", lambda: None)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(relay.process._drain)
                await trio.sleep(2 * 0.1)
                nursery.start_soon(request, short, "short", "0.5")
                nursery.start_soon(request, long, "long", "10")
            self.assertEqual(503, responses["long"].status)
            self.assertIn("retry-after", responses["long"].headers)
            self.assertEqual(["short"], [item.headers["x-attempt"] for item in servers[0].requests])

        run_scenario(scenario, never_ends)

    def test_a_vm_that_wakes_up_late_still_refuses_before_it_exits(self) -> None:
        """Guards against requests without a response after a pause around the last refusal."""

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            caller = await relay.connect()
            await caller.send_all(request_bytes("/book/x"))
            while not servers[0].requests:
                await trio.sleep(0.01)
            # The time to exit has passed when the VM wakes up for the first time.
            self.use_schedule(StopSchedule(0.0, 0.0, 0.0, 0.0))
            await relay.process._drain()
            response = await read_response(caller)
            self.assertEqual((502, True), (response.status, response.complete))

        run_scenario(scenario, never_responds, service="office")

    def test_the_next_request_of_a_connection_that_was_busy_is_refused(self) -> None:
        """Guards against a stream that is cut as its connection did not announce the stop."""
        ended = trio.Event()

        async def stream_until_ended(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 1)))
            await ended.wait()
            await stream.send_all(chunk(events(2, 2)) + b"0\r\n\r\n")
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            self.patch(relay.process, "_close_idle_callers", lambda: None)
            stream = await relay.connect()
            await stream.send_all(request_bytes("/quick/x"))
            while not servers[0].requests:
                await trio.sleep(0.01)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(relay.process._drain)
                while relay.process._handler._exit_at is None:
                    await trio.sleep(0.01)
                ended.set()
                first = await read_response(stream)
                self.assertNotIn("connection", first.headers)
                await stream.send_all(request_bytes("/quick/x", "a2"))
                second = await read_response(stream)
            self.assertEqual((200, True), (first.status, first.complete))
            self.assertEqual((503, True), (second.status, second.complete))
            self.assertEqual(["a1"], [item.headers["x-attempt"] for item in servers[0].requests])

        run_scenario(scenario, stream_until_ended)

    def test_a_request_that_is_cut_is_logged_as_such(self) -> None:
        callers: list[trio.SocketStream] = []

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            callers.append(await relay.connect())
            await callers[0].send_all(request_bytes("/quick/x"))
            while not servers[0].requests:
                await trio.sleep(0.01)
            # The VM exits at the end of the scenario.
            await relay.process._drain()

        with self.assertLogs("absl", level="INFO") as logs:
            run_scenario(scenario, never_ends)
        lines = [line for line in logs.output if "event=request_cut" in line]
        self.assertEqual(1, len(lines))
        self.assertIn("request=a1", lines[0])
        self.assertIn("started=true", lines[0])
        self.assertIn("received_after_signal=-", lines[0])
        self.assertFalse([line for line in logs.output if "event=caller_left" in line])

    def test_a_request_that_may_have_run_is_not_refused_as_not_run(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            responses: list[CallerResponse] = []

            async def request() -> None:
                responses.append(await relay.send_request("/book/x"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(request)
                while not servers[0].requests:
                    await trio.sleep(0.01)
                await relay.process._drain()
                self.assertEqual([502], [response.status for response in responses])
                nursery.cancel_scope.cancel()

        run_scenario(scenario, never_responds, service="office")
