"""End-to-end tests over real sockets, from callers through entry VMs to stand-ins."""

import json
from typing import Any, Optional

import testtools
import trio
import uuid6

from camphordrift.backend_http import HttpConnections, HttpResponse
from camphordrift.demo import DemoFleet
from camphordrift.tests.fleet_client import ACCOUNT_KEY, Client, run_with_fleet


class GenerationTest(testtools.TestCase):
    def test_streams_all_tokens_in_order_and_ends_the_stream(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            client = Client(fleet, connections)
            body = {
                "model": "course-assistant",
                "prompt": "How is a spinal injury secured in water?",
                "max_tokens": 30,
                "stream": True,
            }
            response = await client.send("POST", "/v1/completions", body)
            self.assertEqual(200, response.status)
            events = [line for line in response.body.split(b"\n\n") if line.startswith(b"data: ")]
            self.assertEqual(b"data: [DONE]", events[-1])
            chunks = [json.loads(event.removeprefix(b"data: ")) for event in events[:-1]]
            text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
            numbers = [word.split(".")[0] for word in text.split()]
            self.assertEqual([f"t{index}" for index in range(30)], numbers)

        run_with_fleet(test)

    def test_chat_without_streaming_returns_the_complete_output(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            body = {
                "model": "course-assistant",
                "messages": [{"role": "user", "content": "Which knots are examined?"}],
                "max_tokens": 5,
            }
            response = await Client(fleet, connections, 1).send(
                "POST", "/v1/chat/completions", body
            )
            self.assertEqual(200, response.status)
            decoded = json.loads(response.body)
            self.assertEqual(5, decoded["usage"]["completion_tokens"])
            self.assertEqual(5, len(decoded["choices"][0]["message"]["content"].split()))

        run_with_fleet(test)

    def test_another_engine_continues_after_an_engine_is_killed(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            body = {"model": "course-assistant", "prompt": "x" * 100, "max_tokens": 100}
            responses: list[HttpResponse] = []

            async def complete() -> None:
                responses.append(
                    await Client(fleet, connections).send("POST", "/v1/completions", body)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(complete)
                await trio.sleep(0.6)
                for engine_id in fleet.standins.engines.engine_ids:
                    if fleet.standins.engines.state(engine_id).load_now().running_requests:
                        fleet.standins.engines.kill(engine_id)
            self.assertEqual(200, responses[0].status)
            words = json.loads(responses[0].body)["choices"][0]["text"].split()
            self.assertEqual(
                [f"t{index}" for index in range(100)], [word.split(".")[0] for word in words]
            )

        run_with_fleet(test)

    def test_another_engine_continues_after_an_engine_freezes(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            body = {"model": "course-assistant", "prompt": "x" * 100, "max_tokens": 100}
            responses: list[HttpResponse] = []

            async def complete() -> None:
                client = Client(fleet, connections)
                responses.append(await client.send("POST", "/v1/completions", body))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(complete)
                await trio.sleep(0.6)
                for engine_id in fleet.standins.engines.engine_ids:
                    if fleet.standins.engines.state(engine_id).load_now().running_requests:
                        fleet.standins.engines.freeze(engine_id)
            self.assertEqual(200, responses[0].status, str(responses[0].body))
            words = json.loads(responses[0].body)["choices"][0]["text"].split()
            self.assertEqual(
                [f"t{index}" for index in range(100)], [word.split(".")[0] for word in words]
            )

        run_with_fleet(test)


class PlainServiceTest(testtools.TestCase):
    def test_forwards_calls_by_path(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            client = Client(fleet, connections)
            response = await client.send("GET", "/booking-office/bookings/b-1")
            self.assertEqual(200, response.status)
            self.assertEqual({"reference": "b-1", "booked": False}, json.loads(response.body))

        run_with_fleet(test)


class IdempotencyTest(testtools.TestCase):
    def test_a_booking_sent_to_two_vms_under_one_key_runs_once(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            headers = (
                ("Idempotency-Key", str(uuid6.uuid7())),
                ("Content-Type", "application/json"),
            )
            responses: list[HttpResponse] = []

            async def book(vm: int) -> None:
                client = Client(fleet, connections, vm)
                responses.append(
                    await client.send(
                        "POST",
                        "/booking-office/bookings",
                        {"reference": "b-7"},
                        headers=headers,
                    )
                )

            async with trio.open_nursery() as nursery:
                for vm in (0, 1, 0, 1):
                    nursery.start_soon(book, vm)
            await book(1)
            # On a busy machine a claim may take effect too late; the booking is then refused as
            # not run.
            while responses[-1].status in (409, 503):
                await trio.sleep(0.05)
                await book(1)
            self.assertEqual(1, fleet.standins.bookings.run_counts["b-7"])
            self.assertEqual(200, responses[-1].status)
            self.assertEqual(1, json.loads(responses[-1].body)["runs"])
            self.assertEqual("true", responses[-1].headers["camphordrift-repeated"])

        run_with_fleet(test)

    def test_a_booking_is_refused_as_not_run_during_a_log_outage(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            fleet.standins.control.apply("log.outage", {})
            response = await Client(fleet, connections).send(
                "POST",
                "/booking-office/bookings",
                {"reference": "b-8"},
                headers=(("Idempotency-Key", str(uuid6.uuid7())),),
            )
            self.assertEqual(503, response.status)
            self.assertEqual("not_run", json.loads(response.body)["error"]["run_state"])
            self.assertEqual(0, fleet.standins.bookings.run_counts["b-8"])

        run_with_fleet(test)

    def test_a_booking_whose_response_is_lost_is_not_retried(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            for server in ("booking-1", "booking-2"):
                fleet.standins.control.apply("service.lose_answers", {"server_id": server})
            client = Client(fleet, connections)
            headers = (("Idempotency-Key", str(uuid6.uuid7())),)

            async def book() -> HttpResponse:
                return await client.send(
                    "POST", "/booking-office/bookings", {"reference": "b-9"}, headers=headers
                )

            response = await book()
            while response.status == 503:
                response = await book()
            for _ in range(3):
                self.assertIn(response.status, (409, 504), str(response.body))
                state = json.loads(response.body)["error"]["run_state"]
                self.assertEqual("outcome_unknown", state)
                response = await book()
            self.assertEqual(1, fleet.standins.bookings.run_counts["b-9"])

        run_with_fleet(test)


class InvalidInputTest(testtools.TestCase):
    CASES: tuple[tuple[str, str, Any, Optional[str], tuple[tuple[str, str], ...], int], ...] = (
        ("POST", "/v1/completions", b"{", ACCOUNT_KEY, (), 400),
        ("POST", "/v1/completions", b"\xff\xfe", ACCOUNT_KEY, (), 400),
        ("POST", "/v1/completions", b"[]", ACCOUNT_KEY, (), 400),
        ("POST", "/v1/completions", b"", ACCOUNT_KEY, (), 400),
        ("POST", "/v1/completions", {"model": 3, "prompt": "x"}, ACCOUNT_KEY, (), 400),
        ("POST", "/v1/completions", {"model": "course-assistant"}, ACCOUNT_KEY, (), 400),
        (
            "POST",
            "/v1/completions",
            {"model": "course-assistant", "prompt": "x", "max_tokens": -1},
            ACCOUNT_KEY,
            (),
            400,
        ),
        (
            "POST",
            "/v1/completions",
            {"model": "course-assistant", "prompt": "x", "max_tokens": 10**30},
            ACCOUNT_KEY,
            (),
            400,
        ),
        ("POST", "/v1/completions", {"model": "other", "prompt": "x"}, ACCOUNT_KEY, (), 404),
        ("POST", "/v1/completions", {"model": "course-assistant", "prompt": "x"}, "no", (), 401),
        ("POST", "/v1/completions", {"model": "course-assistant", "prompt": "x"}, None, (), 401),
        (
            "POST",
            "/v1/completions",
            {"model": "course-assistant", "prompt": "x"},
            ACCOUNT_KEY,
            (("Camphordrift-Timeout-Seconds", "soon"),),
            400,
        ),
        (
            "POST",
            "/v1/completions",
            {"model": "course-assistant", "prompt": "x"},
            ACCOUNT_KEY,
            (("Camphordrift-Timeout-Seconds", "nan"),),
            400,
        ),
        ("POST", "/v1/completions", b"x" * 17_000_000, ACCOUNT_KEY, (), 413),
        ("GET", "/v1/completions", None, ACCOUNT_KEY, (), 405),
        ("GET", "/nowhere", None, ACCOUNT_KEY, (), 404),
        (
            "POST",
            "/v1/chat/completions",
            {"model": "course-assistant", "messages": "hello"},
            ACCOUNT_KEY,
            (),
            400,
        ),
    )

    def test_gets_the_expected_status_and_is_not_run(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            client = Client(fleet, connections)
            for method, target, body, key, headers, status in self.CASES:
                response = await client.send(method, target, body, key, headers)
                self.assertEqual(
                    status,
                    response.status,
                    f"{method} {target} returned {response.body!r}",
                )
                self.assertEqual("not_run", json.loads(response.body)["error"]["run_state"])

        run_with_fleet(test)
