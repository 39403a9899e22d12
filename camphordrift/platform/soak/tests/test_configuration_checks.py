"""Tests that the soak reports VMs that return to an older configuration."""

from dataclasses import replace

import testtools

from camphordrift.platform.soak import CallerRequest, Observations, find_violations
from camphordrift.platform.soak.tests.samples import EXECUTION, REQUEST

_RAN = replace(REQUEST, id="a1", key="old")
_REJECTED = replace(REQUEST, id="a2", key="old", status=401, signature=None)


class LateConfigurationTest(testtools.TestCase):
    def violations(self, sent_at: float, vm: str = "vm-0") -> list[str]:
        request = replace(_RAN, vm=vm, sent_at=sent_at, head_at=sent_at, ended_at=sent_at)
        observations = Observations(requests={request.id: request})
        observations.executions = [replace(EXECUTION, started_at=sent_at)]
        observations.key_revoked_at["old"] = 10.0
        observations.store_link_disruptions["vm-9"].append((8.0, 8.5))
        return find_violations(observations, 20.0, check_timing=False)

    def test_reports_a_revoked_key_that_is_used_too_late(self) -> None:
        (line,) = self.violations(13.1)
        self.assertIn("key old had been revoked 3.10 s before", line)

    def test_a_revoked_key_may_be_used_until_the_configuration_must_be_in_force(self) -> None:
        self.assertEqual([], self.violations(12.9))

    def test_a_vm_that_was_disrupted_may_use_it_for_longer(self) -> None:
        self.assertEqual([], self.violations(13.1, "vm-9"))


class RollbackTest(testtools.TestCase):
    def violations(self, *requests: CallerRequest, revoked_at: float) -> list[str]:
        observations = Observations(requests={request.id: request for request in requests})
        observations.executions = [EXECUTION]
        observations.key_revoked_at["old"] = revoked_at
        observations.vm_disruptions["vm-9"].append((2.5, 2.6))
        return find_violations(observations, 20.0, check_timing=False)

    def test_reports_a_revoked_key_that_is_accepted_again(self) -> None:
        rejected, ran = replace(_REJECTED, ended_at=2.0), replace(_RAN, sent_at=3.0)
        (line,) = self.violations(rejected, ran, revoked_at=1.0)
        self.assertIn("vm-0 accepted key old of a1 again", line)

    def test_reports_a_new_key_that_is_rejected_again(self) -> None:
        rejected = replace(_REJECTED, sent_at=3.0, ended_at=3.1)
        (line,) = self.violations(_RAN, rejected, revoked_at=10.0)
        self.assertIn("vm-0 rejected key old of a2 again", line)

    def test_a_key_may_be_accepted_before_and_rejected_after_its_revocation(self) -> None:
        rejected = replace(_REJECTED, sent_at=3.0, ended_at=3.1)
        self.assertEqual([], self.violations(_RAN, rejected, revoked_at=2.0))

    def test_a_key_may_be_rejected_before_it_is_known(self) -> None:
        rejected, ran = replace(_REJECTED, ended_at=2.0), replace(_RAN, sent_at=3.0)
        self.assertEqual([], self.violations(rejected, ran, revoked_at=10.0))

    def test_a_vm_that_was_restarted_may_have_an_older_configuration(self) -> None:
        rejected = replace(_REJECTED, vm="vm-9", ended_at=2.0)
        ran = replace(_RAN, vm="vm-9", sent_at=3.0)
        self.assertEqual([], self.violations(rejected, ran, revoked_at=1.0))
