"""Tests that the soak reports VMs that return to an older configuration."""

from dataclasses import replace

import testtools

from camphordrift.platform.soak import CallerRequest, Observations, find_violations
from camphordrift.platform.soak.tests.samples import EXECUTION, REQUEST

_RAN = replace(REQUEST, id="a1", key="old")
_REJECTED = replace(REQUEST, id="a2", key="old", status=401, signature=None)


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
