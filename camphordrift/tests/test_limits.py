"""Tests of account limits that apply to all VMs together, over real sockets."""

import json
from dataclasses import replace
from typing import Any

import testtools
import trio

from camphordrift.backend_http import HttpConnections, HttpResponse
from camphordrift.demo import DemoFleet, DemoPlan
from camphordrift.tests.fleet_client import Client, isolated_plan, run_with_fleet

CONCURRENCY_LIMIT = 6


def plan_with_concurrency_limit() -> DemoPlan:
    """Returns a plan of three VMs in which one account has a low concurrency limit."""
    plan = isolated_plan(vm_count=3)
    record = json.loads(json.dumps(plan.record))
    for change in record["changes"]:
        if change["kind"] == "account_limits" and change["key"] == "instructors":
            change["value"]["concurrency"] = CONCURRENCY_LIMIT
    return replace(plan, record=record)


class ConcurrencyTest(testtools.TestCase):
    def test_all_vms_together_keep_the_limit_approximately(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            responses: list[HttpResponse] = []
            body: dict[str, Any] = {
                "model": "course-assistant",
                "prompt": "x",
                "max_tokens": 100,
            }

            async def complete(number: int) -> None:
                client = Client(fleet, connections, number % 3)
                responses.append(await client.send("POST", "/v1/completions", body))

            async with trio.open_nursery() as nursery:
                for number in range(30):
                    nursery.start_soon(complete, number)
            completed = [response for response in responses if response.status == 200]
            refusals = [
                json.loads(response.body)["error"]
                for response in responses
                if response.status != 200
            ]
            self.assertEqual({"concurrency_limit"}, {error["type"] for error in refusals})
            self.assertEqual({"not_run"}, {error["run_state"] for error in refusals})
            for error in refusals:
                self.assertGreater(error["retry_after_seconds"], 0)
            # Each VM may admit one request above the limit; see docs/design/limits.md.
            self.assertLessEqual(len(completed), CONCURRENCY_LIMIT + 3)
            self.assertGreater(len(completed), 0)

        run_with_fleet(test, plan_with_concurrency_limit())
