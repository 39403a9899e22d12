"""Tests of an attempt from its claim to its single dispatch."""

import testtools
from returns.pipeline import is_successful

from camphordrift.calls import (
    AttemptStage,
    Claimant,
    ClaimAttempt,
    ClaimDecision,
    KeyFree,
    KeyOutcomeUnknown,
    new_claim_attempt,
)
from camphordrift.calls.tests.builders import BOOKING_DIGEST
from camphordrift.clocks import ClockReading
from camphordrift.experiments._call_service import WALL_START, call_key
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.results import ResultCode

_START = ClockReading(monotonic=100.0, wall=WALL_START)


def _new_attempt() -> ClaimAttempt:
    return new_claim_attempt(
        key=call_key(),
        body_digest=BOOKING_DIGEST,
        claimant=Claimant(VmId("vm-1"), Incarnation(1)),
        now=_START,
        dispatch_within_seconds=5.0,
        run_timeout_seconds=30.0,
    )


def _granted_attempt() -> ClaimAttempt:
    attempt = _new_attempt()
    attempt.apply_decision(ClaimDecision(attempt.attempt_id, 0, granted=True, key_state=KeyFree()))
    return attempt


class DispatchTest(testtools.TestCase):
    def test_permits_one_dispatch_only(self) -> None:
        attempt = _granted_attempt()
        self.assertTrue(is_successful(attempt.authorize_dispatch(_START)))
        self.assertFalse(is_successful(attempt.authorize_dispatch(_START)))

    def test_refuses_dispatch_without_a_decision(self) -> None:
        self.assertFalse(is_successful(_new_attempt().authorize_dispatch(_START)))

    def test_refuses_dispatch_once_either_clock_has_passed_the_deadline(self) -> None:
        cases = (
            (4.9, 4.9, True),
            (5.0, 0.0, False),
            (0.0, 5.0, False),
        )
        for monotonic, wall, permitted in cases:
            now = ClockReading(_START.monotonic + monotonic, _START.wall + wall)
            decision = _granted_attempt().authorize_dispatch(now)
            self.assertEqual(permitted, is_successful(decision), str((monotonic, wall)))
            if not permitted:
                self.assertEqual(ResultCode.CLAIM_EXPIRED, decision.failure().code)

    def test_decisions_after_the_first_are_ignored(self) -> None:
        attempt = _new_attempt()
        other_claim = KeyOutcomeUnknown(attempt_id="other")
        attempt.apply_decision(
            ClaimDecision(attempt.attempt_id, 1, granted=False, key_state=other_claim)
        )
        attempt.apply_decision(
            ClaimDecision(attempt.attempt_id, 2, granted=True, key_state=KeyFree())
        )
        self.assertEqual(AttemptStage.LOST, attempt.stage)


class AbandonTest(testtools.TestCase):
    def test_an_abandoned_attempt_never_dispatches_even_if_its_claim_is_granted(self) -> None:
        attempt = _new_attempt()
        self.assertIsNotNone(attempt.abandon())
        attempt.apply_decision(
            ClaimDecision(attempt.attempt_id, 0, granted=True, key_state=KeyFree())
        )
        self.assertFalse(is_successful(attempt.authorize_dispatch(_START)))

    def test_a_dispatched_attempt_cannot_be_abandoned(self) -> None:
        attempt = _granted_attempt()
        attempt.authorize_dispatch(_START)
        self.assertRaises(ValueError, attempt.abandon)

    def test_a_claim_that_never_reached_the_log_needs_no_void(self) -> None:
        attempt = _new_attempt()
        attempt.record_not_appended()
        self.assertIsNone(attempt.abandon())
