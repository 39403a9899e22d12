"""Tests of the bound on what the bodies of requests hold, as decisions without I/O."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from camphordrift.relay.connections._body_budget import (
    SMALL_BODY_BYTES,
    SMALL_BODY_SHARE,
    BodyBudget,
    BodyBudgetError,
    HeldBody,
)

#: Size of a large body, and a budget for eight of them beside the share of small bodies.
LARGE = 4 * SMALL_BODY_BYTES
LIMIT = 8 * LARGE / (1 - SMALL_BODY_SHARE)


class GivingWayTest(testtools.TestCase):
    """Guards against bodies that together exceed the memory, and against those that block it."""

    def setUp(self) -> None:
        super().setUp()
        self.budget = BodyBudget(LIMIT)
        self.gave_way: list[str] = []

    def open(self, name: str, size: int) -> HeldBody:
        body = self.budget.open(lambda: self.gave_way.append(name))
        body.append(b"x" * size)
        return body

    def open_complete(self, count: int) -> list[HeldBody]:
        bodies = [self.open(f"complete {number}", LARGE) for number in range(count)]
        for body in bodies:
            body.complete()
        return bodies

    def test_the_largest_unfinished_body_gives_way(self) -> None:
        self.open_complete(6)
        for name, size in (("larger", LARGE + 1), ("large", LARGE - 1)):
            self.open(name, size)
        self.open("new", SMALL_BODY_BYTES + 1)
        self.assertEqual(["larger"], self.gave_way)

    def test_a_body_that_gave_way_takes_no_more_data(self) -> None:
        self.open_complete(7)
        stalled = self.open("stalled", LARGE)
        self.open("new", SMALL_BODY_BYTES + 1)
        self.assertTrue(stalled.gave_way)
        self.assertRaises(BodyBudgetError, stalled.append, b"x")
        self.assertRaises(BodyBudgetError, stalled.complete)

    def test_complete_bodies_never_give_way(self) -> None:
        self.open_complete(8)
        body = self.budget.open(lambda: self.gave_way.append("new"))
        self.assertRaises(BodyBudgetError, body.append, b"x" * LARGE)
        self.assertEqual(["new"], self.gave_way)

    def test_small_bodies_are_held_while_large_ones_use_up_the_rest(self) -> None:
        self.open_complete(8)
        self.open("small", SMALL_BODY_BYTES)
        self.assertEqual([], self.gave_way)

    def test_a_single_body_is_held_whatever_the_budget(self) -> None:
        body = self.open("single", int(2 * LIMIT))
        self.assertEqual(int(2 * LIMIT), len(body.complete()))

    def test_a_released_body_makes_room(self) -> None:
        self.open_complete(8)[0].release()
        self.open("new", LARGE)
        self.assertEqual([], self.gave_way)

    def test_what_is_not_parsed_gives_way_like_a_body(self) -> None:
        self.open_complete(8)
        head = self.budget.open(lambda: self.gave_way.append("head"))
        head.set_unparsed_size(SMALL_BODY_BYTES)
        for number in range(4):
            self.open(f"small {number}", SMALL_BODY_BYTES - 1)
        self.assertEqual(["head"], self.gave_way)

    def test_what_is_not_parsed_counts_until_it_is_parsed(self) -> None:
        body = self.budget.open(lambda: None)
        body.set_unparsed_size(5)
        body.append(b"xx")
        self.assertEqual((7, 7, 2), (self.budget.unfinished_bytes, body.size, body.content_size))
        body.set_unparsed_size(0)
        self.assertEqual((2, 2), (self.budget.unfinished_bytes, body.size))

    def test_what_is_read_ahead_counts(self) -> None:
        first = self.open_complete(8)[0]
        self.assertFalse(first.read_ahead(1))
        first.release()
        self.assertEqual(7 * LARGE, self.budget.complete_bytes)


#: Steps: number of the body, bytes to append, and whether it is then complete or released.
STEPS = st.lists(
    st.tuples(
        st.integers(0, 5),
        st.sampled_from((1, 1000, SMALL_BODY_BYTES, LARGE, 3 * LARGE)),
        st.sampled_from(("stay", "complete", "read ahead", "release")),
    ),
    max_size=40,
)


class BoundTest(testtools.TestCase):
    @given(STEPS)
    def test_any_order_of_events_stays_within_the_budget(
        self, steps: list[tuple[int, int, str]]
    ) -> None:
        budget = BodyBudget(LIMIT)
        bodies: dict[int, HeldBody] = {}
        completed: set[int] = set()
        for number, size, action in steps:
            body = bodies.setdefault(number, budget.open(lambda: None))
            try:
                if number not in completed:
                    body.append(b"x" * size)
                elif action == "read ahead":
                    body.read_ahead(size)
                if action == "complete" and number not in completed:
                    body.complete()
                    completed.add(number)
            except BodyBudgetError:
                action = "release"
            if action == "release":
                body.release()
                completed.discard(number)
                del bodies[number]
            held = budget.unfinished_bytes + budget.complete_bytes
            largest = max((item.size for item in bodies.values()), default=0)
            self.assertEqual(sum(item.size for item in bodies.values()), held)
            self.assertLessEqual(held, max(LIMIT, largest + LIMIT * SMALL_BODY_SHARE))
            self.assertFalse(any(bodies[item].gave_way for item in completed))


class ResizedBodyTest(testtools.TestCase):
    def test_the_newest_size_counts(self) -> None:
        budget = BodyBudget(LIMIT)
        body = budget.open(lambda: None)
        for size in (10, 3, 0, 7):
            body.resize(size)
            self.assertEqual(size, budget.unfinished_bytes)
        body.release()
        self.assertEqual(0, budget.unfinished_bytes)

    def test_the_largest_gives_way(self) -> None:
        budget, gave_way = BodyBudget(LIMIT), []
        for size in (9 * LARGE // 2, 3 * LARGE, LARGE):
            body = budget.open(lambda size=size: gave_way.append(size))  # type: ignore[misc]
            body.resize(size)
        self.assertEqual([9 * LARGE // 2], gave_way)
        body.resize(0)
        self.assertEqual(3 * LARGE, budget.unfinished_bytes)


class ReleaseTest(testtools.TestCase):
    def test_a_released_body_counts_nothing_any_more(self) -> None:
        # Guards against a total that becomes negative.
        budget = BodyBudget(1000)
        body = budget.open(lambda: None)
        body.set_unparsed_size(50)
        body.release()
        body.set_unparsed_size(0)
        self.assertEqual(0, budget.unfinished_bytes)
