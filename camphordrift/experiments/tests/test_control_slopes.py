"""Tests of the measurement of control costs, with sizes that take little time."""

import testtools

from camphordrift.experiments._control_slopes import (
    measure_account_state,
    measure_membership_state,
    measure_server_state,
    measure_vm_cost,
    slope,
)


class ControlSlopesTest(testtools.TestCase):
    def test_line_through_points(self) -> None:
        base, rise = slope([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
        self.assertAlmostEqual(3.0, base)
        self.assertAlmostEqual(2.0, rise)

    def test_control_bytes_of_a_small_fleet_stay_below_four_kilobytes_a_second(self) -> None:
        cost = measure_vm_cost(vm_count=7, account_count=10)
        self.assertTrue(0 < cost.sent_bytes + cost.received_bytes < 4096, cost)
        self.assertEqual(12, cost.connections)

    def test_state_grows_with_the_records(self) -> None:
        for measure in (measure_membership_state, measure_server_state, measure_account_state):
            small, large = measure(10), measure(100)
            self.assertTrue(0 < small.state_bytes < large.state_bytes < 10 * 2**20)
