"""Tests that the soak reports requests to servers that leave or turn requests away."""

from dataclasses import replace

import testtools

from camphordrift.platform.soak import Observations, find_violations
from camphordrift.platform.soak._records import Arrival
from camphordrift.platform.soak.tests.samples import EXECUTION, REQUEST


class LeavingServerTest(testtools.TestCase):
    def violations(self, sent_at: float, leaving: bool = True, vm: str = "vm-0") -> list[str]:
        """The first request gets its response at 1.4 s; the second is sent at ``sent_at``."""
        second_request = replace(
            REQUEST, id="a2", vm=vm, sent_at=sent_at, head_at=sent_at, ended_at=sent_at
        )
        second_execution = replace(EXECUTION, request_id="a2", started_at=sent_at, leaving=True)
        observations = Observations(
            requests={"a1": REQUEST, "a2": second_request},
            executions=[replace(EXECUTION, leaving=leaving), second_execution],
        )
        observations.vm_disruptions["vm-0"].append((8.0, 8.5))
        return find_violations(observations, 20.0)

    def test_reports_requests_that_are_sent_too_late(self) -> None:
        (line,) = self.violations(3.5)
        self.assertIn("says that it leaves", line)

    def test_requests_may_be_sent_until_the_drain_delay_has_passed(self) -> None:
        self.assertEqual([], self.violations(3.3))
        self.assertEqual([], self.violations(3.5, leaving=False))

    def test_vms_that_were_not_told_or_restarted_may_send_requests(self) -> None:
        self.assertEqual([], self.violations(3.5, vm="vm-1"))
        self.assertEqual([], self.violations(9.0))


class LimitTest(testtools.TestCase):
    def violations(self, count: int, first_at: float, vm: str = "vm-0") -> list[str]:
        """A limit of one request per second is named from 10 s on, which allows 11 in 4 s."""
        observations = Observations()
        observations.vm_disruptions["vm-9"].append((12.0, 12.1))
        for number in range(count):
            at = first_at + number * 0.3
            request = replace(
                REQUEST, id=f"r{number}", vm=vm, sent_at=at, head_at=at, ended_at=at, status=503
            )
            observations.requests[request.id] = replace(request, signature=None, body=b"")
            arrival = Arrival(request.id, "office-1", at, limit=1.0, limited_since=10.0)
            observations.arrivals.append(arrival)
        return find_violations(observations, 30.0)

    def test_reports_requests_beyond_the_limit(self) -> None:
        (line,) = self.violations(12, 13.0)
        self.assertIn("got 12 requests in 4 s at a limit of 1 per second; allowed 11", line)

    def test_requests_may_arrive_within_the_limit_or_before_it_holds(self) -> None:
        self.assertEqual([], self.violations(11, 13.0))
        self.assertEqual([], self.violations(14, 10.5))

    def test_requests_of_a_vm_that_was_restarted_do_not_count(self) -> None:
        self.assertEqual([], self.violations(20, 13.0, "vm-9"))


class ColdTest(testtools.TestCase):
    def violations(self, count: int, first_at: float, vm: str = "vm-0") -> list[str]:
        """A server is cold from 10 s on, at one request per second, which allows 6 in 1 s."""
        observations = Observations()
        observations.vm_disruptions["vm-9"].append((12.0, 12.1))
        observations.store_link_disruptions["vm-8"].append((10.5, 11.0))
        for number in range(count):
            at = first_at + number * 0.1
            request = replace(
                REQUEST, id=f"r{number}", vm=vm, sent_at=at, head_at=at, ended_at=at, status=503
            )
            observations.requests[request.id] = replace(request, signature=None, body=b"")
            observations.arrivals.append(Arrival(request.id, "office-1", at, cold_since=10.0))
        return find_violations(observations, 30.0)

    def test_reports_requests_beyond_the_bound(self) -> None:
        (line,) = self.violations(7, 13.1)
        self.assertIn("got 7 requests in 1 s while it was cold; allowed 6.5", line)

    def test_requests_may_arrive_within_the_bound_or_before_it_is_known(self) -> None:
        self.assertEqual([], self.violations(6, 13.1))
        self.assertEqual([], self.violations(20, 10.1))

    def test_requests_of_a_vm_that_may_not_know_do_not_count(self) -> None:
        self.assertEqual([], self.violations(9, 13.1, "vm-9"))
        self.assertEqual([], self.violations(9, 13.1, "vm-8"))


class DrainingServerTest(testtools.TestCase):
    def violations(self, sent_at: float, vm: str = "vm-0", server: str = "office-1") -> list[str]:
        request = replace(REQUEST, vm=vm, sent_at=sent_at, head_at=sent_at, ended_at=sent_at)
        execution = replace(EXECUTION, server=server, started_at=sent_at)
        observations = Observations(requests={"a1": request}, executions=[execution])
        observations.draining_at = {"office-1": 10.0, "office-2": 10.0}
        observations.vm_disruptions["vm-1"].append((8.0, 8.5))
        observations.vm_disruptions["vm-2"].append((14.0, 14.5))
        observations.store_link_disruptions["vm-3"].append((12.0, 12.5))
        observations.store_link_disruptions["vm-0"].append((14.0, 14.5))
        observations.server_disruptions["office-2"].append((13.0, 14.0))
        return find_violations(observations, 20.0)

    def test_reports_requests_that_are_sent_too_late(self) -> None:
        (line,) = self.violations(13.1)
        self.assertIn("listed as draining", line)
        self.assertEqual(1, len(self.violations(15.0)))

    def test_requests_may_be_sent_until_the_vm_must_know(self) -> None:
        self.assertEqual([], self.violations(12.9))
        self.assertEqual([], self.violations(15.0, server="office-2"))

    def test_vms_that_were_not_in_touch_may_send_requests(self) -> None:
        for vm in ("vm-1", "vm-2", "vm-3"):
            self.assertEqual([], self.violations(15.0, vm=vm))


class PauseTest(testtools.TestCase):
    def violations(self, *arrived_at: float, vm: str = "vm-0") -> list[str]:
        """The first request is refused at 2 s, with a pause until 6 s."""
        observations = Observations()
        observations.vm_disruptions["vm-1"].append((3.0, 3.1))
        for number, at in enumerate((2.0, *arrived_at)):
            request = replace(
                REQUEST, id=f"a{number}", vm=vm, kind="stream", status=503, complete=True
            )
            observations.requests[request.id] = request
            observations.arrivals.append(Arrival(request.id, "engine-1", at))
        observations.arrivals[0].refused_at = 2.0
        observations.arrivals[0].pause_ends_at = 6.0
        return find_violations(observations, 20.0, check_timing=False)

    def test_reports_more_than_two_requests_in_a_pause(self) -> None:
        self.assertEqual(
            ["engine-1 got 3 requests of vm-0 in a pause for which it had asked"],
            self.violations(3.6, 4.0, 5.9),
        )
        self.assertEqual([], self.violations(3.6, 5.9))

    def test_requests_may_arrive_at_the_start_and_after_the_end_of_a_pause(self) -> None:
        self.assertEqual([], self.violations(2.4, 2.5, 2.6, 6.1, 6.2, 6.3))

    def test_requests_of_a_vm_that_was_disrupted_do_not_count(self) -> None:
        self.assertEqual([], self.violations(3.6, 4.0, 5.9, vm="vm-1"))
