"""Short runs of the routing soak test; ``camphordrift measure soak`` runs longer ones."""

import testtools

from camphordrift.experiments import BAZARNIK, KOWALCZYK, run_soak


class SoakTest(testtools.TestCase):
    def test_invariants_hold_under_faults(self) -> None:
        for deployment, seed in ((KOWALCZYK, 1), (BAZARNIK, 2)):
            soak_result = run_soak(deployment, 0.7, 15.0, seed, mean_interval_seconds=2.0)
            self.assertTrue(soak_result.faults > 0)
            self.assertTrue(soak_result.endings["OK"] > 0, soak_result)

    def test_the_same_seed_gives_the_same_run(self) -> None:
        first, second = (run_soak(KOWALCZYK, 0.5, 6.0, 5, 1.0) for _ in range(2))
        self.assertEqual(first, second)
