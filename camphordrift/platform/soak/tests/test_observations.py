"""Tests that the soak notices each promise that is not kept."""

from dataclasses import replace

import testtools

from camphordrift.platform.soak import Attempt, Ledger, Run
from camphordrift.platform.soak._faults import FAULT_KINDS, draw_faults
from camphordrift.platform.soak._observations import stream_body

_ONCE = Attempt(
    id="a1",
    kind="once",
    key="k1",
    account="school",
    vm="vm-0",
    sent=1.0,
    patience=2.0,
    status=200,
    whole=True,
    signed=True,
    body=b"done",
    ended=1.5,
)
_STREAM = replace(_ONCE, kind="stream", body=stream_body("a1"))
_RUN = Run("a1", "office-1", "school", False, started=1.1, ended=1.4, answer=b"done")


class PromiseTest(testtools.TestCase):
    def broken(self, attempt: Attempt, *runs: Run) -> list[str]:
        ledger = Ledger(attempts={attempt.id: attempt}, runs=list(runs))
        ledger.withdrawn["old"] = 0.0
        ledger.disturbed["vm-9"].append((0.0, 100.0))
        ledger.cut["office-9"].append((0.0, 100.0))
        return ledger.broken(20.0)

    def assert_broken(self, words: str, attempt: Attempt, *runs: Run) -> None:
        (line,) = self.broken(attempt, *runs)
        self.assertIn(words, line)

    def test_what_is_well_is_not_reported(self) -> None:
        self.assertEqual([], self.broken(_ONCE, _RUN))
        self.assertEqual([], self.broken(_STREAM, _RUN, _RUN))

    def test_a_request_that_ran_twice(self) -> None:
        self.assert_broken("must run once", _ONCE, _RUN, _RUN)

    def test_a_refusal_of_what_ran(self) -> None:
        self.assert_broken("was answered 503", replace(_ONCE, status=503), _RUN)

    def test_a_run_that_nobody_asked_for(self) -> None:
        self.assert_broken("no caller sent", _ONCE, _RUN, replace(_RUN, attempt="a2"))

    def test_a_run_for_another_account_or_with_the_key(self) -> None:
        self.assert_broken("not 'school'", _ONCE, replace(_RUN, account="club"))
        self.assert_broken("not 'school'", _ONCE, replace(_RUN, key_passed=True))

    def test_a_run_with_a_withdrawn_key(self) -> None:
        late = replace(_ONCE, key="old", sent=5.1, ended=5.5)
        self.assert_broken("after its key", late, _RUN)
        self.assertEqual([], self.broken(replace(late, sent=4.9), _RUN))

    def test_answers_that_are_not_the_servers(self) -> None:
        self.assert_broken("no server gave", replace(_ONCE, body=b"don"), _RUN)
        self.assert_broken("without a signature", replace(_ONCE, signed=False), _RUN)
        cut = replace(_STREAM, body=stream_body("a1")[:-10])
        self.assert_broken("other events", cut, _RUN)
        doubled = replace(_STREAM, body=stream_body("a1") + stream_body("a1", 7))
        self.assert_broken("other events", doubled, _RUN)

    def test_an_answer_that_broke_off_may_be_short(self) -> None:
        self.assertEqual([], self.broken(replace(_ONCE, body=b"d", whole=False), _RUN))

    def test_a_final_answer_that_comes_late(self) -> None:
        late = replace(_ONCE, ended=4.6)
        self.assert_broken("no final answer", late, _RUN)
        self.assertEqual([], self.broken(replace(late, vm="vm-9"), _RUN))

    def test_work_for_a_caller_that_left(self) -> None:
        left = replace(_ONCE, status=None, whole=False, left=1.2)
        self.assert_broken("worked on", left, replace(_RUN, ended=2.8))
        self.assertEqual([], self.broken(left, replace(_RUN, ended=2.6)))
        self.assertEqual([], self.broken(left, replace(_RUN, server="office-9", ended=None)))


class FaultTest(testtools.TestCase):
    def test_a_seed_always_draws_the_same_faults(self) -> None:
        self.assertEqual(draw_faults(7, 15.0), draw_faults(7, 15.0))
        self.assertNotEqual(draw_faults(7, 15.0), draw_faults(8, 15.0))

    def test_fifty_seeds_play_every_kind(self) -> None:
        drawn = {fault.kind for seed in range(50) for fault in draw_faults(seed, 15.0)}
        self.assertEqual(set(FAULT_KINDS), drawn)
