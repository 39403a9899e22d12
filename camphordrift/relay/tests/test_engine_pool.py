"""Tests of the placement of prompts, each with the load that it answers."""

import sys
from collections.abc import Callable
from types import FrameType

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay._engine_planner import MAX_PREFILLING_REQUESTS, PlacementRound
from camphordrift.relay._engine_pool import EnginePool
from camphordrift.relay._placement_values import (
    AttemptOutcome,
    Grant,
    PlacementDecision,
    PlacementRefusal,
    RefusalReason,
)
from camphordrift.relay.tests.samples import COSTS, ask, server


def pool_of(engines: int) -> EnginePool:
    pool = EnginePool(COSTS)
    pool.set_servers([server(number) for number in range(engines)])
    return pool


def place(pool: EnginePool, ask_id: str, tokens: int, now: float = 0.0, **changes: object) -> Grant:
    pool.submit(ask(ask_id, tokens, **changes), now)
    (decision,) = pool.decide(now)
    assert isinstance(decision, Grant), decision
    return decision


class ShortPromptTest(testtools.TestCase):
    def test_short_prompts_share_engines(self) -> None:
        """A steady load of short prompts leaves most engines free for long ones."""
        pool = pool_of(23)
        used = set()
        for number in range(24):
            now = number * 0.2
            used.add(place(pool, f"r{number}", 5000, now).server.id)
            pool.record_first_event(f"r{number}", now + 0.1)
        self.assertTrue(len(used) <= 4, used)

    def test_prompts_that_arrive_together_do_not_queue_behind_each_other(self) -> None:
        """A burst within one pass must not stack its reading on one engine."""
        pool = pool_of(23)
        grants = [place(pool, f"r{number}", 5000) for number in range(40)]
        self.assertTrue(max(grant.first_event for grant in grants) <= 0.3)

    def test_no_engine_gets_more_than_its_slots(self) -> None:
        pool = pool_of(2)
        for number in range(40):
            pool.submit(ask(f"r{number}", 500), 0.0)
        grants = [item for item in pool.decide(0.0) if isinstance(item, Grant)]
        per_engine = [grant.server.id for grant in grants]
        self.assertTrue(len(grants) <= 2 * COSTS.slots)
        self.assertTrue(max(per_engine.count(name) for name in set(per_engine)) <= COSTS.slots)

    def test_a_waiting_prompt_gets_the_slot_that_comes_free(self) -> None:
        pool = pool_of(1)
        for number in range(COSTS.slots):
            now = number * 1.0
            place(pool, f"r{number}", 500, now, time_left=60.0)
            pool.record_first_event(f"r{number}", now + 0.1)
        pool.submit(ask("waits", 500), 8.0)
        self.assertEqual([], pool.decide(8.0))
        pool.record_finished("r0", AttemptOutcome.SERVED, 8.1)
        (decision,) = pool.decide(8.1)
        self.assertIsInstance(decision, Grant)


class LongPromptTest(testtools.TestCase):
    def test_a_long_prompt_is_read_in_parts(self) -> None:
        grant = place(pool_of(23), "long", 154_000)
        self.assertTrue(len(grant.helpers) >= 7)
        self.assertTrue(grant.first_event < 3.0 * 0.8)

    def test_parts_keep_off_engines_with_short_pauses(self) -> None:
        """A regulation that arrives beside quick questions does not stretch their pauses."""
        pool = pool_of(23)
        short = place(pool, "short", 5000)
        pool.record_first_event("short", 0.1)
        grant = place(pool, "long", 154_000, 0.2)
        engines = {grant.server.id, *(helper.id for helper in grant.helpers)}
        self.assertNotIn(short.server.id, engines)

    def test_parts_choose_free_engines_before_those_that_read(self) -> None:
        pool = pool_of(23)
        first = place(pool, "one", 100_000)
        second = place(pool, "two", 100_000, 0.05)
        self.assertEqual(set(), _engine_ids(first) & _engine_ids(second))

    def test_a_long_prompt_waits_rather_than_stretch_pauses(self) -> None:
        pool = pool_of(1)
        place(pool, "short", 5000)
        pool.record_first_event("short", 0.1)
        pool.submit(ask("long", 154_000), 0.2)
        self.assertEqual([], pool.decide(0.2))
        pool.record_finished("short", AttemptOutcome.SERVED, 0.3)
        (decision,) = pool.decide(0.3)
        self.assertIsInstance(decision, Grant)


class LargePromptTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.integers(300_000, 900_000), st.integers(4, 23))
    def test_memory_is_shared_out_without_exceeding_an_engine(
        self, tokens: int, engines: int
    ) -> None:
        pool = pool_of(engines)
        grant = place(pool, "large", tokens, time_left=60.0)
        kept_first = tokens + 1000 - sum(grant.helper_memory)
        self.assertTrue(0 < kept_first <= COSTS.memory_tokens)
        self.assertTrue(all(part <= COSTS.memory_tokens for part in grant.helper_memory))
        self.assertEqual(len(grant.helpers), len(grant.helper_memory))
        self.assertTrue(len(grant.helpers) <= 16)

    def test_a_prompt_that_never_fits_is_refused_at_once(self) -> None:
        pool = pool_of(2)
        pool.submit(ask("huge", 900_000, time_left=60.0), 0.0)
        (decision,) = pool.decide(0.0)
        assert isinstance(decision, PlacementRefusal)
        self.assertEqual(RefusalReason.NEVER_FITS, decision.reason)

    def test_memory_comes_back_at_the_end(self) -> None:
        pool = pool_of(4)
        place(pool, "one", 700_000, time_left=60.0)
        pool.record_first_event("one", 3.0)
        pool.record_finished("one", AttemptOutcome.SERVED, 4.0)
        place(pool, "two", 700_000, 4.0, time_left=60.0)


class FailureTest(testtools.TestCase):
    def test_an_engine_that_failed_is_left_alone(self) -> None:
        pool = pool_of(3)
        failed = place(pool, "one", 5000).server.id
        pool.record_finished("one", AttemptOutcome.SILENT, 0.5)
        grants = [place(pool, f"r{number}", 5000, 0.6) for number in range(6)]
        self.assertNotIn(failed, {grant.server.id for grant in grants})

    def test_an_excluded_engine_is_not_chosen(self) -> None:
        pool = pool_of(2)
        grant = place(pool, "one", 5000, excluded=("engines-0",))
        self.assertEqual("engines-1", grant.server.id)

    def test_a_request_that_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        pool = pool_of(2)
        pool.submit(ask("late", 154_000, time_left=0.5), 0.0)
        (decision,) = pool.decide(0.0)
        assert isinstance(decision, PlacementRefusal)
        self.assertEqual(RefusalReason.TOO_LATE, decision.reason)

    def test_the_rest_of_an_answer_is_not_refused_for_the_length_of_the_whole(self) -> None:
        """An engine dies when it has nearly written a long answer."""
        pool = pool_of(2)
        pool.submit(ask("whole", 500, answer_tokens=8000, time_left=2.0), 0.0)
        (decision,) = pool.decide(0.0)
        assert isinstance(decision, PlacementRefusal)
        self.assertEqual(RefusalReason.TOO_LATE, decision.reason)
        place(pool, "rest", 500, answer_tokens=8000, time_left=2.0, resumed=True)

    def test_no_engine_at_all_is_said_at_once(self) -> None:
        pool = EnginePool(COSTS)
        pool.submit(ask("one"), 0.0)
        (decision,) = pool.decide(0.0)
        assert isinstance(decision, PlacementRefusal)
        self.assertEqual(RefusalReason.NO_ENGINE, decision.reason)

    def test_a_request_that_every_engine_failed_is_refused_at_once(self) -> None:
        pool = pool_of(2)
        pool.submit(ask("one", excluded=("engines-0", "engines-1")), 0.0)
        (decision,) = pool.decide(0.0)
        assert isinstance(decision, PlacementRefusal)
        self.assertEqual(RefusalReason.NO_ENGINE, decision.reason)

    def test_an_engine_that_says_nothing_gets_few_requests(self) -> None:
        """A dead engine stays listed for a while; short prompts must not pile up on it."""
        pool = pool_of(4)
        for number in range(30):
            now = number * 0.1
            grant = place(pool, f"r{number}", 500, now)
            if grant.server.id != "engines-0":
                pool.record_first_event(f"r{number}", now + 0.05)
                pool.record_finished(f"r{number}", AttemptOutcome.SERVED, now + 0.08)
        self.assertTrue(len(pool._engines["engines-0"].tasks) <= MAX_PREFILLING_REQUESTS)

    def test_an_engine_that_failed_gets_one_request_until_it_answers(self) -> None:
        pool = pool_of(2)
        place(pool, "one", 500, excluded=("engines-1",))
        pool.record_finished("one", AttemptOutcome.SILENT, 0.5)
        for number in range(8):
            place(pool, f"r{number}", 500, 2.0 + number * 0.1)
            if number != 0:
                pool.record_first_event(f"r{number}", 2.05 + number * 0.1)
        self.assertTrue(len(pool._engines["engines-0"].tasks) <= 1)

    def test_long_prompts_keep_off_engines_that_failed_lately(self) -> None:
        pool = pool_of(8)
        place(pool, "one", 500, excluded=tuple(f"engines-{n}" for n in range(1, 8)))
        pool.record_finished("one", AttemptOutcome.SILENT, 0.5)
        grant = place(pool, "long", 154_000, 5.0)
        self.assertNotIn("engines-0", _engine_ids(grant))

    def test_a_slow_engine_gets_less(self) -> None:
        """Pauses five times as long as stated show a slow engine, which is then kept for last."""
        pool = pool_of(2)
        slow = place(pool, "one", 5000).server.id
        pool.record_first_event("one", 0.1)
        for _ in range(4):
            pool.record_event_gap("one", 0.22)
        grants = [place(pool, f"r{number}", 5000, 0.2) for number in range(MAX_PREFILLING_REQUESTS)]
        self.assertNotIn(slow, {grant.server.id for grant in grants})

    def test_an_end_that_is_never_reported_gives_the_slot_back(self) -> None:
        pool = pool_of(1)
        for number in range(COSTS.slots):
            place(pool, f"r{number}", 100, number * 0.2)
            pool.record_first_event(f"r{number}", number * 0.2 + 0.1)
        place(pool, "later", 100, 13.0)


class TakeOverTest(testtools.TestCase):
    def test_requests_placed_elsewhere_count(self) -> None:
        """A VM that takes over knows what the others have running."""
        other = pool_of(1)
        grants = []
        for number in range(COSTS.slots):
            grants.append(place(other, f"r{number}", 100, number * 0.2))
            other.record_first_event(f"r{number}", number * 0.2 + 0.1)
        pool = pool_of(1)
        for number, grant in enumerate(grants):
            pool.register(ask(f"r{number}", 100), grant, False, 2.0)
        pool.submit(ask("next", 100), 2.0)
        self.assertEqual([], pool.decide(2.0))


class BacklogTest(testtools.TestCase):
    """Most engines die at once, and requests pile up at the VM that places them."""

    #: Requests that wait; flapping-engines on bazarnik-prod had 121.
    BACKLOG = 150

    #: Calls of Python functions for one decision. 200 requests start, read or end each second, and
    #: together they may take half of a core; a call takes about 0.25 microseconds.
    CALLS = 10_000

    #: Prompts of both deployments, from the quick question to the regulation.
    TOKENS = (500, 1500, 7000, 20_000, 60_000, 154_000)

    def test_a_decision_beside_a_backlog_is_cheap(self) -> None:
        pool = pool_of(23)
        for number in range(self.BACKLOG * 2):
            tokens = self.TOKENS[number % len(self.TOKENS)]
            pool.submit(ask(f"r{number}", tokens, objective=0.5, time_left=3.0), 0.0)
        pool.decide(0.0)
        self.assertTrue(pool.waiting_count >= self.BACKLOG, pool.waiting_count)
        pool.submit(ask("next", 7000, objective=0.5, time_left=3.0), 0.01)
        calls = _count_calls(lambda: pool.decide(0.01))
        self.assertTrue(calls <= self.CALLS, calls)

    def test_a_short_prompt_waits_only_if_no_engine_can_take_it(self) -> None:
        pool = pool_of(4)
        for number in range(self.BACKLOG):
            tokens = self.TOKENS[number % 4]
            excluded = ("engines-0",) if number % 5 == 0 else ()
            pool.submit(ask(f"r{number}", tokens, time_left=9.0, excluded=excluded), 0.0)
        pool.decide(0.0)
        self.assertTrue(pool.waiting_count > 0)
        for waiting in pool._waiting.values():
            if waiting.ask.prompt_tokens <= 7000:
                alone = PlacementRound(pool._engines.values(), COSTS, 0.0)
                self.assertIsNone(alone.plan(waiting.ask, waiting.first_event_due_at()))


class OverloadTest(testtools.TestCase):
    """More quick questions arrive for some seconds than the engines have slots for."""

    #: Seconds that a request keeps its slot.
    HOLD = 1.5

    #: Seconds to the first event that callers aim at, and that they wait at most.
    OBJECTIVE, PATIENCE = 0.3, 10.0

    #: Part of what is answered in time at capacity that must be answered in time beyond it.
    GOODPUT = 0.9

    #: Requests a second that four engines have slots for.
    CAPACITY = 4 * COSTS.slots / HOLD

    def test_as_many_are_answered_in_time_as_at_capacity(self) -> None:
        at_capacity, _ = self._play(self.CAPACITY * 0.95, 6.0)
        beyond, _ = self._play(self.CAPACITY * 1.5, 6.0)
        self.assertTrue(beyond >= self.GOODPUT * at_capacity, (beyond, at_capacity))

    def test_the_late_ones_are_answered_before_their_callers_leave(self) -> None:
        _, unanswered = self._play(self.CAPACITY * 1.5, 6.0)
        self.assertEqual(0, unanswered)

    def _play(self, rate: float, seconds: float) -> tuple[int, int]:
        """Returns how many requests were answered in time, and how many not at all."""
        pool, ends, in_time = pool_of(4), list[tuple[float, str]](), 0
        arrivals = [number / rate for number in range(int(rate * seconds))]
        for step in range(int((seconds + self.PATIENCE + self.HOLD) * 100)):
            now = step / 100
            while arrivals and arrivals[0] <= now:
                name = f"r{arrivals.pop(0)}"
                pool.submit(ask(name, 5000, objective=self.OBJECTIVE, time_left=self.PATIENCE), now)
            for ended in [item for item in ends if item[0] <= now]:
                ends.remove(ended)
                pool.record_finished(ended[1], AttemptOutcome.SERVED, now)
            for decision in pool.decide(now):
                if isinstance(decision, Grant):
                    pool.record_first_event(decision.ask_id, now + decision.first_event)
                    ends.append((now + self.HOLD, decision.ask_id))
                    arrived = float(decision.ask_id[1:])
                    in_time += now + decision.first_event <= arrived + self.OBJECTIVE
                else:
                    self.fail(f"{decision.ask_id} was refused: {decision.reason}")
        return in_time, pool.waiting_count


class AnyLoadTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["ask", "first", "end", "fail", "time"]),
                st.sampled_from([500, 5000, 45_000, 154_000, 400_000]),
            ),
            max_size=80,
        )
    )
    def test_limits_of_engines_hold_and_every_ask_is_answered(
        self, steps: list[tuple[str, int]]
    ) -> None:
        pool, now = pool_of(5), 0.0
        running: list[str] = []
        asked: set[str] = set()
        answered: set[str] = set()
        for number, (step, tokens) in enumerate(steps):
            now += 0.05
            if step == "ask":
                pool.submit(ask(f"r{number}", tokens), now)
                asked.add(f"r{number}")
            elif step == "time":
                now += 2.0
            elif running and step == "first":
                pool.record_first_event(running[0], now)
            elif running:
                outcome = AttemptOutcome.SERVED if step == "end" else AttemptOutcome.FAILED
                pool.record_finished(running.pop(0), outcome, now)
            self._take(pool.decide(now), running, answered)
            for engine in pool._engines.values():
                self.assertTrue(engine.decoding_requests <= COSTS.slots)
                self.assertTrue(engine.free_memory >= 0)
        for _ in range(400):
            now += 0.1
            while running:
                pool.record_finished(running.pop(), AttemptOutcome.SERVED, now)
            self._take(pool.decide(now), running, answered)
        self.assertEqual(asked, answered)

    def _take(
        self, decisions: list[PlacementDecision], running: list[str], answered: set[str]
    ) -> None:
        for decision in decisions:
            self.assertNotIn(decision.ask_id, answered)
            answered.add(decision.ask_id)
            if isinstance(decision, Grant):
                running.append(decision.ask_id)


def _engine_ids(grant: Grant) -> set[str]:
    return {grant.server.id, *(helper.id for helper in grant.helpers)}


def _count_calls(action: Callable[[], object]) -> int:
    calls = 0

    def count(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls
