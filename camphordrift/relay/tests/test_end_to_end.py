"""End-to-end tests of one relay, with callers and faulty backend servers on loopback sockets."""

import contextlib
import itertools
import json
from dataclasses import replace

import pytest
import testtools
import trio

from camphordrift.relay.connections import _http_server
from camphordrift.relay.model import Account
from camphordrift.relay.requests import _request_handler
from camphordrift.relay.requests._attempt import SOCKET_BUFFERED_BODY_BYTES
from camphordrift.relay.scheduling._placement_values import PlacementDecision, PlacementRequest
from camphordrift.relay.tests.relay_harness import (
    RelayHarness,
    chunk,
    complete_stream,
    events,
    first_then,
    plain_response,
    plain_success,
    read_response,
    rejects_request,
    request_bytes,
    run_scenario,
    stream_head,
)
from camphordrift.relay.tests.samples import (
    CONFIGURATION,
    TOPICS,
    ScriptedServer,
    server,
)
from camphordrift.testing import HttpRequest

pytestmark = pytest.mark.sockets


class StreamTest(testtools.TestCase):
    def test_stream_is_forwarded_completely(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x", body=b"question")
            self.assertEqual(events(1, 5), response.body)
            self.assertTrue(response.complete)
            (request,) = servers[0].requests
            self.assertEqual(b"question", request.body)
            self.assertEqual("school", request.headers["x-account"])
            self.assertNotIn("x-key", request.headers)

        run_scenario(scenario, complete_stream)

    def test_interrupted_stream_is_resumed_on_another_server(self) -> None:
        async def truncates_inside_event(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 3) + b"id: 4\nda"))
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertEqual(events(1, 5), response.body)
            self.assertTrue(response.complete)
            self.assertEqual(2, sum(len(item.requests) for item in servers))

        script = first_then(truncates_inside_event, complete_stream)
        run_scenario(scenario, script, script)

    def test_placement_request_says_whether_stream_is_resumed(self) -> None:
        async def truncates(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 3)))
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            resumed_flags: list[bool] = []
            dispatcher = relay.process._dispatcher
            request_placement = dispatcher.request_placement

            async def record(placement_request: PlacementRequest) -> PlacementDecision:
                resumed_flags.append(placement_request.resumed)
                return await request_placement(placement_request)

            self.patch(dispatcher, "request_placement", record)
            await relay.send_request("/quick/x")
            await relay.send_request("/quick/x", last_event_id="2")
            self.assertEqual([False, True, True], resumed_flags)

        script = first_then(truncates, complete_stream)
        run_scenario(scenario, script, script)

    def test_interrupted_stream_of_long_prompt_is_resumed_on_another_server(self) -> None:
        async def truncates(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 3)))
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            prompt = b"w" * (SOCKET_BUFFERED_BODY_BYTES + 1)
            response = await relay.send_request("/quick/x", body=prompt)
            self.assertEqual(events(1, 5), response.body)
            self.assertTrue(response.complete)

        script = first_then(truncates, complete_stream)
        run_scenario(scenario, script, script)

    def test_duplicate_events_are_forwarded_once(self) -> None:
        async def truncates(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 3)))
            return False

        async def ignores_last_event_id(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 5)) + b"0\r\n\r\n")
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            self.assertEqual(events(1, 5), (await relay.send_request("/quick/x")).body)

        script = first_then(truncates, ignores_last_event_id)
        run_scenario(scenario, script, script)

    def test_stream_that_cannot_be_resumed_is_truncated(self) -> None:
        async def truncates(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 3)))
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x")
            self.assertFalse(response.complete)
            self.assertEqual(2, sum(len(item.requests) for item in servers))

        run_scenario(scenario, truncates, truncates, truncates)

    def test_stream_without_another_server_counts_as_truncated(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async def truncates(request: HttpRequest, stream: trio.SocketStream) -> bool:
                await stream.send_all(stream_head(request) + chunk(events(1, 3)))
                relay.log.put(TOPICS.servers, servers[0].entry.id, None)
                await trio.sleep(0.3)
                return False

            servers[0].script = truncates
            self.assertFalse((await relay.send_request("/quick/x")).complete)
            truncated = 'camphordrift_relay_broken_answers_total{route="quick"} 1'
            self.assertIn(truncated, await relay.metrics_page())

        run_scenario(scenario, complete_stream)

    def test_stream_whose_retry_fails_counts_as_truncated(self) -> None:
        async def truncates(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(1, 3)))
            return False

        async def fails(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_response(request, "500 Internal Server Error"))
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            self.assertFalse((await relay.send_request("/quick/x")).complete)
            truncated = 'camphordrift_relay_broken_answers_total{route="quick"} 1'
            self.assertIn(truncated, await relay.metrics_page())

        script = first_then(truncates, fails)
        run_scenario(scenario, script, script)

    def test_resumed_stream_starts_after_last_event_of_caller(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/quick/x", last_event_id="2")
            self.assertEqual(events(3, 5), response.body)

        async def resumes(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(stream_head(request) + chunk(events(3, 5)) + b"0\r\n\r\n")
            return True

        run_scenario(scenario, resumes)

    def test_unsigned_response_is_not_forwarded(self) -> None:
        async def unsigned(request: HttpRequest, stream: trio.SocketStream) -> bool:
            head = stream_head(request, signed=False)
            await stream.send_all(head + chunk(events(1, 5)) + b"0\r\n\r\n")
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            self.assertEqual(502, (await relay.send_request("/quick/x")).status)

        run_scenario(scenario, unsigned, unsigned)

    def test_caller_disconnect_aborts_request_to_server(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            ended = trio.Event()

            async def never_ends(request: HttpRequest, stream: trio.SocketStream) -> bool:
                await stream.send_all(stream_head(request) + chunk(events(1, 1)))
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.receive_some(1)
                ended.set()
                return False

            servers[0].script = never_ends
            caller = await relay.connect()
            await caller.send_all(request_bytes("/quick/x"))
            await caller.receive_some(1000)
            await caller.aclose()
            with trio.fail_after(5):
                await ended.wait()

        run_scenario(scenario, complete_stream)

    def test_caller_that_does_not_read_counts_as_disconnected(self) -> None:
        self.patch(_http_server, "WRITE_TIMEOUT", 0.2)

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            ended = trio.Event()

            async def never_ends(request: HttpRequest, stream: trio.SocketStream) -> bool:
                await stream.send_all(stream_head(request))
                with contextlib.suppress(trio.BrokenResourceError):
                    for number in itertools.count(1):
                        event = b"id: %d\ndata: %s\n\n" % (number, b"w" * 60_000)
                        await stream.send_all(chunk(event))
                ended.set()
                return False

            servers[0].script = never_ends
            async with await relay.connect() as caller:
                await caller.send_all(request_bytes("/quick/x"))
                with trio.fail_after(5):
                    await ended.wait()
            metrics = await relay.metrics_page()
            self.assertIn('camphordrift_relay_callers_left_total{route="quick"} 1', metrics)

        run_scenario(scenario, complete_stream)


class PrefillHelperTest(testtools.TestCase):
    def test_request_is_retried_on_same_engine_without_failed_helper(self) -> None:
        """Engines can drain unnoticed while the store is unavailable.

        A long prompt needs many of them as prefill helpers.
        """
        blamed: list[str] = []

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async def blames(request: HttpRequest, stream: trio.SocketStream) -> bool:
                others = [s.entry for s in servers if s.entry.id != request.headers["x-server"]]
                drained = next(entry for entry in others if entry.address not in blamed)
                if len(blamed) == 3:
                    return await complete_stream(request, stream)
                blamed.append(drained.address)
                head = f"HTTP/1.1 503 No\r\nx-not-run: 1\r\nx-at-fault: {drained.address}\r\n"
                await stream.send_all(head.encode() + b"content-length: 0\r\n\r\n")
                return True

            for item in servers:
                item.script = blames
            response = await relay.send_request("/quick/x", x_tokens="154000")
            self.assertEqual(200, response.status)
            self.assertEqual(1, sum(1 for item in servers if item.requests))

        run_scenario(scenario, *[complete_stream] * 8)


class AtMostOnceTest(testtools.TestCase):
    def test_request_that_may_have_run_is_not_retried(self) -> None:
        async def truncates(request: HttpRequest, stream: trio.SocketStream) -> bool:
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/book/x")
            self.assertEqual(502, response.status)
            self.assertEqual(1, sum(len(item.requests) for item in servers))
            error = json.loads(response.body)["error"]
            self.assertEqual("outcome_unknown", error["run_state"])

        run_scenario(scenario, truncates, truncates, truncates, service="office")

    def test_rejected_request_is_refused_with_retry_after(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/book/x")
            self.assertEqual(503, response.status)
            self.assertIn("retry-after", response.headers)
            self.assertEqual(1, sum(len(item.requests) for item in servers))

        run_scenario(scenario, rejects_request, rejects_request, service="office")

    def test_each_request_uses_new_connection(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            for number in range(3):
                self.assertEqual(200, (await relay.send_request("/book/x", f"a{number}")).status)
            self.assertEqual(3, servers[0].connections)

        run_scenario(scenario, plain_success, service="office")

    def test_unreachable_server_is_skipped(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            unreachable = ScriptedServer(server(8, "office", port=9), plain_success)
            relay.register_server(unreachable)
            await trio.sleep(1.2)
            responses = [await relay.send_request("/book/x", f"a{number}") for number in range(4)]
            self.assertEqual([200] * 4, [response.status for response in responses])

        run_scenario(scenario, plain_success, service="office")

    def test_error_response_of_server_is_forwarded_unchanged(self) -> None:
        async def fails(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_response(request, "500 Oops", b"it broke"))
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/book/x")
            self.assertEqual((500, b"it broke"), (response.status, response.body))
            self.assertEqual("s", response.headers["x-signature"])

        run_scenario(scenario, fails, service="office")

    def test_truncated_response_is_not_forwarded(self) -> None:
        async def sends_part(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_response(request, body=b"x" * 100)[:-20])
            return False

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            self.assertEqual(502, (await relay.send_request("/book/x")).status)

        run_scenario(scenario, sends_part, service="office")


class DeadlineTest(testtools.TestCase):
    def test_timeout_response_of_server_is_forwarded(self) -> None:
        # Long enough for a busy machine; the server still responds after the deadline.
        self.patch(_request_handler, "LATE_RESPONSE_MARGIN", 5.0)

        async def responds_at_deadline(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await trio.sleep(float(request.headers["x-time-left"]))
            await stream.send_all(plain_response(request, "504 Late", b"too late"))
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/book/x", x_patience="1.0")
            self.assertEqual((504, b"too late"), (response.status, response.body))
            self.assertTrue(response.complete)

        run_scenario(scenario, responds_at_deadline, service="office")


class RetryableTest(testtools.TestCase):
    def test_failed_request_is_retried_on_another_server(self) -> None:
        async def fails(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_response(request, "500 Oops"))
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            self.assertEqual(200, (await relay.send_request("/look/x")).status)

        script = first_then(fails, plain_success)
        run_scenario(scenario, script, script, service="office")

    def test_a_request_that_a_server_failed_is_not_refused_as_not_run(self) -> None:
        """Guards against a false promise when the retry after an error response is rejected."""

        async def fails(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_response(request, "500 Oops"))
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            response = await relay.send_request("/look/x")
            self.assertEqual(502, response.status)
            error = json.loads(response.body)["error"]
            self.assertEqual("outcome_unknown", error["run_state"])

        script = first_then(fails, rejects_request)
        run_scenario(scenario, script, script, service="office")

    def test_an_engine_that_responds_with_errors_gets_few_requests(self) -> None:
        """Guards against an engine that fails at once and therefore always seems to be free.

        On trouble-1 of kowalczyk-kursy-large 18 engines did so with good health checks; they got
        905 requests in four seconds, and one of them 298.
        """

        async def fails(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_response(request, "500 Internal Server Error"))
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            for number in range(12):
                response = await relay.send_request("/quick/x", f"a{number}")
                self.assertEqual(200, response.status)
            self.assertTrue(len(servers[0].requests) <= 2, servers[0].requests)

        run_scenario(scenario, fails, complete_stream)

    def test_surplus_response_is_not_forwarded(self) -> None:
        """A second response must not be taken for the response to the next request."""

        async def responds_twice(request: HttpRequest, stream: trio.SocketStream) -> bool:
            await stream.send_all(plain_response(request) + plain_response(request, body=b"extra"))
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            for number in range(6):
                response = await relay.send_request("/look/x", f"a{number}")
                self.assertEqual((200, b"done"), (response.status, response.body))
                self.assertEqual(f"a{number}", response.headers["x-attempt"])

        run_scenario(scenario, responds_twice, service="office")

    def test_response_to_another_request_is_not_forwarded(self) -> None:
        async def responds_to_other_request(
            request: HttpRequest, stream: trio.SocketStream
        ) -> bool:
            other = replace(request, headers={**request.headers, "x-attempt": "other"})
            await stream.send_all(plain_response(other))
            return True

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            self.assertEqual(502, (await relay.send_request("/look/x")).status)

        run_scenario(
            scenario, responds_to_other_request, responds_to_other_request, service="office"
        )

    def test_response_before_end_of_request_body_is_forwarded(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            large = b"x" * 2_000_000

            async def responds_early(stream: trio.SocketStream) -> None:
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
                nursery.start_soon(trio.serve_listeners, responds_early, [listener])
                port = listener.socket.getsockname()[1]
                early_server = ScriptedServer(server(7, "office", port=port), plain_success)
                relay.register_server(early_server)
                await trio.sleep(1.2)
                response = await relay.send_request("/look/x", body=large)
                self.assertEqual(413, response.status)
                nursery.cancel_scope.cancel()

        run_scenario(scenario, complete_stream)


class RefusalTest(testtools.TestCase):
    def test_unknown_path_or_key_is_refused(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            self.assertEqual(404, (await relay.send_request("/nowhere/x")).status)
            self.assertEqual(401, (await relay.send_request("/quick/x", x_key="wrong")).status)
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, complete_stream)

    def test_revoked_key_is_refused(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.publish(replace(CONFIGURATION, version=4, accounts={}))
            while (await relay.send_request("/quick/x")).status == 200:
                await trio.sleep(0.05)
            self.assertEqual(401, (await relay.send_request("/quick/x")).status)

        run_scenario(scenario, complete_stream)

    def test_a_changed_priority_revokes_no_key(self) -> None:
        """Guards against refusing the retry of a request beside a configuration."""

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            async def truncates(request: HttpRequest, stream: trio.SocketStream) -> bool:
                accounts = {"key-1": Account("school", priority=2)}
                relay.publish(replace(CONFIGURATION, version=4, accounts=accounts))
                await relay.wait_for_version(4)
                await stream.send_all(stream_head(request) + chunk(events(1, 3)))
                return False

            script = first_then(truncates, complete_stream)
            servers[0].script = servers[1].script = script
            response = await relay.send_request("/quick/x")
            self.assertEqual((events(1, 5), True), (response.body, response.complete))

        run_scenario(scenario, complete_stream, complete_stream)

    def test_older_configuration_is_ignored(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.publish(replace(CONFIGURATION, version=2, accounts={}))
            relay.publish(replace(CONFIGURATION, version=1, routes=()))
            await trio.sleep(0.3)
            self.assertEqual(200, (await relay.send_request("/quick/x")).status)

        run_scenario(scenario, complete_stream)

    def test_requests_are_served_while_the_store_is_restored(self) -> None:
        """Guards against servers and keys that are forgotten, also by a VM that stops."""

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            for stopping in (False, True):
                relay.process._stopping = stopping
                relay.log.restore({})
                for number in range(10):
                    await trio.sleep(0.1)
                    response = await relay.send_request("/quick/x", f"{stopping}{number}")
                    self.assertEqual(200, response.status)
                relay.publish(CONFIGURATION)
                relay.register_server(servers[0])
                await relay.wait_until_confirmed()
            relay.log.restore({})
            relay.publish(replace(CONFIGURATION, version=4, accounts={}))
            await relay.wait_for_version(4)
            self.assertEqual(401, (await relay.send_request("/quick/x")).status)

        run_scenario(scenario, complete_stream)

    def test_removed_server_gets_no_requests(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            relay.log.put("servers", servers[0].entry.id, None)
            await trio.sleep(1.3)
            response = await relay.send_request("/quick/x")
            self.assertEqual(503, response.status)
            self.assertEqual([], servers[0].requests)

        run_scenario(scenario, complete_stream)

    def test_request_to_a_plain_service_without_servers_is_refused_at_once(self) -> None:
        """Guards against a request that blocks the event loop until its deadline."""

        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            started = trio.current_time()
            response = await relay.send_request("/look/x")
            self.assertEqual(503, response.status)
            self.assertIn("retry-after", response.headers)
            self.assertTrue(trio.current_time() - started < 0.5)

        run_scenario(scenario, complete_stream)

    def test_malformed_request_is_refused(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            ambiguous = request_bytes("/quick/x", transfer_encoding="chunked")
            for data, status in [
                (b"NOT HTTP\r\n\r\n", 400),
                (b"GET /" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n", 431),
                (ambiguous, 400),
                (request_bytes("/quick/x", x_tokens="many"), 400),
            ]:
                stream = await relay.connect()
                async with stream:
                    await stream.send_all(data)
                    response = await read_response(stream)
                    self.assertEqual(status, response.status, repr(data[:40]))
            self.assertEqual([], servers[0].requests)
            self.assertEqual(200, (await relay.send_request("/quick/x")).status)

        run_scenario(scenario, complete_stream)


class KeepAliveTest(testtools.TestCase):
    def test_connection_is_reused_for_consecutive_requests(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            stream = await relay.connect()
            async with stream:
                for number in range(5):
                    await stream.send_all(request_bytes("/quick/x", f"a{number}"))
                    response = await read_response(stream)
                    self.assertEqual(f"a{number}", response.headers["x-attempt"])

        run_scenario(scenario, complete_stream)

    def test_pipelined_request_is_handled_next(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            stream = await relay.connect()
            async with stream:
                both = request_bytes("/book/x", "a1") + request_bytes("/book/x", "a2")
                await stream.send_all(both)
                received = b""
                while received.count(b"done") < 2:
                    received += await stream.receive_some(65536)
                self.assertTrue(received.index(b"a1") < received.index(b"a2"))

        run_scenario(scenario, plain_success, service="office")


class MonitoringTest(testtools.TestCase):
    def test_metrics_count_requests_and_refusals(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            await relay.send_request("/quick/x")
            await relay.send_request("/nowhere/x")
            page = await relay.metrics_page()
            self.assertIn('camphordrift_relay_requests_total{route="quick",status="200"} 1.0', page)
            self.assertIn('camphordrift_relay_refusals_total{code="1003"} 1.0', page)
            self.assertIn("camphordrift_relay_first_event_seconds_bucket", page)
            calls = 'camphordrift_relay_store_calls_total{call="newest",outcome="answered"}'
            self.assertIn(calls, page)
            self.assertIn("camphordrift_relay_configuration_version 3.0", page)

        run_scenario(scenario, complete_stream)

    def test_vm_is_not_ready_while_store_is_unavailable(self) -> None:
        async def scenario(relay: RelayHarness, servers: list[ScriptedServer]) -> None:
            self.assertTrue(relay.process.ready)
            relay.log.is_down = True
            while relay.process.ready:
                await trio.sleep(0.05)
            failed = 'camphordrift_relay_store_calls_total{call="read",outcome="failed"}'
            self.assertIn(failed, await relay.metrics_page())

        run_scenario(scenario, complete_stream)
