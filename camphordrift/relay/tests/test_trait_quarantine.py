"""Tests of the decision which traits of prompts are quarantined."""

import random
from collections.abc import Iterable

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from camphordrift.relay.crashes import _sound_traits
from camphordrift.relay.crashes._crash_analysis import (
    CRASHES_IF_SOUND_BEFORE,
    CRASHES_TO_QUARANTINE,
)
from camphordrift.relay.crashes._crash_evidence import (
    CrashEvidence,
    QuarantinedTraits,
    ServerCrash,
    SoundTrait,
)
from camphordrift.relay.crashes._quarantines import (
    MAX_QUARANTINES,
    PROBATION_PERIOD,
    QUARANTINE_PERIOD,
    QuarantineEnded,
    QuarantineStarted,
)
from camphordrift.relay.crashes._suspected_crashes import (
    MAX_ENDED_CONNECTIONS,
    MAX_SUSPECTED_SERVERS,
)
from camphordrift.relay.crashes._trait_quarantine import (
    CRASH_MEMORY,
    EVIDENCE_DELAY,
    MAX_ACCUSED_TRAITS,
    MAX_CRASHES,
    TraitQuarantine,
)

#: Engines that may crash on a trait: five, and three more while the VMs learn of it.
PERMITTED_CRASHES = 5 + 3


class QuarantineCase(testtools.TestCase):
    """Base class with a quarantine and a clock."""

    def setUp(self) -> None:
        super().setUp()
        self.quarantine = TraitQuarantine()
        self.now = 1000.0
        self.engines = 0

    def crash(self, *traits: str, gap: float = 1.0) -> None:
        """Records the crash of another engine, ``gap`` seconds after the former event."""
        self.now += gap
        self.engines += 1
        self.quarantine.record_crash(f"engine-{self.engines}", traits, "vm-1", self.now)

    def sound(self, *traits: str) -> None:
        """Records a response on traits, a second after the former event."""
        self.now += 1.0
        self.quarantine.record_sound(traits, self.now)

    def quarantined(self) -> list[str]:
        """Returns the quarantined traits once the evidence counts."""
        self.now += EVIDENCE_DELAY
        return quarantined_traits(self.quarantine, self.now)


def quarantined_traits(quarantine: TraitQuarantine, now: float) -> list[str]:
    """Returns the quarantined traits, with a plus sign between those that were not told apart."""
    quarantine.review(now)
    return sorted("+".join(traits) for traits in quarantine.quarantined_traits(now))


class SuspectedCrashTest(QuarantineCase):
    """A server that ended a connection may live, so that its requests are not at fault."""

    def suspect(self, *servers: str) -> None:
        for server in servers:
            self.now += 1.0
            self.quarantine.suspect_crash(server, ("part",), self.now)

    def test_suspicions_quarantine_nothing(self) -> None:
        self.suspect(*(f"engine-{number}" for number in range(CRASHES_IF_SOUND_BEFORE)))
        self.now += EVIDENCE_DELAY
        self.assertEqual([], self.quarantined())
        self.assertEqual(CRASHES_IF_SOUND_BEFORE, self.quarantine.accused_of("part", self.now))

    def test_other_vms_are_told_of_a_crash_once_it_is_confirmed(self) -> None:
        self.suspect("engine-1")
        self.assertEqual(CrashEvidence(), self.quarantine.snapshot(self.now))
        news = self.quarantine.confirm_crash("engine-1", "vm-1", self.now + 2.0)
        self.assertEqual((ServerCrash("engine-1", ("part",), 2.0, "vm-1"),), news.crashes)
        self.assertEqual(news.crashes, self.quarantine.snapshot(self.now + 2.0).crashes)

    def test_a_response_clears_suspected_traits(self) -> None:
        self.suspect("engine-1")
        self.assertEqual(1, self.quarantine.accused_of("part", self.now))
        self.sound("part")
        self.assertEqual(0, self.quarantine.accused_of("part", self.now))
        self.quarantine.confirm_crash("engine-1", "vm-1", self.now)
        self.assertEqual(0, self.quarantine.accused_of("part", self.now))

    def test_a_crash_accuses_nothing_that_was_ruled_out_before(self) -> None:
        self.suspect("engine-1")
        self.quarantine.rule_out_crash("engine-1", self.now, self.now)
        self.quarantine.suspect_crash("engine-1", ("later",), self.now + 1.0)
        news = self.quarantine.confirm_crash("engine-1", "vm-1", self.now + 1.0, restarted=True)
        self.assertEqual([("later",)], [crash.traits for crash in news.crashes])

    def test_the_number_of_suspicions_is_limited(self) -> None:
        for server in range(2 * MAX_SUSPECTED_SERVERS):
            for connection in range(3):
                traits = (f"{server}.{connection}",)
                self.quarantine.suspect_crash(f"engine-{server}", traits, self.now)
        for connection in range(2 * MAX_ENDED_CONNECTIONS):
            self.quarantine.suspect_crash("engine-0", (f"0.{connection}",), self.now)
        self.assertTrue(self.quarantine.is_suspected(f"engine-{MAX_SUSPECTED_SERVERS - 1}"))
        self.assertFalse(self.quarantine.is_suspected(f"engine-{MAX_SUSPECTED_SERVERS}"))
        self.assertEqual(1, self.quarantine.accused_of(f"0.{MAX_ENDED_CONNECTIONS - 4}", self.now))
        self.assertEqual(0, self.quarantine.accused_of(f"0.{MAX_ENDED_CONNECTIONS}", self.now))


class CulpritTest(QuarantineCase):
    def test_a_part_on_which_three_engines_crash_is_quarantined(self) -> None:
        for crashes in range(1, CRASHES_TO_QUARANTINE):
            self.crash("bad")
            self.assertEqual([], self.quarantined(), str(crashes))
        self.crash("bad")
        self.assertEqual(["bad"], self.quarantined())

    def test_the_crash_of_one_engine_counts_once(self) -> None:
        """All connections to an engine break when it crashes, on several VMs."""
        for vm in range(10):
            self.now += 1.0
            self.quarantine.record_crash("engine-1", ("bad",), f"vm-{vm}", self.now)
        self.assertEqual([], self.quarantined())

    def test_engines_that_crash_at_one_moment_accuse_no_part(self) -> None:
        """Guards against a hot trait that is refused after a loss of power."""
        for _ in range(10):
            self.crash("hot", gap=0.002)
        self.assertEqual([], self.quarantined())

    def test_engines_that_crash_one_after_the_other_do_not_accuse_a_hot_part(self) -> None:
        for _ in range(20):
            self.sound("hot", "topic")
            self.crash("hot", "topic")
        self.assertEqual([], self.quarantined())

    def test_a_hot_part_is_not_refused_if_all_engines_are_lost(self) -> None:
        self.sound("hot")
        for _ in range(10):
            self.crash("hot", gap=0.1)
        self.assertEqual([], self.quarantined())
        self.sound("hot")
        self.assertEqual([], self.quarantined())

    def test_the_part_that_all_requests_share_is_not_refused_for_another_one(self) -> None:
        self.sound("first")
        for _ in range(CRASHES_IF_SOUND_BEFORE + 3):
            self.crash("first", "bad")
        self.assertEqual(["bad"], self.quarantined())

    def test_a_part_that_was_sound_before_needs_more_crashes(self) -> None:
        self.sound("first", "bad")
        self.sound("first")
        for _ in range(CRASHES_IF_SOUND_BEFORE - 1):
            self.crash("first", "bad")
        self.sound("other")
        self.assertEqual([], self.quarantined())
        self.crash("first", "bad")
        self.sound("other")
        self.assertEqual(["bad"], self.quarantined())

    def test_a_rare_part_that_was_beside_the_culprit_is_not_refused(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("bad", "rare")
        self.assertEqual(["bad+rare"], self.quarantined())
        self.assertEqual(0.0, self.quarantine.seconds_left(["first", "rare"], self.now))
        self.crash("bad", "other")
        self.assertEqual(["bad"], self.quarantined())

    def test_parts_that_always_occur_together_are_refused_together(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("first", "bad")
        self.assertEqual(["bad+first"], self.quarantined())
        self.assertTrue(self.quarantine.seconds_left(["first", "bad", "topic"], self.now) > 0)
        self.assertEqual(0.0, self.quarantine.seconds_left(["first", "topic"], self.now))
        self.sound("first", "topic")
        self.assertEqual(["bad"], self.quarantined())
        self.assertTrue(self.quarantine.seconds_left(["bad"], self.now) > 0)

    def test_parts_that_cannot_be_told_apart_are_not_quarantined_anew(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("first", "bad")
        self.assertEqual(["bad+first"], self.quarantined())
        self.crash("first", "bad")
        self.assertEqual(["bad+first"], self.quarantined())
        self.assertEqual([], self.quarantine.review(self.now))

    def test_two_parts_may_crash_engines(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("bad")
            self.crash("worse")
        self.assertEqual(["bad", "worse"], self.quarantined())

    def test_evidence_that_is_under_way_is_awaited(self) -> None:
        """Guards against a sound trait refused because its VM knows only its own crashes."""
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("rare")
        self.assertEqual([], quarantined_traits(self.quarantine, self.now + EVIDENCE_DELAY / 2))
        told = CrashEvidence(sound=(SoundTrait("rare", 0.05),))
        self.quarantine.merge(told, self.now + EVIDENCE_DELAY / 2)
        self.assertEqual([], self.quarantined())


class AccusationTest(QuarantineCase):
    def test_a_part_is_accused_until_a_response_on_it(self) -> None:
        self.crash("rare")
        self.crash("rare")
        self.assertEqual(2, self.quarantine.accused_of("rare", self.now))
        self.sound("rare")
        self.assertEqual(0, self.quarantine.accused_of("rare", self.now))

    def test_a_part_that_was_sound_before_is_not_accused(self) -> None:
        self.sound("hot")
        self.crash("hot")
        self.assertEqual(0, self.quarantine.accused_of("hot", self.now))

    def test_a_crash_that_a_quarantined_part_explains_accuses_no_other_part(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("bad")
        self.crash("bad", "rare")
        self.assertEqual(1, self.quarantine.accused_of("rare", self.now))
        self.assertEqual(["bad"], self.quarantined())
        self.assertEqual(0, self.quarantine.accused_of("rare", self.now))


class EndOfQuarantineTest(QuarantineCase):
    def setUp(self) -> None:
        super().setUp()
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("bad")
        self.assertEqual(["bad"], self.quarantined())

    def test_changes_are_reported_once(self) -> None:
        quarantine = TraitQuarantine()
        for number in range(3):
            quarantine.record_crash(f"engine-{number}", ("bad",), f"vm-{number}", 10.0 + number)
        engines = ("engine-0", "engine-1", "engine-2")
        started = QuarantineStarted(("bad",), engines, ("vm-0", "vm-1", "vm-2"))
        self.assertEqual([started], quarantine.review(13.0))
        self.assertEqual([], quarantine.review(14.0))
        self.assertEqual(
            [QuarantineEnded(("bad",), is_sound=False)], quarantine.review(13.0 + QUARANTINE_PERIOD)
        )
        self.assertEqual([], quarantine.review(14.0 + QUARANTINE_PERIOD))

    def test_a_response_ends_the_quarantine(self) -> None:
        self.sound("bad")
        self.assertEqual([], self.quarantined())
        self.crash("bad")
        self.assertEqual([], self.quarantined())

    def test_the_quarantine_ends_after_its_period_and_returns_with_the_next_crash(self) -> None:
        self.now += QUARANTINE_PERIOD
        self.assertEqual([], self.quarantined())
        self.assertEqual(1, self.quarantine.accused_of("bad", self.now))
        self.crash("bad")
        self.assertEqual(["bad"], self.quarantined())

    def test_a_crash_long_after_the_quarantine_is_the_first_one(self) -> None:
        self.now += QUARANTINE_PERIOD + PROBATION_PERIOD
        self.crash("bad")
        self.assertEqual([], self.quarantined())

    def test_old_crashes_do_not_count(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE - 1):
            self.crash("other")
        self.now += CRASH_MEMORY
        self.crash("other")
        self.assertEqual(["bad"], self.quarantined())


class MemoryTest(QuarantineCase):
    def test_memory_is_bounded(self) -> None:
        for number in range(2 * MAX_CRASHES):
            traits = tuple(f"{number}-{index}" for index in range(2 * MAX_ACCUSED_TRAITS))
            self.crash(*traits, gap=0.01)
        snapshot = self.quarantine.snapshot(self.now)
        self.assertEqual(MAX_CRASHES, len(snapshot.crashes))
        self.assertEqual(MAX_ACCUSED_TRAITS, max(len(crash.traits) for crash in snapshot.crashes))
        oldest = min(snapshot.crashes, key=lambda crash: -crash.age)
        self.assertEqual(f"engine-{MAX_CRASHES + 1}", oldest.server)

    def test_the_number_of_quarantined_parts_is_bounded(self) -> None:
        for number in range(2 * MAX_QUARANTINES):
            for _ in range(CRASHES_TO_QUARANTINE):
                self.crash(f"bad-{number}", gap=0.1)
        self.assertTrue(len(self.quarantined()) <= MAX_QUARANTINES)

    def test_the_number_of_sound_traits_is_bounded(self) -> None:
        self.patch(_sound_traits, "MAX_SOUND_TRAITS", 10)
        self.sound(*(f"trait-{number}" for number in range(20)))
        self.crash(*(f"trait-{number}" for number in range(20)))
        self.assertEqual(10, len(self.quarantine.snapshot(self.now).sound))


class MergeTest(QuarantineCase):
    def test_crashes_of_several_vms_are_added_up(self) -> None:
        for number in range(CRASHES_TO_QUARANTINE):
            crash = ServerCrash(f"engine-{number}", ("bad",), 3.0 - number, f"vm-{number}")
            self.quarantine.merge(CrashEvidence(crashes=(crash,)), self.now)
        self.assertEqual(["bad"], self.quarantined())

    def test_evidence_that_is_known_is_not_passed_on(self) -> None:
        crash = ServerCrash("engine-1", ("bad",), 1.0, "vm-2")
        evidence = CrashEvidence(
            (crash,), (SoundTrait("hot", 5.0),), (QuarantinedTraits(("worse",), 2.0),)
        )
        self.assertEqual(evidence, self.quarantine.merge(evidence, self.now).news)
        self.assertFalse(self.quarantine.merge(evidence, self.now).news)

    def test_a_vm_that_saw_a_response_on_an_accused_part_replies(self) -> None:
        self.sound("hot")
        crash = ServerCrash("engine-1", ("hot", "bad"), 0.0, "vm-2")
        self.now += 1.5
        merged = self.quarantine.merge(CrashEvidence(crashes=(crash,)), self.now)
        self.assertEqual(CrashEvidence(sound=(SoundTrait("hot", 1.5),)), merged.reply)

    def test_a_response_after_a_crash_is_told_once(self) -> None:
        self.crash("rare")
        self.now += 0.1
        news = self.quarantine.record_sound(("hot", "rare"), self.now)
        self.assertEqual(CrashEvidence(sound=(SoundTrait("rare", 0.0),)), news)
        self.assertFalse(self.quarantine.record_sound(("hot", "rare"), self.now + 0.1))

    def test_a_vm_that_was_cut_off_does_not_revive_a_quarantine(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("bad")
        self.assertEqual(["bad"], self.quarantined())
        former = self.quarantine.snapshot(self.now)
        self.sound("bad")
        self.now += 5.0
        aged = CrashEvidence(
            tuple(
                ServerCrash(item.server, item.traits, item.age + 6.0, item.vm)
                for item in former.crashes
            ),
            quarantined=(QuarantinedTraits(("bad",), former.quarantined[0].age + 6.0),),
        )
        merged = self.quarantine.merge(aged, self.now)
        self.assertEqual([], self.quarantined())
        self.assertEqual(["bad"], [item.trait for item in merged.reply.sound])

    def test_a_vm_that_restarted_learns_of_a_quarantine(self) -> None:
        for _ in range(CRASHES_TO_QUARANTINE):
            self.crash("bad")
        self.assertEqual(["bad"], self.quarantined())
        # The crashes are forgotten before the quarantine ends.
        self.now += CRASH_MEMORY
        restarted = TraitQuarantine()
        restarted.merge(self.quarantine.snapshot(self.now), self.now)
        self.assertEqual(["bad"], quarantined_traits(restarted, self.now))
        left = QUARANTINE_PERIOD - CRASH_MEMORY
        self.assertEqual(left, restarted.seconds_left(["bad"], self.now))


#: What a VM observes: the time, the engine that crashed or ``None`` for a response, and the traits.
Observation = tuple[int, int, frozenset[str]]

_PARTS = st.frozensets(st.sampled_from(["a", "b", "c", "d"]), min_size=1, max_size=3)
_OBSERVATIONS = st.lists(st.tuples(st.integers(0, 40), st.integers(-6, 8), _PARTS), max_size=30)


class MergeOrderTest(testtools.TestCase):
    """Evidence is passed on over several connections, so it arrives in any order and repeatedly."""

    @settings(derandomize=True, max_examples=300)
    @given(_OBSERVATIONS, st.randoms(use_true_random=False))
    def test_vms_agree_in_whatever_order_evidence_arrives(
        self, observations: list[Observation], shuffled: random.Random
    ) -> None:
        now = 100.0
        evidence = [_evidence_of(observation, now) for observation in observations]
        outcomes = []
        for _ in range(3):
            shuffled.shuffle(evidence)
            repeated = [*evidence, *shuffled.choices(evidence, k=5)] if evidence else []
            outcomes.append(_outcome(repeated, now))
        self.assertEqual([outcomes[0]] * 3, outcomes)

    @settings(derandomize=True, max_examples=300)
    @given(_OBSERVATIONS)
    def test_a_part_with_a_later_response_is_not_quarantined(
        self, observations: list[Observation]
    ) -> None:
        now = 100.0
        responses = [(at, traits) for at, engine, traits in observations if engine <= 0]
        crashed = [(at, traits) for at, engine, traits in observations if engine > 0]
        quarantined, _ = _outcome([_evidence_of(item, now) for item in observations], now)
        for trait in "+".join(quarantined).split("+") if quarantined else []:
            latest = max(at for at, traits in crashed if trait in traits)
            self.assertTrue(all(at <= latest for at, traits in responses if trait in traits))

    @settings(derandomize=True, max_examples=100)
    @given(st.integers(0, 2**32), st.integers(1, 4), st.integers(0, 12))
    def test_the_culprit_is_found_in_random_traffic(
        self, seed: int, concurrency: int, topics: int
    ) -> None:
        """Each engine processes several requests, some with the trait that crashes it."""
        chosen = random.Random(seed)
        quarantine, now, crashes = TraitQuarantine(), 0.0, 0
        for number in range(60):
            now += 0.3
            requests = [["first", f"topic-{chosen.randint(0, topics)}"] for _ in range(concurrency)]
            if chosen.random() < 0.4:
                requests.append(["first", "bad", f"topic-{chosen.randint(0, topics)}"])
            sent = [traits for traits in requests if quarantine.seconds_left(traits, now) == 0]
            if any("bad" in traits for traits in sent):
                crashes += 1
                accused = {trait for traits in sent for trait in traits}
                quarantine.record_crash(f"engine-{number}", sorted(accused), "vm", now)
            else:
                for traits in sent:
                    quarantine.record_sound(traits, now)
            quarantine.review(now + EVIDENCE_DELAY)
        self.assertTrue(crashes <= PERMITTED_CRASHES, crashes)
        self.assertNotIn("first", quarantined_traits(quarantine, now))


class SeveralVmsTest(testtools.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.integers(0, 2**32), st.integers(2, 6), st.integers(0, 30))
    def test_vms_that_see_different_requests_find_the_culprit_together(
        self, seed: int, vm_count: int, topics: int
    ) -> None:
        """Requests with and without the trait share engines, VMs, the first trait and topics."""
        fleet = SimulatedFleet(random.Random(seed), vm_count)
        for _ in range(100):
            fleet.run_engine(topics)
        self.assertTrue(fleet.crashes <= PERMITTED_CRASHES, fleet.crashes)
        fleet.deliver_all()
        refused = [quarantined_traits(vm, fleet.now) for vm in fleet.vms]
        self.assertEqual([refused[0]] * vm_count, refused)
        self.assertIn("bad", refused[0])
        self.assertNotIn("first", refused[0])
        self.assertEqual(0, fleet.sound_requests_refused)


class SimulatedFleet:
    """VMs that send requests to engines and exchange evidence over the first VM, with delays."""

    def __init__(self, chosen: random.Random, vm_count: int) -> None:
        self._chosen = chosen
        self.vms = [TraitQuarantine() for _ in range(vm_count)]
        self.now = 1000.0
        self.crashes = 0
        self.sound_requests_refused = 0
        self._engines = 0
        #: Time of arrival, sender, receiver and content of each message.
        self._messages: list[tuple[float, int, int, CrashEvidence]] = []

    def run_engine(self, topics: int) -> None:
        """Runs the requests of one engine until it crashes or has responded to all."""
        self.now += self._chosen.uniform(0.05, 0.4)
        self._deliver(self.now)
        requests: list[tuple[str, ...]] = [
            ("first", f"topic-{self._chosen.randint(0, topics)}")
            for _ in range(self._chosen.randint(0, 4))
        ]
        if self._chosen.random() < 0.3:
            requests.append(("first", "bad", f"topic-{self._chosen.randint(0, topics)}"))
        sent: list[tuple[int, tuple[str, ...]]] = []
        for traits in requests:
            vm = self._chosen.randrange(len(self.vms))
            self.vms[vm].review(self.now)
            if self.vms[vm].seconds_left(traits, self.now) == 0:
                sent.append((vm, traits))
            elif "bad" not in traits:
                self.sound_requests_refused += 1
        self._engines += 1
        is_crash = any("bad" in traits for _, traits in sent)
        self.crashes += is_crash
        for vm, traits in sent:
            if is_crash:
                engine = f"engine-{self._engines}"
                news = self.vms[vm].record_crash(engine, traits, f"vm-{vm}", self.now)
            else:
                news = self.vms[vm].record_sound(traits, self.now)
            self._send(vm, None, news)

    def deliver_all(self) -> None:
        """Delivers all messages."""
        while self._messages:
            self.now += 1.0
            self._deliver(self.now)
        self.now += EVIDENCE_DELAY

    def _deliver(self, until: float) -> None:
        while self._messages and min(self._messages, key=lambda item: item[0])[0] <= until:
            message = min(self._messages, key=lambda item: item[0])
            self._messages.remove(message)
            at, sender, receiver, evidence = message
            merged = self.vms[receiver].merge(evidence, at)
            self._send(receiver, sender, merged.news, at)
            self._post(receiver, sender, merged.reply, at)

    def _send(
        self, sender: int, source: int | None, evidence: CrashEvidence, at: float | None = None
    ) -> None:
        receivers = range(1, len(self.vms)) if sender == 0 else [0]
        for receiver in receivers:
            if receiver != source:
                self._post(sender, receiver, evidence, self.now if at is None else at)

    def _post(self, sender: int, receiver: int, evidence: CrashEvidence, at: float) -> None:
        if evidence:
            arrival = at + self._chosen.uniform(0.001, 0.05)
            self._messages.append((arrival, sender, receiver, evidence))


def _evidence_of(observation: Observation, now: float) -> CrashEvidence:
    at, engine, traits = observation
    if engine > 0:
        crash = ServerCrash(f"engine-{engine}", tuple(sorted(traits)), now - at, "vm")
        return CrashEvidence(crashes=(crash,))
    return CrashEvidence(sound=tuple(SoundTrait(trait, now - at) for trait in sorted(traits)))


def _outcome(
    evidence: Iterable[CrashEvidence], now: float
) -> tuple[list[str], dict[str, tuple[str, ...]]]:
    quarantine = TraitQuarantine()
    for item in evidence:
        quarantine.merge(item, now)
    traits = quarantined_traits(quarantine, now)
    crashes = {item.server: item.traits for item in quarantine.snapshot(now).crashes}
    return traits, crashes
