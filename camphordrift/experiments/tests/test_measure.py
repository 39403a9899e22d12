"""Tests of the simulated workload and of the policy measurement."""

import testtools

from camphordrift.experiments import (
    BAZARNIK,
    KOWALCZYK,
    Case,
    Policy,
    Shape,
    arrivals,
    as_json,
    as_table,
    measure,
)


def short_case(policy: Policy, load: float = 0.7) -> Case:
    return Case("kowalczyk", policy, load, Shape.STEADY, 15.0, 3)


class WorkloadTest(testtools.TestCase):
    def test_offered_tokens_match_the_load(self) -> None:
        for deployment in (KOWALCZYK, BAZARNIK):
            load = arrivals(deployment, 0.7, 2000.0, 1)
            offered = sum(arrival.prompt_tokens for arrival in load) / 2000.0
            self.assertAlmostEqual(0.7, offered / deployment.token_capacity(), delta=0.05)
            long = sum(1 for arrival in load if arrival.prompt_tokens > 100_000)
            self.assertAlmostEqual(0.02, long / len(load), delta=0.003)

    def test_dawn_rush_arrives_in_the_middle_third(self) -> None:
        load = arrivals(BAZARNIK, 0.9, 300.0, 1, Shape.DAWN_RUSH)
        middle = [arrival for arrival in load if 100.0 <= arrival.at < 200.0]
        self.assertTrue(len(middle) > len(load) / 2)


class MeasureTest(testtools.TestCase):
    def test_same_seed_gives_the_same_figures(self) -> None:
        case = short_case(Policy.HOME_POOL)
        first, second = measure(KOWALCZYK, case), measure(KOWALCZYK, case)
        self.assertEqual(as_json([first]), as_json([second]))
        self.assertIn("home_pool", as_table([first]))

    def test_every_policy_ends_every_request(self) -> None:
        for policy in Policy:
            figures = measure(KOWALCZYK, short_case(policy)).figures
            ended = (
                figures.completed + sum(figures.refusals.values()) + sum(figures.failures.values())
            )
            self.assertEqual((figures.offered, 0), (ended, figures.unfinished), policy.value)
