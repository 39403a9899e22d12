"""Tests that the soak reports VMs that serve nobody while their paths to servers are cut."""

from dataclasses import replace

import testtools

from camphordrift.platform.soak import Observations, find_violations
from camphordrift.platform.soak._records import PathCut
from camphordrift.platform.soak.tests.samples import REQUEST


class PathCheckTest(testtools.TestCase):
    def observations(self, failed: int, sent_at: float = 16.0) -> Observations:
        """Cuts vm-0 off from 10 s to 30 s; both VMs get thirty requests, some fail."""
        observations = Observations()
        observations.path_cuts.append(PathCut(frozenset(["vm-0"]), 10.0, 30.0))
        for vm, failures in (("vm-0", failed), ("vm-1", 0)):
            for number in range(30):
                request = replace(
                    REQUEST,
                    id=f"{vm}-{number}",
                    kind="once",
                    vm=vm,
                    sent_at=sent_at,
                    timeout=2.0,
                    status=503 if number < failures else 200,
                    complete=True,
                    signature=None if number < failures else "office-1",
                    ended_at=sent_at + 0.1,
                )
                observations.requests[request.id] = request
        return observations

    def violations(self, observations: Observations) -> list[str]:
        return [line for line in find_violations(observations, 60.0) if "without paths" in line]

    def test_reports_vms_that_serve_less_than_two_thirds_as_often(self) -> None:
        (line,) = self.violations(self.observations(failed=12))
        self.assertIn("served 60% of 30 requests, other VMs 100% of 30", line)

    def test_two_thirds_are_enough(self) -> None:
        self.assertEqual([], self.violations(self.observations(failed=10)))

    def test_requests_may_fail_until_the_cut_must_be_known(self) -> None:
        self.assertEqual([], self.violations(self.observations(failed=30, sent_at=13.9)))

    def test_requests_of_vms_that_were_disrupted_do_not_count(self) -> None:
        observations = self.observations(failed=30)
        observations.vm_disruptions["vm-0"].append((14.0, 15.0))
        self.assertEqual([], self.violations(observations))
