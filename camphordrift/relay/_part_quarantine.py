"""Decides which parts of prompts are quarantined, because engines crash on them.

All points in time are seconds of one monotonic clock and are passed in by the caller. Evidence of
several VMs is merged; its order, and whether it arrives more than once, do not matter.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay._part_crashes import CrashAnalysis, RecordedCrash
from camphordrift.relay._part_evidence import (
    EngineCrash,
    PartEvidence,
    QuarantinedParts,
    SoundPart,
)
from camphordrift.relay._quarantines import (
    MAX_QUARANTINES,
    PROBATION_PERIOD,
    QUARANTINE_PERIOD,
    Parts,
    QuarantineChange,
    Quarantines,
    QuarantineStarted,
)
from camphordrift.relay._sound_parts import SOUND_TOLERANCE, SoundParts

#: Seconds after which a crash no longer counts.
CRASH_MEMORY = 300.0

#: Seconds after a crash before it counts, so that the evidence of other VMs has arrived.
EVIDENCE_DELAY = 0.2

#: Maximum number of crashes, and of parts accused of one crash. The oldest crashes are dropped
#: first.
MAX_CRASHES = 256
MAX_ACCUSED_PARTS = 64


@dataclass(frozen=True)
class MergedEvidence:
    """The result of merging another VM's evidence."""

    #: What was not known before; the other VMs should know it, too.
    news: PartEvidence
    #: What the sender does not know.
    reply: PartEvidence


class PartQuarantine:
    """Collects evidence about parts of prompts and decides which ones are quarantined."""

    def __init__(self) -> None:
        self._crashes: dict[str, RecordedCrash] = {}
        self._sound = SoundParts()
        self._quarantines = Quarantines()
        self._review_at = float("inf")
        #: Analysis of all crashes; ``None`` after a change.
        self._analysis: Optional[CrashAnalysis] = None

    def record_crash(self, engine: str, parts: Iterable[str], vm: str, now: float) -> PartEvidence:
        """Records that an engine crashed under requests without an established response.

        Args:
            engine: Id and start time of the engine.
            parts: Parts of the requests' prompts.
            vm: Id of this VM.
            now: The current time.

        Returns:
            What other VMs should know.

        """
        crash = EngineCrash(engine, tuple(parts), 0.0, vm)
        return self.merge(PartEvidence(crashes=(crash,)), now).news

    def record_sound(self, parts: Iterable[str], now: float) -> PartEvidence:
        """Records an established response on parts; returns what other VMs should know."""
        news = [part for part in parts if self._set_sound(part, now, now, float("inf"))]
        return PartEvidence(sound=tuple(SoundPart(part, 0.0) for part in news))

    def merge(self, evidence: PartEvidence, now: float) -> MergedEvidence:
        """Merges the evidence of another VM."""
        merged = [self._merge_crash(crash, now) for crash in evidence.crashes]
        crashes = tuple(crash for crash in merged if crash is not None)
        sound = tuple(
            item
            for item in evidence.sound
            if self._set_sound(item.part, now - item.age, now, SOUND_TOLERANCE)
        )
        quarantined = tuple(
            item for item in evidence.quarantined if self._merge_quarantine(item, now)
        )
        known = self._sound.unknown_in(PartEvidence(crashes, evidence.sound), now)
        reply = self._sound.unknown_in(evidence, now)
        return MergedEvidence(
            PartEvidence(crashes, (*sound, *known), quarantined), PartEvidence(sound=reply)
        )

    def snapshot(self, now: float) -> PartEvidence:
        """Returns all evidence that another VM may need."""
        self._drop_expired(now)
        accused = {part for crash in self._crashes.values() for part in crash.parts}
        return PartEvidence(
            tuple(
                EngineCrash(engine, tuple(sorted(crash.parts)), now - crash.at, crash.vm)
                for engine, crash in self._crashes.items()
            ),
            tuple(
                SoundPart(part, now - self._sound[part])
                for part in sorted(accused)
                if part in self._sound
            ),
            tuple(QuarantinedParts(parts, now - at) for parts, at in self._quarantines),
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

    def seconds_left(self, prompt_parts: Iterable[str], now: float) -> float:
        """Returns for how many seconds requests with these parts are refused; 0 if they may run."""
        return self._quarantines.seconds_left(prompt_parts, now)

    def quarantined_parts(self, now: float) -> dict[Parts, float]:
        """Returns the seconds for which each quarantine has been in force."""
        return {
            parts: now - self._quarantines.started_at(parts) for parts in self._quarantines.active
        }

    def accused_of(self, part: str, now: float) -> int:
        """Returns the number of engines that may have crashed on a part.

        It is 0 for a part that was sound shortly before or at any time after the crashes, and at
        least 1 for a part whose quarantine has ended.
        """
        if self._crashes and self._analysis is None:
            self._analysis = self._analyze(self._crashes)
        count = 0 if self._analysis is None else self._analysis.accused_of(part)
        return max(count, int(self._quarantines.is_on_probation(part)))

    def _analyze(self, crashes: Mapping[str, RecordedCrash]) -> CrashAnalysis:
        # Parts that could not be told apart explain no crash, as the culprit is still to be found.
        known = {parts[0] for parts in self._quarantines.active if len(parts) == 1}
        return CrashAnalysis(crashes, self._sound, known)

    def _start_quarantine(self, now: float) -> bool:
        """Starts the quarantine that is due first; returns whether there was one."""
        counted = {
            engine: crash
            for engine, crash in self._crashes.items()
            if now - crash.at >= EVIDENCE_DELAY
        }
        analysis = self._analyze(counted)
        parts = self._relapsed(analysis) or analysis.find_culprits(self._quarantines.active)
        if parts is None:
            return False
        engines = analysis.engines(parts[0])
        vms = sorted({counted[engine].vm for engine in engines})
        self._quarantines.start(QuarantineStarted(parts, engines, tuple(vms)), now, now)
        self._set_changed()
        return True

    def _relapsed(self, analysis: CrashAnalysis) -> Optional[Parts]:
        """Returns parts on which an engine crashed after their quarantine."""
        for parts, started_at in self._quarantines:
            engines = set.intersection(*(set(analysis.engines(part)) for part in parts))
            if parts not in self._quarantines.active and any(
                self._crashes[engine].at > started_at + QUARANTINE_PERIOD for engine in engines
            ):
                return parts
        return None

    def _merge_crash(self, crash: EngineCrash, now: float) -> Optional[EngineCrash]:
        """Merges a crash; returns it with all known parts if other VMs should know it."""
        at = now - crash.age
        if crash.age >= CRASH_MEMORY or not crash.parts:
            return None
        known = self._crashes.get(crash.engine)
        if known is None:
            known = self._crashes[crash.engine] = RecordedCrash(at, set(), crash.vm)
            if len(self._crashes) > MAX_CRASHES:
                del self._crashes[min(self._crashes, key=lambda engine: self._crashes[engine].at)]
        known.at = min(known.at, at)
        added = [part for part in crash.parts if part not in known.parts]
        added = added[: MAX_ACCUSED_PARTS - len(known.parts)]
        if not added:
            return None
        known.parts.update(added)
        self._set_changed()
        return EngineCrash(crash.engine, tuple(sorted(known.parts)), now - known.at, known.vm)

    def _merge_quarantine(self, item: QuarantinedParts, now: float) -> bool:
        """Merges a quarantine; returns whether other VMs should know it."""
        at = now - item.age
        parts = tuple(part for part in item.parts if self._sound[part] <= at)
        if not parts or item.age >= QUARANTINE_PERIOD + PROBATION_PERIOD:
            return False
        if any({*known} < {*parts} for known in self._quarantines.active):
            return False
        if at <= self._quarantines.started_at(parts) + SOUND_TOLERANCE:
            return False
        self._quarantines.start(QuarantineStarted(parts), at, now)
        self._set_changed()
        return True

    def _set_sound(self, part: str, at: float, now: float, tolerance: float) -> bool:
        """Records when a response was established; returns whether other VMs should know it."""
        known = self._sound[part]
        if at <= known:
            return False
        latest = self._sound.latest
        self._sound.record(part, at)
        is_news = at - known > tolerance
        for crash in self._crashes.values():
            if part in crash.parts and known <= crash.at:
                is_news = is_news or crash.at < at
                self._set_changed()
            if latest <= crash.at < at:
                self._set_changed()
        if self._quarantines.record_sound(part, at, now):
            self._set_changed()
            is_news = True
        return is_news

    def _set_changed(self) -> None:
        self._review_at = float("-inf")
        self._analysis = None

    def _drop_expired(self, now: float) -> None:
        expired = [key for key, crash in self._crashes.items() if now - crash.at >= CRASH_MEMORY]
        for engine in expired:
            del self._crashes[engine]
        self._quarantines.expire(now)
        self._analysis = None

    def _next_reviews(self, now: float) -> Iterator[float]:
        for crash in self._crashes.values():
            counts_at = crash.at + EVIDENCE_DELAY
            yield counts_at if counts_at > now else crash.at + CRASH_MEMORY
        yield from self._quarantines.next_changes(now)
