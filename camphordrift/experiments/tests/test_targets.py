"""Tests of the routing targets at 70% of the token capacity and above it.

The bounds are the targets themselves. ``camphordrift measure`` measures the same targets at 90%
and over longer runs.
"""

from functools import cache
from typing import Optional

import testtools

from camphordrift.experiments import (
    BAZARNIK,
    KOWALCZYK,
    Case,
    Deployment,
    Figures,
    Policy,
    Shape,
    measure,
)

SECONDS = 30.0
SEED = 1

#: Arrival period of the run that checks the slowdown targets, in virtual seconds.
SLOWDOWN_SECONDS = 60.0

#: Refusals must come within this share of the request's timeout.
EARLY_SHARE = 0.1


@cache
def figures(
    deployment: Deployment, policy: Policy, load: float = 0.7, seconds: float = SECONDS
) -> Figures:
    case = Case(deployment.name, policy, load, Shape.STEADY, seconds, SEED)
    return measure(deployment, case).figures


def slowdown(policy: Policy) -> float:
    return number(figures(KOWALCZYK, policy).short_slowdown.p99)


def first_token(policy: Policy) -> float:
    return number(figures(BAZARNIK, policy).first_token["short"].p95)


def number(value: Optional[float]) -> float:
    assert value is not None, "no value was measured"
    return value


class ShortSlowdownTest(testtools.TestCase):
    def test_p99_at_most_one_and_a_half(self) -> None:
        found = figures(KOWALCZYK, Policy.HOME_POOL, seconds=SLOWDOWN_SECONDS)
        self.assertTrue(number(found.short_slowdown.p99) <= 1.5, found.short_slowdown)

    def test_three_times_better_than_round_robin(self) -> None:
        self.assertTrue(slowdown(Policy.ROUND_ROBIN) >= 3 * slowdown(Policy.HOME_POOL))

    def test_three_times_better_than_least_reported_load(self) -> None:
        self.assertTrue(slowdown(Policy.LEAST_LOAD) >= 3 * slowdown(Policy.HOME_POOL))

    def test_near_perfect_knowledge(self) -> None:
        bound = slowdown(Policy.SHORTEST_QUEUE)
        self.assertTrue(slowdown(Policy.HOME_POOL) <= 1.3 * bound)


class FirstTokenTest(testtools.TestCase):
    def test_p95_at_most_half_a_second(self) -> None:
        self.assertTrue(first_token(Policy.HOME_POOL) <= 0.53)

    def test_three_times_better_than_the_baselines(self) -> None:
        for policy in (Policy.ROUND_ROBIN, Policy.LEAST_LOAD):
            self.assertTrue(first_token(policy) >= 3 * first_token(Policy.HOME_POOL), policy.value)

    def test_near_perfect_knowledge(self) -> None:
        bound = first_token(Policy.SHORTEST_QUEUE)
        self.assertTrue(first_token(Policy.HOME_POOL) <= 1.3 * bound)


class LongPromptTest(testtools.TestCase):
    def test_at_most_one_and_a_half_times_their_time_alone(self) -> None:
        found = figures(KOWALCZYK, Policy.HOME_POOL, seconds=SLOWDOWN_SECONDS)
        self.assertTrue(number(found.long_slowdown.p95) <= 1.5, found.long_slowdown)

    def test_none_starves(self) -> None:
        found = figures(KOWALCZYK, Policy.HOME_POOL, seconds=SLOWDOWN_SECONDS)
        self.assertEqual((found.offered, {}, {}), (found.completed, found.refusals, found.failures))


class PastCapacityTest(testtools.TestCase):
    def test_goodput_stays(self) -> None:
        at, past = (figures(KOWALCZYK, Policy.HOME_POOL, load) for load in (1.0, 1.5))
        self.assertTrue(past.goodput >= 0.9 * at.goodput)
        self.assertTrue(past.goodput_tokens >= 0.9 * at.goodput_tokens)

    def test_refusals_are_early(self) -> None:
        found = figures(KOWALCZYK, Policy.HOME_POOL, 1.5).refusal_lateness
        self.assertTrue(found.p95 is None or found.p95 <= EARLY_SHARE, found)
