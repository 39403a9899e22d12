"""Tests that the soak reports requests to the servers of evacuated zones."""

from dataclasses import replace

import testtools

from camphordrift.platform.soak import Observations, find_violations
from camphordrift.platform.soak._records import Arrival, Evacuation
from camphordrift.platform.soak.tests.samples import REQUEST


class EvacuationTest(testtools.TestCase):
    def violations(self, at: float, vm: str = "vm-0", server: str = "engine-1") -> list[str]:
        """Zone z0, with engine-1, is evacuated from 10 s to 20 s."""
        request = replace(REQUEST, vm=vm, sent_at=at, head_at=at, ended_at=at, status=503)
        observations = Observations(
            requests={"a1": replace(request, signature=None, body=b"")},
            arrivals=[Arrival("a1", server, at)],
            zones={"engine-1": "z0", "engine-2": "z1", "engine-3": "z0"},
            evacuations=[Evacuation("z0", 10.0, 20.0)],
        )
        observations.vm_disruptions["vm-1"].append((11.0, 11.5))
        observations.vm_disruptions["vm-2"].append((16.5, 17.0))
        observations.store_link_disruptions["vm-3"].append((15.0, 15.5))
        observations.store_link_disruptions["vm-0"].append((16.2, 16.5))
        observations.server_disruptions["engine-3"].append((16.0, 17.0))
        return find_violations(observations, 30.0)

    def test_reports_requests_that_arrive_too_late(self) -> None:
        (line,) = self.violations(16.1)
        self.assertIn("engine-1 got a1 6.10 s after z0 was evacuated", line)
        self.assertEqual(1, len(self.violations(19.9)))

    def test_requests_may_arrive_until_the_vm_must_know(self) -> None:
        self.assertEqual([], self.violations(15.9))

    def test_requests_may_arrive_after_the_zone_was_taken_back(self) -> None:
        self.assertEqual([], self.violations(20.1))

    def test_requests_to_other_zones_may_arrive(self) -> None:
        self.assertEqual([], self.violations(18.0, server="engine-2"))

    def test_vms_that_were_not_in_touch_may_send_requests(self) -> None:
        for vm in ("vm-1", "vm-2", "vm-3"):
            self.assertEqual([], self.violations(18.0, vm=vm))

    def test_requests_that_were_held_up_may_arrive(self) -> None:
        self.assertEqual([], self.violations(18.0, server="engine-3"))
