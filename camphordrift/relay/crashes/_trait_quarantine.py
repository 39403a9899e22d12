"""Decides which traits of requests are quarantined, because servers crash on them.

All points in time are seconds of one monotonic clock and are passed in by the caller. Evidence of
several VMs is merged; its order, and whether it arrives more than once, do not matter.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay.crashes._crash_analysis import CrashAnalysis, RecordedCrash
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
    QuarantineChange,
    Quarantines,
    QuarantineStarted,
    Traits,
)
from camphordrift.relay.crashes._sound_traits import SOUND_TOLERANCE, SoundTraits
from camphordrift.relay.crashes._suspected_crashes import SuspectedCrashes

#: Seconds after which a crash no longer counts.
CRASH_MEMORY = 300.0

#: Seconds after a crash before it counts, so that the evidence of other VMs has arrived.
EVIDENCE_DELAY = 0.2

#: Maximum number of crashes, and of traits accused of one crash. The oldest crashes are dropped
#: first.
MAX_CRASHES = 256
MAX_ACCUSED_TRAITS = 64


@dataclass(frozen=True)
class MergedEvidence:
    """The result of merging another VM's evidence."""

    #: What was not known before; the other VMs should know it, too.
    news: CrashEvidence
    #: What the sender does not know.
    reply: CrashEvidence


class TraitQuarantine:
    """Collects evidence about traits of requests and decides which ones are quarantined.

    A server that ended a connection is only suspected of a crash at first. Suspicions keep requests
    from being retried, but quarantine no trait, and other VMs are not told of them.
    """

    def __init__(self) -> None:
        self._crashes: dict[str, RecordedCrash] = {}
        self._suspected = SuspectedCrashes()
        self._sound = SoundTraits()
        self._quarantines = Quarantines()
        self._review_at = float("inf")
        #: Analysis of all crashes, suspected ones included; ``None`` after a change.
        self._analysis: Optional[CrashAnalysis] = None

    def record_crash(
        self, server: str, traits: Iterable[str], vm: str, now: float
    ) -> CrashEvidence:
        """Records that a server crashed under requests without an established response.

        Args:
            server: Id and start time of the server.
            traits: Traits of the requests' prompts.
            vm: Id of this VM.
            now: The current time.

        Returns:
            What other VMs should know.

        """
        crash = ServerCrash(server, tuple(traits), 0.0, vm)
        return self.merge(CrashEvidence(crashes=(crash,)), now).news

    def suspect_crash(self, server: str, traits: Iterable[str], now: float) -> None:
        """Records that a server ended a connection, so that it may have crashed."""
        self._suspected.add(server, traits, now)
        self._analysis = None

    def is_suspected(self, server: str) -> bool:
        """Returns whether it is not known yet if a server has crashed."""
        return server in self._suspected

    def rule_out_crash(self, server: str, until: float, now: float) -> None:
        """Records that a server did not crash before the time ``until``."""
        self._suspected.rule_out(server, until, now)
        self._analysis = None

    def confirm_crash(
        self, server: str, vm: str, now: float, restarted: bool = False
    ) -> CrashEvidence:
        """Records the crash of a server that is suspected of one.

        Args:
            server: Id and start time of the server.
            vm: Id of this VM.
            now: The current time.
            restarted: Whether another start of the server is known.

        Returns:
            What other VMs should know.

        """
        crashes = tuple(
            ServerCrash(server, tuple(sorted(crash.traits)), now - crash.at, crash.vm)
            for crash in self._suspected.take(server, restarted, vm, now)
        )
        self._analysis = None
        return self.merge(CrashEvidence(crashes=crashes), now).news

    def record_sound(self, traits: Iterable[str], now: float) -> CrashEvidence:
        """Records an established response on traits; returns what other VMs should know."""
        news = [trait for trait in traits if self._set_sound(trait, now, now, float("inf"))]
        return CrashEvidence(sound=tuple(SoundTrait(trait, 0.0) for trait in news))

    def merge(self, evidence: CrashEvidence, now: float) -> MergedEvidence:
        """Merges the evidence of another VM."""
        merged = [self._merge_crash(crash, now) for crash in evidence.crashes]
        crashes = tuple(crash for crash in merged if crash is not None)
        sound = tuple(
            item
            for item in evidence.sound
            if self._set_sound(item.trait, now - item.age, now, SOUND_TOLERANCE)
        )
        quarantined = tuple(
            item for item in evidence.quarantined if self._merge_quarantine(item, now)
        )
        known = self._sound.unknown_in(CrashEvidence(crashes, evidence.sound), now)
        reply = self._sound.unknown_in(evidence, now)
        return MergedEvidence(
            CrashEvidence(crashes, (*sound, *known), quarantined), CrashEvidence(sound=reply)
        )

    def snapshot(self, now: float) -> CrashEvidence:
        """Returns all evidence that another VM may need."""
        self._drop_expired(now)
        accused = {trait for crash in self._crashes.values() for trait in crash.traits}
        return CrashEvidence(
            tuple(
                ServerCrash(server, tuple(sorted(crash.traits)), now - crash.at, crash.vm)
                for server, crash in self._crashes.items()
            ),
            tuple(
                SoundTrait(trait, now - self._sound[trait])
                for trait in sorted(accused)
                if trait in self._sound
            ),
            tuple(QuarantinedTraits(traits, now - at) for traits, at in self._quarantines),
        )

    def review(self, now: float) -> list[QuarantineChange]:
        """Starts and ends quarantines that are due; returns all changes since the last review."""
        if now >= self._review_at:
            self._drop_expired(now)
            # Each round starts a quarantine. The number of rounds is limited because an old one may
            # be dropped for each new one.
            for _ in range(MAX_QUARANTINES):
                if not self._start_quarantine(now):
                    break
            self._review_at = min(self._next_reviews(now), default=float("inf"))
        return self._quarantines.take_changes()

    def seconds_left(self, traits: Iterable[str], now: float) -> float:
        """Returns the seconds for which requests with the traits are refused; 0 if they may run."""
        return self._quarantines.seconds_left(traits, now)

    def quarantined_traits(self, now: float) -> dict[Traits, float]:
        """Returns the seconds for which each quarantine has been in force."""
        return {
            traits: now - self._quarantines.started_at(traits)
            for traits in self._quarantines.active
        }

    def accused_of(self, trait: str, now: float) -> int:
        """Returns the number of servers that may have crashed on a trait.

        It is 0 for a trait that was sound shortly before or at any time after the crashes, and at
        least 1 for a trait whose quarantine has ended.
        """
        if (self._crashes or self._suspected) and self._analysis is None:
            self._analysis = self._analyze(self._all_crashes())
        count = 0 if self._analysis is None else self._analysis.accused_of(trait)
        return max(count, int(self._quarantines.is_on_probation(trait)))

    def _all_crashes(self) -> dict[str, RecordedCrash]:
        """Returns the crashes, suspected ones included."""
        crashes = self._suspected.crashes()
        for server, crash in self._crashes.items():
            suspected = crashes.get(server)
            traits = crash.traits if suspected is None else crash.traits | suspected.traits
            crashes[server] = RecordedCrash(crash.at, traits, crash.vm)
        return crashes

    def _analyze(self, crashes: Mapping[str, RecordedCrash]) -> CrashAnalysis:
        # Traits that could not be told apart explain no crash, as the culprit is still to be found.
        known = {traits[0] for traits in self._quarantines.active if len(traits) == 1}
        return CrashAnalysis(crashes, self._sound, known)

    def _start_quarantine(self, now: float) -> bool:
        """Starts the quarantine that is due first; returns whether there was one."""
        counted = {
            server: crash
            for server, crash in self._crashes.items()
            if now - crash.at >= EVIDENCE_DELAY
        }
        analysis = self._analyze(counted)
        traits = self._relapsed(analysis) or analysis.find_culprits(self._quarantines.active)
        if traits is None:
            return False
        servers = analysis.servers(traits[0])
        vms = sorted({counted[server].vm for server in servers})
        self._quarantines.start(QuarantineStarted(traits, servers, tuple(vms)), now, now)
        self._set_changed()
        return True

    def _relapsed(self, analysis: CrashAnalysis) -> Optional[Traits]:
        """Returns traits on which a server crashed after their quarantine."""
        for traits, started_at in self._quarantines:
            servers = set.intersection(*(set(analysis.servers(trait)) for trait in traits))
            if traits not in self._quarantines.active and any(
                self._crashes[server].at > started_at + QUARANTINE_PERIOD for server in servers
            ):
                return traits
        return None

    def _merge_crash(self, crash: ServerCrash, now: float) -> Optional[ServerCrash]:
        """Merges a crash; returns it with all known traits if other VMs should know it."""
        at = now - crash.age
        if crash.age >= CRASH_MEMORY or not crash.traits:
            return None
        known = self._crashes.get(crash.server)
        if known is None:
            known = self._crashes[crash.server] = RecordedCrash(at, set(), crash.vm)
            if len(self._crashes) > MAX_CRASHES:
                del self._crashes[min(self._crashes, key=lambda server: self._crashes[server].at)]
        known.at = min(known.at, at)
        added = [trait for trait in crash.traits if trait not in known.traits]
        added = added[: MAX_ACCUSED_TRAITS - len(known.traits)]
        if not added:
            return None
        known.traits.update(added)
        self._set_changed()
        return ServerCrash(crash.server, tuple(sorted(known.traits)), now - known.at, known.vm)

    def _merge_quarantine(self, item: QuarantinedTraits, now: float) -> bool:
        """Merges a quarantine; returns whether other VMs should know it."""
        at = now - item.age
        traits = tuple(trait for trait in item.traits if self._sound[trait] <= at)
        if not traits or item.age >= QUARANTINE_PERIOD + PROBATION_PERIOD:
            return False
        if any({*known} < {*traits} for known in self._quarantines.active):
            return False
        if at <= self._quarantines.started_at(traits) + SOUND_TOLERANCE:
            return False
        self._quarantines.start(QuarantineStarted(traits), at, now)
        self._set_changed()
        return True

    def _set_sound(self, trait: str, at: float, now: float, tolerance: float) -> bool:
        """Records when a response was established; returns whether other VMs should know it."""
        known = self._sound[trait]
        if at <= known:
            return False
        latest = self._sound.latest
        self._sound.record(trait, at)
        if self._suspected:
            self._analysis = None
        is_news = at - known > tolerance
        for crash in self._crashes.values():
            if trait in crash.traits and known <= crash.at:
                is_news = is_news or crash.at < at
                self._set_changed()
            if latest <= crash.at < at:
                self._set_changed()
        if self._quarantines.record_sound(trait, at, now):
            self._set_changed()
            is_news = True
        return is_news

    def _set_changed(self) -> None:
        self._review_at = float("-inf")
        self._analysis = None

    def _drop_expired(self, now: float) -> None:
        expired = [key for key, crash in self._crashes.items() if now - crash.at >= CRASH_MEMORY]
        for server in expired:
            del self._crashes[server]
        self._quarantines.expire(now)
        self._analysis = None

    def _next_reviews(self, now: float) -> Iterator[float]:
        for crash in self._crashes.values():
            counts_at = crash.at + EVIDENCE_DELAY
            yield counts_at if counts_at > now else crash.at + CRASH_MEMORY
        yield from self._quarantines.next_changes(now)
