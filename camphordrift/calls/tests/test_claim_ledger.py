"""Tests of the state machine of one claims stream."""

import msgpack
import testtools

from camphordrift.calls import (
    HeartbeatRecord,
    KeyBodyMismatch,
    KeyFinished,
    KeyFree,
    KeyFromFuture,
    KeyOutcomeUnknown,
    KeyRunning,
    KeyTooOld,
    KeyUndecidable,
    OutcomeKind,
)
from camphordrift.calls.tests.builders import (
    BOOKING_DIGEST,
    OTHER_DIGEST,
    ClaimStream,
    claim,
    outcome,
    void,
)
from camphordrift.experiments._call_service import WALL_START, call_key
from camphordrift.platform_log import LogRecord


class OrderTest(testtools.TestCase):
    def test_only_the_first_claim_is_granted(self) -> None:
        stream = ClaimStream()
        key = call_key()
        self.assertTrue(stream.grants(claim(key, "first")))
        self.assertFalse(stream.grants(claim(key, "second")))

    def test_a_refused_claim_is_not_granted_after_the_first_is_voided(self) -> None:
        stream = ClaimStream()
        key = call_key()
        second = claim(key, "second")
        stream.grants(claim(key, "first"))
        stream.grants(second)
        stream.append(void(key, "first"))
        self.assertFalse(stream.grants(second))
        self.assertTrue(stream.grants(claim(key, "third")))

    def test_a_void_cancels_a_claim_later_in_the_log(self) -> None:
        stream = ClaimStream()
        key = call_key()
        stream.append(void(key, "late"))
        self.assertFalse(stream.grants(claim(key, "late")))
        self.assertTrue(stream.grants(claim(key, "next")))

    def test_a_void_of_another_attempt_changes_nothing(self) -> None:
        stream = ClaimStream()
        key = call_key()
        stream.grants(claim(key, "first"))
        stream.append(void(key, "second"))
        self.assertFalse(stream.grants(claim(key, "third")))

    def test_a_second_copy_of_the_granted_claim_changes_nothing(self) -> None:
        stream = ClaimStream()
        key = call_key()
        first = claim(key, "first")
        self.assertTrue(stream.grants(first))
        self.assertFalse(stream.grants(first))
        state = stream.ledger.look_up(key, BOOKING_DIGEST, WALL_START)
        self.assertIsInstance(state, KeyRunning)

    def test_accounts_do_not_share_keys(self) -> None:
        stream = ClaimStream()
        self.assertTrue(stream.grants(claim(call_key(account="seller"), "first")))
        self.assertTrue(stream.grants(claim(call_key(account="organiser"), "second")))

    def test_a_record_applied_before_is_ignored(self) -> None:
        stream = ClaimStream()
        stream.append(claim(call_key(), "first"))
        self.assertIsNone(stream.ledger.apply(stream.records[0]))


class OutcomeTest(testtools.TestCase):
    def _state_now(self, stream: ClaimStream, at: float = WALL_START) -> object:
        return stream.ledger.look_up(call_key(), BOOKING_DIGEST, at)

    def test_the_first_outcome_of_the_granted_attempt_is_kept(self) -> None:
        stream = ClaimStream()
        stream.append(claim(call_key(), "first"))
        stream.append(outcome(call_key(), "first", status=201))
        stream.append(outcome(call_key(), "first", status=500))
        state = self._state_now(stream)
        assert isinstance(state, KeyFinished)
        self.assertEqual(201, state.status)

    def test_an_outcome_of_another_attempt_is_ignored(self) -> None:
        stream = ClaimStream()
        stream.append(claim(call_key(), "first"))
        stream.append(outcome(call_key(), "second"))
        self.assertIsInstance(self._state_now(stream), KeyRunning)

    def test_a_late_response_replaces_an_unknown_outcome(self) -> None:
        stream = ClaimStream()
        stream.append(claim(call_key(), "first"))
        stream.append(outcome(call_key(), "first", OutcomeKind.UNKNOWN))
        self.assertIsInstance(self._state_now(stream), KeyOutcomeUnknown)
        stream.append(outcome(call_key(), "first"))
        self.assertIsInstance(self._state_now(stream), KeyFinished)

    def test_a_void_after_the_outcome_does_not_free_the_key(self) -> None:
        stream = ClaimStream()
        stream.append(claim(call_key(), "first"))
        stream.append(outcome(call_key(), "first"))
        stream.append(void(call_key(), "first"))
        self.assertFalse(stream.grants(claim(call_key(), "second")))

    def test_the_outcome_is_unknown_after_the_timeouts_of_the_claimant(self) -> None:
        stream = ClaimStream()
        stream.append(claim(call_key(), "first"))
        self.assertIsInstance(self._state_now(stream, WALL_START + 35.0), KeyRunning)
        self.assertIsInstance(self._state_now(stream, WALL_START + 35.1), KeyOutcomeUnknown)
        self.assertFalse(stream.grants(claim(call_key(), "second"), at=WALL_START + 60.0))


class BodyMismatchTest(testtools.TestCase):
    def test_a_repeated_call_with_another_body_is_refused_in_every_state(self) -> None:
        stream = ClaimStream()
        key = call_key()
        for record in (claim(key, "first"), outcome(key, "first")):
            stream.append(record)
            state = stream.ledger.look_up(key, OTHER_DIGEST, WALL_START)
            self.assertIsInstance(state, KeyBodyMismatch)
            self.assertFalse(stream.grants(claim(key, "other", OTHER_DIGEST)))

    def test_another_body_is_refused_after_the_first_claim_was_voided(self) -> None:
        stream = ClaimStream()
        stream.append(claim(call_key(), "first"))
        stream.append(void(call_key(), "first"))
        self.assertFalse(stream.grants(claim(call_key(), "other", OTHER_DIGEST)))


class KeyTimeTest(testtools.TestCase):
    def test_keys_outside_the_permitted_times_are_refused(self) -> None:
        cases = (
            (-3600.5, KeyTooOld),
            (-3599.0, KeyFree),
            (0.0, KeyFree),
            (29.0, KeyFree),
            (31.0, KeyFromFuture),
        )
        for seconds, expected in cases:
            stream = ClaimStream(key_max_age_seconds=3600.0)
            key = call_key(WALL_START + seconds)
            state = stream.ledger.look_up(key, BOOKING_DIGEST, WALL_START)
            self.assertIsInstance(state, expected, str(seconds))
            self.assertEqual(expected is KeyFree, stream.grants(claim(key, "one")), str(seconds))

    def test_a_claim_appended_after_its_key_expired_is_not_granted(self) -> None:
        stream = ClaimStream(key_max_age_seconds=3600.0)
        self.assertFalse(stream.grants(claim(call_key(), "late"), at=WALL_START + 3700.0))

    def test_removed_keys_are_refused_and_take_no_memory(self) -> None:
        stream = ClaimStream(key_max_age_seconds=60.0)
        for second in range(1000):
            at = WALL_START + second
            stream.append(claim(call_key(at, tail=second), f"attempt-{second}"), at)
            self.assertTrue(stream.ledger.key_count <= 61)
        self.assertFalse(stream.grants(claim(call_key(tail=0), "again"), WALL_START + 1000.0))

    def test_keys_that_may_have_been_claimed_in_dropped_records_are_refused(self) -> None:
        stream = ClaimStream(first_offset=40)
        self.assertFalse(stream.grants(claim(call_key(WALL_START), "one"), at=WALL_START))
        self.assertFalse(stream.grants(claim(call_key(WALL_START + 34), "two"), WALL_START + 34))
        self.assertTrue(stream.grants(claim(call_key(WALL_START + 36), "three"), WALL_START + 36))

    def test_no_key_is_decided_on_between_a_gap_and_the_next_record(self) -> None:
        stream = ClaimStream(first_offset=40)
        key = call_key(WALL_START + 100)
        self.assertIsInstance(
            stream.ledger.look_up(key, BOOKING_DIGEST, WALL_START + 100), KeyTooOld
        )
        stream.append(HeartbeatRecord("mark"), WALL_START)
        self.assertIsInstance(stream.ledger.look_up(key, BOOKING_DIGEST, WALL_START + 100), KeyFree)


class UnreadableRecordTest(testtools.TestCase):
    def test_invalid_records_are_skipped(self) -> None:
        stream = ClaimStream()
        for offset, payload in enumerate((b"", b"\xc1", b"\x01", msgpack.packb({"v": 1}))):
            stream.ledger.apply(LogRecord(offset, payload, WALL_START))
        self.assertFalse(stream.ledger.undecidable)

    def test_a_record_of_a_newer_version_stops_all_decisions(self) -> None:
        stream = ClaimStream()
        stream.ledger.apply(LogRecord(0, msgpack.packb({"v": 2}), WALL_START))
        state = stream.ledger.look_up(call_key(), BOOKING_DIGEST, WALL_START)
        self.assertIsInstance(state, KeyUndecidable)
