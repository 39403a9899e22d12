"""Tests of the plan by which VMs of an earlier build are replaced."""

import testtools

from camphordrift.platform.soak._faults import draw_faults
from camphordrift.platform.soak._replacement import plan_replacements


def builds_after(seed: int, vms: int) -> list[bool]:
    """Returns for each VM whether it has the earlier build at the end."""
    builds = [True] * vms
    for step in plan_replacements(seed, 15.0, vms):
        builds[step.target] = step.to_former
    return builds


class PlanReplacementsTest(testtools.TestCase):
    def test_runs_end_with_either_build(self) -> None:
        self.assertEqual([False] * 3, builds_after(2, 3))
        self.assertEqual([True] * 3, builds_after(3, 3))

    def test_each_step_changes_the_build_of_one_vm(self) -> None:
        for seed in range(1, 20):
            builds = [True] * 4
            for step in plan_replacements(seed, 15.0, 4):
                self.assertNotEqual(builds[step.target], step.to_former)
                builds[step.target] = step.to_former

    def test_there_is_a_step_back_before_all_vms_are_replaced(self) -> None:
        for seed in range(1, 20):
            targets = [step.target for step in plan_replacements(seed, 15.0, 3) if step.to_former]
            self.assertEqual(4 if seed % 2 else 1, len(targets))

    def test_all_steps_are_within_the_time_of_the_faults(self) -> None:
        starts = [step.start for step in plan_replacements(5, 15.0, 3)]
        self.assertTrue(all(0.0 < start < 15.0 for start in starts))

    def test_replacements_may_be_the_only_faults(self) -> None:
        self.assertEqual([], draw_faults(1, 15.0, ()))
