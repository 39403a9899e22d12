"""Decides which parts of prompts are quarantined, because engines crash on them.

All points in time are seconds of one monotonic clock and are passed in by the caller. Evidence of
several VMs is merged; its order, and whether it arrives more than once, do not matter.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Optional, Union

from camphordrift.relay._part_crashes import CrashAnalysis, RecordedCrash
from camphordrift.relay._part_evidence import (
    EngineCrash,
    PartEvidence,
    QuarantinedPart,
    SoundPart,
)
from camphordrift.relay._sound_parts import SOUND_TOLERANCE, SoundParts

#: Seconds for which requests with a quarantined part are refused.
QUARANTINE_PERIOD = 600.0

#: Seconds after a quarantine in which a single crash starts the next one.
PROBATION_PERIOD = 600.0

#: Seconds after which a crash no longer counts.
CRASH_MEMORY = 300.0

#: Seconds after a crash before it counts, so that the evidence of other VMs has arrived.
EVIDENCE_DELAY = 0.2

#: Maximum number of crashes, of parts accused of one crash, and of quarantined parts. The oldest
#: crashes and quarantines are dropped first.
MAX_CRASHES = 256
MAX_ACCUSED_PARTS = 64
MAX_QUARANTINED_PARTS = 64


@dataclass(frozen=True)
class QuarantineStarted:
    """A part was quarantined."""

    part: str
    #: Engines that crashed on the part; none if another VM told of the quarantine.
    engines: tuple[str, ...] = ()
    #: VMs that recorded the crashes.
    vms: tuple[str, ...] = ()


@dataclass(frozen=True)
class QuarantineEnded:
    """A part is no longer quarantined."""

    part: str
    #: Whether a response was established on the part; otherwise its time has passed.
    is_sound: bool


QuarantineChange = Union[QuarantineStarted, QuarantineEnded]


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
        #: Time at which the quarantine of each part began; kept until the end of its probation.
        self._quarantined_at: dict[str, float] = {}
        #: Quarantined parts, without those on probation.
        self._active: set[str] = set()
        self._changes: list[QuarantineChange] = []
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
        news = [part for part in parts if self._set_sound(part, now, float("inf"))]
        return PartEvidence(sound=tuple(SoundPart(part, 0.0) for part in news))

    def merge(self, evidence: PartEvidence, now: float) -> MergedEvidence:
        """Merges the evidence of another VM."""
        merged = [self._merge_crash(crash, now) for crash in evidence.crashes]
        crashes = tuple(crash for crash in merged if crash is not None)
        sound = tuple(
            item
            for item in evidence.sound
            if self._set_sound(item.part, now - item.age, SOUND_TOLERANCE)
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
            tuple(QuarantinedPart(part, now - at) for part, at in self._quarantined_at.items()),
        )

    def review(self, now: float) -> list[QuarantineChange]:
        """Starts and ends quarantines that are due; returns all changes since the last review."""
        if now >= self._review_at:
            self._drop_expired(now)
            # Each round quarantines at least one part.
            for _ in range(MAX_QUARANTINED_PARTS):
                if not self._start_quarantines(now):
                    break
            self._review_at = min(self._next_reviews(now), default=float("inf"))
        changes, self._changes = self._changes, []
        return changes

    def seconds_left(self, part: str, now: float) -> float:
        """Returns the seconds for which a part remains quarantined; 0 if it is not."""
        return max(0.0, self._quarantined_at.get(part, float("-inf")) + QUARANTINE_PERIOD - now)

    def quarantined_parts(self, now: float) -> dict[str, float]:
        """Returns the seconds for which each quarantined part has been quarantined."""
        return {part: now - self._quarantined_at[part] for part in self._active}

    def accused_of(self, part: str, now: float) -> int:
        """Returns the number of engines that may have crashed on a part.

        It is 0 for a part that was sound shortly before or at any time after the crashes, and at
        least 1 for a part whose quarantine has ended.
        """
        if self._crashes and self._analysis is None:
            self._analysis = self._analyze(self._crashes, now)
        count = 0 if self._analysis is None else self._analysis.accused_of(part)
        return max(count, int(part in self._quarantined_at))

    def _analyze(self, crashes: Mapping[str, RecordedCrash], now: float) -> CrashAnalysis:
        known = {part for part in self._active if self.seconds_left(part, now) > 0}
        return CrashAnalysis(crashes, self._sound, known)

    def _start_quarantines(self, now: float) -> bool:
        """Starts the quarantines that are due first; returns whether there were any."""
        counted = {
            engine: crash
            for engine, crash in self._crashes.items()
            if now - crash.at >= EVIDENCE_DELAY
        }
        analysis = self._analyze(counted, now)
        culprits = self._relapsed_parts(analysis, now) or analysis.find_culprits()
        for part in culprits:
            engines = analysis.engines(part)
            vms = sorted({counted[engine].vm for engine in engines})
            self._quarantine(part, now)
            self._start(QuarantineStarted(part, engines, tuple(vms)))
        return bool(culprits)

    def _relapsed_parts(self, analysis: CrashAnalysis, now: float) -> tuple[str, ...]:
        """Returns the parts on which an engine crashed after their quarantine."""
        return tuple(
            part
            for part, at in self._quarantined_at.items()
            if part not in self._active
            and any(
                self._crashes[engine].at > at + QUARANTINE_PERIOD
                for engine in analysis.engines(part)
            )
        )

    def _quarantine(self, part: str, at: float) -> None:
        self._quarantined_at[part] = at
        if len(self._quarantined_at) > MAX_QUARANTINED_PARTS:
            oldest = min(self._quarantined_at, key=self._quarantined_at.__getitem__)
            del self._quarantined_at[oldest]
            self._end(oldest, is_sound=False)
        self._set_changed()

    def _start(self, change: QuarantineStarted) -> None:
        self._active.add(change.part)
        self._changes.append(change)

    def _end(self, part: str, is_sound: bool) -> None:
        if part in self._active:
            self._active.remove(part)
            self._changes.append(QuarantineEnded(part, is_sound))

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

    def _merge_quarantine(self, item: QuarantinedPart, now: float) -> bool:
        """Merges a quarantine; returns whether other VMs should know it."""
        at = now - item.age
        known = self._quarantined_at.get(item.part, float("-inf"))
        if item.age >= QUARANTINE_PERIOD + PROBATION_PERIOD or self._sound[item.part] > at:
            return False
        if at <= known + SOUND_TOLERANCE:
            return False
        self._quarantine(item.part, at)
        if self.seconds_left(item.part, now) > 0:
            self._start(QuarantineStarted(item.part))
        return True

    def _set_sound(self, part: str, at: float, tolerance: float) -> bool:
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
        if part in self._quarantined_at and self._quarantined_at[part] < at:
            del self._quarantined_at[part]
            self._end(part, is_sound=True)
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
        for part, at in list(self._quarantined_at.items()):
            if now >= at + QUARANTINE_PERIOD:
                self._end(part, is_sound=False)
            if now >= at + QUARANTINE_PERIOD + PROBATION_PERIOD:
                del self._quarantined_at[part]
        self._analysis = None

    def _next_reviews(self, now: float) -> Iterator[float]:
        for crash in self._crashes.values():
            yield from (
                at for at in (crash.at + EVIDENCE_DELAY, crash.at + CRASH_MEMORY) if at > now
            )
        for at in self._quarantined_at.values():
            yield from (
                end
                for end in (at + QUARANTINE_PERIOD, at + QUARANTINE_PERIOD + PROBATION_PERIOD)
                if end > now
            )
