"""Tests of account limits over all VMs, over real sockets."""

import json
from dataclasses import replace
from typing import Any

import testtools
import trio

from camphordrift.backend_http import HttpAnswer, HttpConnections
from camphordrift.demo import DemoFleet, DemoPlan
from camphordrift.tests.fleet_client import Client, isolated_plan, run_with_fleet

CONCURRENCY = 6


def plan_with_concurrency() -> DemoPlan:
    """Returns a plan in which one account may run few requests at once."""
    plan = isolated_plan(vm_count=3)
    record = json.loads(json.dumps(plan.record))
    for change in record["changes"]:
        if change["kind"] == "account_limits" and change["key"] == "instructors":
            change["value"]["concurrency"] = CONCURRENCY
    return replace(plan, record=record)


class ConcurrencyTest(testtools.TestCase):
    def test_all_vms_together_run_about_what_the_account_may(self) -> None:
        async def test(fleet: DemoFleet, connections: HttpConnections) -> None:
            answers: list[HttpAnswer] = []
            body: dict[str, Any] = {
                "model": "course-assistant",
                "prompt": "x",
                "max_tokens": 100,
            }

            async def ask(number: int) -> None:
                client = Client(fleet, connections, number % 3)
                answers.append(await client.send("POST", "/v1/completions", body))

            async with trio.open_nursery() as nursery:
                for number in range(30):
                    nursery.start_soon(ask, number)
            completed = [answer for answer in answers if answer.status == 200]
            refused = [
                json.loads(answer.body)["error"] for answer in answers if answer.status != 200
            ]
            self.assertEqual({"concurrency_limit"}, {error["type"] for error in refused})
            self.assertEqual({"not_run"}, {error["run_state"] for error in refused})
            for error in refused:
                self.assertGreater(error["retry_after_seconds"], 0)
            # One request for each VM may come on top of the limit; see docs/design/limits.md.
            self.assertLessEqual(len(completed), CONCURRENCY + 3)
            self.assertGreater(len(completed), 0)

        run_with_fleet(test, plan_with_concurrency())
