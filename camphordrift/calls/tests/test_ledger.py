"""Tests of the fold over one claims stream."""

import msgpack
import testtools

from camphordrift.calls import (
    HeartbeatRecord,
    KeyFinished,
    KeyFree,
    KeyFromFuture,
    KeyOtherBody,
    KeyOutcomeUnknown,
    KeyRunning,
    KeyTooOld,
    KeyUndecidable,
    OutcomeKind,
)
from camphordrift.calls.tests.builders import (
    BOOKING_DIGEST,
    OTHER_DIGEST,
    FoldedStream,
    claim,
    outcome,
    void,
)
from camphordrift.experiments._call_service import WALL_START, call_key
from camphordrift.platform_log import LogRecord


class OrderTest(testtools.TestCase):
    def test_the_first_claim_stands_and_no_later_one(self) -> None:
        stream = FoldedStream()
        key = call_key()
        self.assertTrue(stream.stands(claim(key, "first")))
        self.assertFalse(stream.stands(claim(key, "second")))

    def test_a_claim_that_lost_does_not_stand_when_the_first_is_voided(self) -> None:
        stream = FoldedStream()
        key = call_key()
        second = claim(key, "second")
        stream.stands(claim(key, "first"))
        stream.stands(second)
        stream.append(void(key, "first"))
        self.assertFalse(stream.stands(second))
        self.assertTrue(stream.stands(claim(key, "third")))

    def test_a_void_cancels_a_claim_that_takes_effect_later(self) -> None:
        stream = FoldedStream()
        key = call_key()
        stream.append(void(key, "late"))
        self.assertFalse(stream.stands(claim(key, "late")))
        self.assertTrue(stream.stands(claim(key, "next")))

    def test_a_void_of_another_attempt_changes_nothing(self) -> None:
        stream = FoldedStream()
        key = call_key()
        stream.stands(claim(key, "first"))
        stream.append(void(key, "second"))
        self.assertFalse(stream.stands(claim(key, "third")))

    def test_a_second_copy_of_the_standing_claim_changes_nothing(self) -> None:
        stream = FoldedStream()
        key = call_key()
        first = claim(key, "first")
        self.assertTrue(stream.stands(first))
        self.assertFalse(stream.stands(first))
        standing = stream.ledger.look_up(key, BOOKING_DIGEST, WALL_START)
        self.assertIsInstance(standing, KeyRunning)

    def test_accounts_do_not_share_keys(self) -> None:
        stream = FoldedStream()
        self.assertTrue(stream.stands(claim(call_key(account="seller"), "first")))
        self.assertTrue(stream.stands(claim(call_key(account="organiser"), "second")))

    def test_a_record_folded_before_is_ignored(self) -> None:
        stream = FoldedStream()
        stream.append(claim(call_key(), "first"))
        self.assertIsNone(stream.ledger.apply(stream.records[0]))


class OutcomeTest(testtools.TestCase):
    def _standing(self, stream: FoldedStream, at: float = WALL_START) -> object:
        return stream.ledger.look_up(call_key(), BOOKING_DIGEST, at)

    def test_the_outcome_of_the_attempt_that_stands_is_kept(self) -> None:
        stream = FoldedStream()
        stream.append(claim(call_key(), "first"))
        stream.append(outcome(call_key(), "first", status=201))
        stream.append(outcome(call_key(), "first", status=500))
        standing = self._standing(stream)
        assert isinstance(standing, KeyFinished)
        self.assertEqual(201, standing.status)

    def test_an_outcome_of_another_attempt_is_ignored(self) -> None:
        stream = FoldedStream()
        stream.append(claim(call_key(), "first"))
        stream.append(outcome(call_key(), "second"))
        self.assertIsInstance(self._standing(stream), KeyRunning)

    def test_a_late_answer_replaces_an_unknown_outcome(self) -> None:
        stream = FoldedStream()
        stream.append(claim(call_key(), "first"))
        stream.append(outcome(call_key(), "first", OutcomeKind.UNKNOWN))
        self.assertIsInstance(self._standing(stream), KeyOutcomeUnknown)
        stream.append(outcome(call_key(), "first"))
        self.assertIsInstance(self._standing(stream), KeyFinished)

    def test_a_void_after_the_outcome_does_not_free_the_key(self) -> None:
        stream = FoldedStream()
        stream.append(claim(call_key(), "first"))
        stream.append(outcome(call_key(), "first"))
        stream.append(void(call_key(), "first"))
        self.assertFalse(stream.stands(claim(call_key(), "second")))

    def test_a_claimant_that_never_answers_leaves_the_outcome_unknown(self) -> None:
        stream = FoldedStream()
        stream.append(claim(call_key(), "first"))
        self.assertIsInstance(self._standing(stream, WALL_START + 35.0), KeyRunning)
        self.assertIsInstance(self._standing(stream, WALL_START + 35.1), KeyOutcomeUnknown)
        self.assertFalse(stream.stands(claim(call_key(), "second"), at=WALL_START + 60.0))


class OtherBodyTest(testtools.TestCase):
    def test_a_repeat_with_another_body_is_refused_at_every_stage(self) -> None:
        stream = FoldedStream()
        key = call_key()
        for record in (claim(key, "first"), outcome(key, "first")):
            stream.append(record)
            standing = stream.ledger.look_up(key, OTHER_DIGEST, WALL_START)
            self.assertIsInstance(standing, KeyOtherBody)
            self.assertFalse(stream.stands(claim(key, "other", OTHER_DIGEST)))

    def test_also_after_the_first_claim_was_voided(self) -> None:
        stream = FoldedStream()
        stream.append(claim(call_key(), "first"))
        stream.append(void(call_key(), "first"))
        self.assertFalse(stream.stands(claim(call_key(), "other", OTHER_DIGEST)))


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
            stream = FoldedStream(key_max_age_seconds=3600.0)
            key = call_key(WALL_START + seconds)
            standing = stream.ledger.look_up(key, BOOKING_DIGEST, WALL_START)
            self.assertIsInstance(standing, expected, str(seconds))
            self.assertEqual(expected is KeyFree, stream.stands(claim(key, "one")), str(seconds))

    def test_a_claim_that_takes_effect_after_its_key_expired_does_not_stand(self) -> None:
        stream = FoldedStream(key_max_age_seconds=3600.0)
        self.assertFalse(stream.stands(claim(call_key(), "late"), at=WALL_START + 3700.0))

    def test_forgotten_keys_are_refused_and_take_no_memory(self) -> None:
        stream = FoldedStream(key_max_age_seconds=60.0)
        for second in range(1000):
            at = WALL_START + second
            stream.append(claim(call_key(at, tail=second), f"attempt-{second}"), at)
            self.assertTrue(stream.ledger.key_count <= 61)
        self.assertFalse(stream.stands(claim(call_key(tail=0), "again"), WALL_START + 1000.0))

    def test_keys_that_may_have_been_claimed_in_dropped_records_are_refused(self) -> None:
        stream = FoldedStream(first_offset=40)
        self.assertFalse(stream.stands(claim(call_key(WALL_START), "one"), at=WALL_START))
        self.assertFalse(stream.stands(claim(call_key(WALL_START + 34), "two"), WALL_START + 34))
        self.assertTrue(stream.stands(claim(call_key(WALL_START + 36), "three"), WALL_START + 36))

    def test_no_key_is_decided_on_between_a_gap_and_the_next_record(self) -> None:
        stream = FoldedStream(first_offset=40)
        key = call_key(WALL_START + 100)
        self.assertIsInstance(
            stream.ledger.look_up(key, BOOKING_DIGEST, WALL_START + 100), KeyTooOld
        )
        stream.append(HeartbeatRecord("mark"), WALL_START)
        self.assertIsInstance(stream.ledger.look_up(key, BOOKING_DIGEST, WALL_START + 100), KeyFree)


class UnreadableRecordTest(testtools.TestCase):
    def test_bytes_that_are_no_record_are_passed_over(self) -> None:
        stream = FoldedStream()
        for offset, payload in enumerate((b"", b"\xc1", b"\x01", msgpack.packb({"v": 1}))):
            stream.ledger.apply(LogRecord(offset, payload, WALL_START))
        self.assertFalse(stream.ledger.undecidable)

    def test_a_record_of_a_newer_version_stops_all_decisions(self) -> None:
        stream = FoldedStream()
        stream.ledger.apply(LogRecord(0, msgpack.packb({"v": 2}), WALL_START))
        standing = stream.ledger.look_up(call_key(), BOOKING_DIGEST, WALL_START)
        self.assertIsInstance(standing, KeyUndecidable)
