"""Runs five seeds of each fault model; ``_faults_soak.py`` runs many."""

import testtools

from camphordrift.experiments._faults_soak import MODELS, run_seeds


class FaultsSoakTest(testtools.TestCase):
    def test_invariants_hold_in_each_model(self) -> None:
        for name in sorted(MODELS.keys() - {"calls"}):
            self.assertEqual(5, run_seeds(name, 1000, 5))
