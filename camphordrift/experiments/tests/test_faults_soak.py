"""Runs a few seeds of each fault model; thousands are run by its command."""

import testtools

from camphordrift.experiments._faults_soak import MODELS, run_seeds


class FaultsSoakTest(testtools.TestCase):
    def test_a_few_seeds_of_each_model_hold(self) -> None:
        for name in sorted(MODELS.keys() - {"calls"}):
            self.assertEqual(5, run_seeds(name, 1000, 5))
