"""Tests of the control cost measurements, with sizes that run quickly."""

import testtools

from camphordrift.experiments._control_slopes import (
    fit_points,
    measure_account_state,
    measure_membership_state,
    measure_server_state,
    measure_vm_cost,
)


class ControlSlopesTest(testtools.TestCase):
    def test_fit_of_points_on_a_line(self) -> None:
        base, slope = fit_points([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
        self.assertAlmostEqual(3.0, base)
        self.assertAlmostEqual(2.0, slope)

    def test_small_fleet_sends_and_receives_less_than_4_kib_per_second(self) -> None:
        cost = measure_vm_cost(vm_count=7, account_count=10)
        self.assertTrue(0 < cost.sent_bytes + cost.received_bytes < 4096, cost)
        self.assertEqual(12, cost.connections)

    def test_state_size_grows_with_the_records(self) -> None:
        for measure in (measure_membership_state, measure_server_state, measure_account_state):
            small, large = measure(10), measure(100)
            self.assertTrue(0 < small.state_bytes < large.state_bytes < 10 * 2**20)
