"""Tests of requests from the caller to a server and back, with servers that misbehave."""

import contextlib
import itertools
import json
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
import testtools
import trio

from camphordrift.relay import _http_server
from camphordrift.relay._attempt import SOCKET_BUFFERED_BODY_BYTES
from camphordrift.relay._placement_values import PlacementDecision, PlacementRequest
from camphordrift.relay.tests.relay_harness import (
    Fleet,
    chunk,
    events,
    not_run,
    open_fleet,
    plain_answer,
    plain_success,
    read_reply,
    request_bytes,
    stream_head,
    whole_stream,
)
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    TOPICS,
    ScriptedServer,
    server,
)
from camphordrift.testing import HttpRequest, RequestScript

pytestmark = pytest.mark.sockets

Body = Callable[[Fleet, list[ScriptedServer]], Awaitable[None]]


def run(body: Body, *scripts: RequestScript, service: str = "engines") -> None:
    async def main() -> None:
        servers = [
            ScriptedServer(server(number, service, port=0), script)
            for number, script in enumerate(scripts)
        ]
        async with open_fleet(servers) as fleet:
            await body(fleet, servers)

    trio.run(main)


def once(first: RequestScript, then: RequestScript) -> RequestScript:
    """Returns a script whose first answer, over all servers that share it, differs."""
    answered = []

    async def script(seen: HttpRequest, stream: trio.SocketStream) -> bool:
        answered.append(seen)
        return await (first if len(answered) == 1 else then)(seen, stream)

    return script


class StreamTest(testtools.TestCase):
    def test_a_stream_is_passed_on_whole(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            reply = await fleet.call("/quick/x", body=b"question")
            self.assertEqual(events(1, 5), reply.body)
            self.assertTrue(reply.whole)
            (seen,) = servers[0].seen
            self.assertEqual(b"question", seen.body)
            self.assertEqual("school", seen.headers["x-account"])
            self.assertNotIn("x-key", seen.headers)

        run(body, whole_stream)

    def test_a_stream_that_breaks_off_goes_on_elsewhere(self) -> None:
        async def breaks_inside_an_event(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(seen) + chunk(events(1, 3) + b"id: 4\nda"))
            return False

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            reply = await fleet.call("/quick/x")
            self.assertEqual(events(1, 5), reply.body)
            self.assertTrue(reply.whole)
            self.assertEqual(2, sum(len(item.seen) for item in servers))

        script = once(breaks_inside_an_event, whole_stream)
        run(body, script, script)

    def test_the_engines_are_told_that_only_the_rest_is_left(self) -> None:
        async def breaks(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(seen) + chunk(events(1, 3)))
            return False

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            asked: list[bool] = []
            dispatcher = fleet.process._dispatcher
            place = dispatcher.place

            async def note(ask: PlacementRequest) -> PlacementDecision:
                asked.append(ask.resumed)
                return await place(ask)

            self.patch(dispatcher, "place", note)
            await fleet.call("/quick/x")
            await fleet.call("/quick/x", last_event_id="2")
            self.assertEqual([False, True, True], asked)

        script = once(breaks, whole_stream)
        run(body, script, script)

    def test_a_long_prompts_stream_that_breaks_off_goes_on_elsewhere(self) -> None:
        async def breaks(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(seen) + chunk(events(1, 3)))
            return False

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            prompt = b"w" * (SOCKET_BUFFERED_BODY_BYTES + 1)
            reply = await fleet.call("/quick/x", body=prompt)
            self.assertEqual(events(1, 5), reply.body)
            self.assertTrue(reply.whole)

        script = once(breaks, whole_stream)
        run(body, script, script)

    def test_events_that_come_twice_are_passed_on_once(self) -> None:
        async def breaks(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(seen) + chunk(events(1, 3)))
            return False

        async def from_the_start(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(seen) + chunk(events(1, 5)) + b"0\r\n\r\n")
            return True

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            self.assertEqual(events(1, 5), (await fleet.call("/quick/x")).body)

        script = once(breaks, from_the_start)
        run(body, script, script)

    def test_a_stream_that_cannot_be_finished_does_not_look_complete(self) -> None:
        async def breaks(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(seen) + chunk(events(1, 3)))
            return False

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            reply = await fleet.call("/quick/x")
            self.assertFalse(reply.whole)
            self.assertEqual(2, sum(len(item.seen) for item in servers))

        run(body, breaks, breaks, breaks)

    def test_a_stream_that_finds_no_other_server_is_reported_as_broken_off(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            async def breaks(seen: HttpRequest, stream: trio.SocketStream) -> bool:
                await stream.send_all(stream_head(seen) + chunk(events(1, 3)))
                fleet.log.put(TOPICS.servers, servers[0].entry.id, None)
                await trio.sleep(0.3)
                return False

            servers[0].script = breaks
            self.assertFalse((await fleet.call("/quick/x")).whole)
            broken_off = 'camphordrift_relay_broken_answers_total{route="quick"} 1'
            self.assertIn(broken_off, await fleet.metrics_page())

        run(body, whole_stream)

    def test_a_stream_whose_rest_another_server_fails_is_reported_as_broken_off(self) -> None:
        async def breaks(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(seen) + chunk(events(1, 3)))
            return False

        async def fails(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_answer(seen, "500 Internal Server Error"))
            return True

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            self.assertFalse((await fleet.call("/quick/x")).whole)
            broken_off = 'camphordrift_relay_broken_answers_total{route="quick"} 1'
            self.assertIn(broken_off, await fleet.metrics_page())

        script = once(breaks, fails)
        run(body, script, script)

    def test_a_resumed_stream_starts_after_the_callers_last_event(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            reply = await fleet.call("/quick/x", last_event_id="2")
            self.assertEqual(events(3, 5), reply.body)

        async def keeps_header(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(seen) + chunk(events(3, 5)) + b"0\r\n\r\n")
            return True

        run(body, keeps_header)

    def test_an_unsigned_answer_is_not_passed_on(self) -> None:
        async def unsigned(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            head = stream_head(seen, signed=False)
            await stream.send_all(head + chunk(events(1, 5)) + b"0\r\n\r\n")
            return True

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            self.assertEqual(502, (await fleet.call("/quick/x")).status)

        run(body, unsigned, unsigned)

    def test_a_caller_that_leaves_ends_the_work(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            ended = trio.Event()

            async def never_ends(seen: HttpRequest, stream: trio.SocketStream) -> bool:
                await stream.send_all(stream_head(seen) + chunk(events(1, 1)))
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.receive_some(1)
                ended.set()
                return False

            servers[0].script = never_ends
            caller = await fleet.connect()
            await caller.send_all(request_bytes("/quick/x"))
            await caller.receive_some(1000)
            await caller.aclose()
            with trio.fail_after(5):
                await ended.wait()

        run(body, whole_stream)

    def test_a_caller_that_takes_no_bytes_counts_as_gone(self) -> None:
        self.patch(_http_server, "WRITE_TIMEOUT", 0.2)

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            ended = trio.Event()

            async def never_ends(seen: HttpRequest, stream: trio.SocketStream) -> bool:
                await stream.send_all(stream_head(seen))
                with contextlib.suppress(trio.BrokenResourceError):
                    for number in itertools.count(1):
                        event = b"id: %d\ndata: %s\n\n" % (number, b"w" * 60_000)
                        await stream.send_all(chunk(event))
                ended.set()
                return False

            servers[0].script = never_ends
            async with await fleet.connect() as caller:
                await caller.send_all(request_bytes("/quick/x"))
                with trio.fail_after(5):
                    await ended.wait()
            metrics = await fleet.metrics_page()
            self.assertIn('camphordrift_relay_callers_left_total{route="quick"} 1', metrics)

        run(body, whole_stream)


class HelperTest(testtools.TestCase):
    def test_an_engine_whose_helper_left_is_asked_again_with_others(self) -> None:
        """Engines leave unseen while the store is away, and a long prompt needs many of them."""
        blamed: list[str] = []

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            async def blames(seen: HttpRequest, stream: trio.SocketStream) -> bool:
                others = [s.entry for s in servers if s.entry.id != seen.headers["x-server"]]
                left = next(entry for entry in others if entry.address not in blamed)
                if len(blamed) == 3:
                    return await whole_stream(seen, stream)
                blamed.append(left.address)
                head = f"HTTP/1.1 503 No\r\nx-not-run: 1\r\nx-at-fault: {left.address}\r\n"
                await stream.send_all(head.encode() + b"content-length: 0\r\n\r\n")
                return True

            for item in servers:
                item.script = blames
            reply = await fleet.call("/quick/x", x_tokens="154000")
            self.assertEqual(200, reply.status)
            self.assertEqual(1, sum(1 for item in servers if item.seen))

        run(body, *[whole_stream] * 8)


class OnceTest(testtools.TestCase):
    def test_a_request_that_may_have_run_is_not_sent_again(self) -> None:
        async def breaks(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            return False

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            reply = await fleet.call("/book/x")
            self.assertEqual(502, reply.status)
            self.assertEqual(1, sum(len(item.seen) for item in servers))
            error = json.loads(reply.body)["error"]
            self.assertEqual("outcome_unknown", error["run_state"])

        run(body, breaks, breaks, breaks, service="office")

    def test_a_rejected_request_is_refused_as_not_run(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            reply = await fleet.call("/book/x")
            self.assertEqual(503, reply.status)
            self.assertIn("retry-after", reply.headers)
            self.assertEqual(1, sum(len(item.seen) for item in servers))

        run(body, not_run, not_run, service="office")

    def test_it_does_not_meet_a_connection_that_was_used_before(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            for number in range(3):
                self.assertEqual(200, (await fleet.call("/book/x", f"a{number}")).status)
            self.assertEqual(3, servers[0].connections)

        run(body, plain_success, service="office")

    def test_a_server_that_cannot_be_reached_is_passed_over(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            gone = ScriptedServer(server(8, "office", port=9), plain_success)
            fleet.list_server(gone)
            await trio.sleep(1.2)
            replies = [await fleet.call("/book/x", f"a{number}") for number in range(4)]
            self.assertEqual([200] * 4, [reply.status for reply in replies])

        run(body, plain_success, service="office")

    def test_a_servers_own_failure_is_passed_on_unchanged(self) -> None:
        async def fails(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_answer(seen, "500 Oops", b"it broke"))
            return True

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            reply = await fleet.call("/book/x")
            self.assertEqual((500, b"it broke"), (reply.status, reply.body))
            self.assertEqual("s", reply.headers["x-signature"])

        run(body, fails, service="office")

    def test_an_answer_cut_short_is_not_passed_on(self) -> None:
        async def short(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_answer(seen, body=b"x" * 100)[:-20])
            return False

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            self.assertEqual(502, (await fleet.call("/book/x")).status)

        run(body, short, service="office")


class TimeLimitTest(testtools.TestCase):
    def test_a_servers_answer_at_its_time_limit_is_passed_on_whole(self) -> None:
        async def at_the_limit(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await trio.sleep(float(seen.headers["x-time-left"]))
            await stream.send_all(plain_answer(seen, "504 Late", b"too late"))
            return True

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            reply = await fleet.call("/book/x", x_patience="1.0")
            self.assertEqual((504, b"too late"), (reply.status, reply.body))
            self.assertTrue(reply.whole)

        run(body, at_the_limit, service="office")


class RepeatableTest(testtools.TestCase):
    def test_a_failed_request_is_sent_to_another_server(self) -> None:
        async def fails(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_answer(seen, "500 Oops"))
            return True

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            self.assertEqual(200, (await fleet.call("/look/x")).status)

        script = once(fails, plain_success)
        run(body, script, script, service="office")

    def test_an_extra_answer_reaches_nobody(self) -> None:
        """A server sends a second answer, which lies where the next one is expected."""

        async def twice(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_answer(seen) + plain_answer(seen, body=b"extra"))
            return True

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            for number in range(6):
                reply = await fleet.call("/look/x", f"a{number}")
                self.assertEqual((200, b"done"), (reply.status, reply.body))
                self.assertEqual(f"a{number}", reply.headers["x-attempt"])

        run(body, twice, service="office")

    def test_an_answer_to_another_request_is_not_passed_on(self) -> None:
        async def wrong(seen: HttpRequest, stream: trio.SocketStream) -> bool:
            other = replace(seen, headers={**seen.headers, "x-attempt": "other"})
            await stream.send_all(plain_answer(other))
            return True

        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            self.assertEqual(502, (await fleet.call("/look/x")).status)

        run(body, wrong, wrong, service="office")

    def test_an_answer_before_the_body_is_in_ends_the_connection(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            large = b"x" * 2_000_000

            async def early(stream: trio.SocketStream) -> None:
                while b"\r\n\r\n" not in await stream.receive_some(2000):
                    pass
                await stream.send_all(
                    b"HTTP/1.1 413 Too Large\r\nx-signature: s\r\nx-attempt: a1\r\n"
                    b"content-length: 0\r\n\r\n"
                )
                await trio.sleep(0.5)
                await stream.aclose()

            async with trio.open_nursery() as nursery:
                host = server(7).host
                (listener,) = await trio.open_tcp_listeners(0, host=host)
                nursery.start_soon(trio.serve_listeners, early, [listener])
                port = listener.socket.getsockname()[1]
                entry = ScriptedServer(server(7, "office", port=port), plain_success)
                fleet.list_server(entry)
                await trio.sleep(1.2)
                reply = await fleet.call("/look/x", body=large)
                self.assertEqual(413, reply.status)
                nursery.cancel_scope.cancel()

        run(body, whole_stream)


class RefusalTest(testtools.TestCase):
    def test_unknown_paths_and_keys(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            self.assertEqual(404, (await fleet.call("/nowhere/x")).status)
            self.assertEqual(401, (await fleet.call("/quick/x", x_key="wrong")).status)
            self.assertEqual([], servers[0].seen)

        run(body, whole_stream)

    def test_a_key_that_was_withdrawn_is_refused(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            fleet.publish(replace(CONFIGURATION, version=4, accounts={}))
            while (await fleet.call("/quick/x")).status == 200:
                await trio.sleep(0.05)
            self.assertEqual(401, (await fleet.call("/quick/x")).status)

        run(body, whole_stream)

    def test_an_older_configuration_does_not_come_back(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            fleet.publish(replace(CONFIGURATION, version=2, accounts={}))
            fleet.publish(replace(CONFIGURATION, version=1, routes=()))
            await trio.sleep(0.3)
            self.assertEqual(200, (await fleet.call("/quick/x")).status)

        run(body, whole_stream)

    def test_a_leaving_server_gets_no_more_requests(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            fleet.log.put("servers", servers[0].entry.id, None)
            await trio.sleep(1.3)
            reply = await fleet.call("/quick/x")
            self.assertEqual(503, reply.status)
            self.assertEqual([], servers[0].seen)

        run(body, whole_stream)

    def test_unreadable_requests_are_refused_without_harm(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            smuggled = request_bytes("/quick/x", transfer_encoding="chunked")
            for data, status in [
                (b"NOT HTTP\r\n\r\n", 400),
                (b"GET /" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n", 431),
                (smuggled, 400),
                (request_bytes("/quick/x", x_tokens="many"), 400),
            ]:
                stream = await fleet.connect()
                async with stream:
                    await stream.send_all(data)
                    reply = await read_reply(stream)
                    self.assertEqual(status, reply.status, repr(data[:40]))
            self.assertEqual([], servers[0].seen)
            self.assertEqual(200, (await fleet.call("/quick/x")).status)

        run(body, whole_stream)


class KeptConnectionTest(testtools.TestCase):
    def test_requests_follow_each_other(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            stream = await fleet.connect()
            async with stream:
                for number in range(5):
                    await stream.send_all(request_bytes("/quick/x", f"a{number}"))
                    reply = await read_reply(stream)
                    self.assertEqual(f"a{number}", reply.headers["x-attempt"])

        run(body, whole_stream)

    def test_a_request_sent_ahead_is_answered_next(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            stream = await fleet.connect()
            async with stream:
                both = request_bytes("/book/x", "a1") + request_bytes("/book/x", "a2")
                await stream.send_all(both)
                received = b""
                while received.count(b"done") < 2:
                    received += await stream.receive_some(65536)
                self.assertTrue(received.index(b"a1") < received.index(b"a2"))

        run(body, plain_success, service="office")


class OperatorTest(testtools.TestCase):
    def test_the_metrics_page_counts_requests_and_refusals(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            await fleet.call("/quick/x")
            await fleet.call("/nowhere/x")
            page = await fleet.metrics_page()
            self.assertIn('camphordrift_relay_requests_total{route="quick",status="200"} 1.0', page)
            self.assertIn('camphordrift_relay_refusals_total{code="1003"} 1.0', page)
            self.assertIn("camphordrift_relay_first_event_seconds_bucket", page)
            calls = 'camphordrift_relay_store_calls_total{call="newest",outcome="answered"}'
            self.assertIn(calls, page)
            self.assertIn("camphordrift_relay_configuration_version 3.0", page)

        run(body, whole_stream)

    def test_readiness(self) -> None:
        async def body(fleet: Fleet, servers: list[ScriptedServer]) -> None:
            self.assertTrue(fleet.process.ready)
            fleet.log.is_down = True
            while fleet.process.ready:
                await trio.sleep(0.05)
            failed = 'camphordrift_relay_store_calls_total{call="read",outcome="failed"}'
            self.assertIn(failed, await fleet.metrics_page())

        run(body, whole_stream)
