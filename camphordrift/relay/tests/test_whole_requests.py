"""Tests of the decision which whole requests are quarantined."""

import msgspec
import testtools

from camphordrift.relay.crashes import _sound_traits
from camphordrift.relay.crashes._crash_analysis import (
    CRASHES_IF_INDISTINGUISHABLE,
    CRASHES_TO_QUARANTINE,
)
from camphordrift.relay.crashes._crash_evidence import (
    CrashEvidence,
    QuarantinedTraits,
    ServerCrash,
    SoundTrait,
)
from camphordrift.relay.peers._crash_monitor import CrashMonitor
from camphordrift.relay.peers._peer_links import PeerLinks
from camphordrift.relay.tests.samples import server
from camphordrift.relay.tests.test_trait_quarantine import QuarantineCase

CULPRIT, OTHER, THIRD = "request:c", "request:o", "request:t"


class WholeRequestTest(QuarantineCase):
    def refused(self, *traits: str) -> bool:
        """Returns whether a request with these traits is refused."""
        self.quarantined()
        return self.quarantine.seconds_left(traits, self.now) > 0

    def test_a_request_on_which_three_servers_crash_is_refused_and_no_other(self) -> None:
        for crashes in range(CRASHES_TO_QUARANTINE):
            self.assertFalse(self.refused(CULPRIT), crashes)
            self.crash(CULPRIT)
        self.assertTrue(self.refused(CULPRIT))
        self.assertFalse(self.refused(OTHER))

    def test_a_request_whose_shared_parts_are_sound_is_refused_alone(self) -> None:
        """Guards against a crashing request that hides behind a part which other requests share."""
        self.sound("hot", OTHER)
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("hot", CULPRIT)
            self.sound("hot", OTHER)
        self.assertTrue(self.refused("hot", CULPRIT))
        self.assertFalse(self.refused("hot", OTHER))

    def test_a_part_that_only_one_request_had_is_refused_with_it_alone(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("rare", CULPRIT)
        self.assertTrue(self.refused("rare", CULPRIT))
        self.assertFalse(self.refused("rare", OTHER))

    def test_a_part_on_which_another_request_crashes_a_server_is_refused(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("bad", CULPRIT)
        self.crash("bad", OTHER)
        self.assertTrue(self.refused("bad", THIRD))

    def test_a_part_that_different_requests_share_is_refused_rather_than_these(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("bad", CULPRIT, OTHER)
        self.assertTrue(self.refused("bad", THIRD))
        self.assertFalse(self.refused(CULPRIT))

    def test_a_request_that_ran_beside_the_culprit_twice_is_not_refused(self) -> None:
        self.crash(CULPRIT, OTHER)
        self.crash(CULPRIT, OTHER)
        self.crash(CULPRIT)
        self.assertTrue(self.refused(CULPRIT))
        self.assertFalse(self.refused(OTHER))
        self.assertEqual(0, self.quarantine.accused_of(OTHER, self.now))

    def test_requests_that_always_ran_together_are_told_apart_by_the_next_crash(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(CULPRIT, OTHER)
        self.assertFalse(self.refused(OTHER))
        self.crash(CULPRIT)
        self.assertTrue(self.refused(CULPRIT))
        self.assertFalse(self.refused(OTHER))

    def test_requests_that_always_ran_together_are_told_apart_by_a_response(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash(CULPRIT, OTHER)
        self.sound(OTHER)
        self.assertTrue(self.refused(CULPRIT))
        self.assertFalse(self.refused(OTHER))

    def test_requests_that_are_never_told_apart_are_all_refused(self) -> None:
        for _ in range(CRASHES_IF_INDISTINGUISHABLE):
            self.crash(CULPRIT, OTHER)
        self.assertTrue(self.refused(CULPRIT))
        self.assertTrue(self.refused(OTHER))
        self.assertFalse(self.refused(THIRD))
        self.sound(OTHER)
        self.assertFalse(self.refused(OTHER))
        self.assertTrue(self.refused(CULPRIT))

    def test_a_request_that_comes_often_is_not_refused_after_other_crashes(self) -> None:
        """Servers that are killed break requests that are sound."""
        for _ in range(10):
            self.crash(OTHER)
            self.sound(OTHER)
        self.assertFalse(self.refused(OTHER))

    def test_requests_of_servers_that_lose_power_together_are_not_refused(self) -> None:
        for _ in range(10):
            self.crash(OTHER, gap=0.002)
        self.assertFalse(self.refused(OTHER))

    def test_many_sound_requests_displace_no_part(self) -> None:
        self.patch(_sound_traits, "MAX_SOUND_TRAITS", 10)
        self.sound("hot")
        for number in range(20):
            self.sound(f"request:{number}")
        self.crash("hot", *(f"request:{number}" for number in range(20)))
        sound = [item.trait for item in self.quarantine.snapshot(self.now).sound]
        self.assertIn("hot", sound)
        self.assertEqual(10, sum(trait.startswith("request:") for trait in sound))


class WireFormatTest(QuarantineCase):
    """VMs with the former code take part in a rollout."""

    def test_the_former_names_of_fields_are_sent(self) -> None:
        evidence = CrashEvidence(
            (ServerCrash("i-1@5", ("a", CULPRIT), 1.0, "vm-1"),),
            (SoundTrait("b", 2.0),),
            (QuarantinedTraits(("c",), 3.0),),
        )
        expected = {
            "crashes": [{"engine": "i-1@5", "parts": ["a", CULPRIT], "age": 1.0, "vm": "vm-1"}],
            "sound": [{"part": "b", "age": 2.0}],
            "quarantined": [{"parts": ["c"], "age": 3.0}],
        }
        encoded = msgspec.msgpack.encode(evidence)
        self.assertEqual(expected, msgspec.msgpack.decode(encoded))
        self.assertEqual(evidence, msgspec.msgpack.decode(encoded, type=CrashEvidence))


class RetryTest(testtools.TestCase):
    """A request that ran beside a crash is retried; one on which servers crash is not."""

    def setUp(self) -> None:
        super().setUp()
        self.monitor = CrashMonitor("vm-1", lambda: 100.0, PeerLinks())

    def crash(self, number: int, *traits: str) -> None:
        self.monitor.record_crash(traits, server(number))

    def test_a_request_is_retried_after_one_crash_on_it(self) -> None:
        self.crash(1, CULPRIT)
        self.assertTrue(self.monitor.may_retry((CULPRIT,)))
        self.crash(2, CULPRIT)
        self.assertFalse(self.monitor.may_retry((CULPRIT,)))

    def test_a_request_whose_part_was_beside_two_crashes_is_retried(self) -> None:
        """Guards against sound streams that are truncated as another one with their part was."""
        self.crash(1, "topic", CULPRIT, OTHER)
        self.crash(2, "topic", CULPRIT, THIRD)
        self.assertTrue(self.monitor.may_retry(("topic", THIRD)))
        self.assertFalse(self.monitor.may_retry(("topic", CULPRIT)))

    def test_a_request_whose_part_was_in_three_crashes_is_not_retried(self) -> None:
        for number in range(3):
            self.crash(number, "topic", f"request:{number}")
        self.assertFalse(self.monitor.may_retry(("topic", THIRD)))
