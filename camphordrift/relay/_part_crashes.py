"""Finds the part of prompts that explains the crashes of several engines."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay._sound_parts import SoundParts

#: Engines that crash on a part before it is quarantined.
CRASHES_TO_QUARANTINE = 3

#: The same for a part that was sound before.
CRASHES_IF_SOUND_BEFORE = 5

#: Seconds after a response on a part in which the part counts as sound before a crash.
SOUND_MEMORY = 120.0

#: Crashes within this number of seconds have one cause, such as a loss of power, and count once. A
#: retry needs longer until its engine crashes, too.
SAME_CAUSE_SECONDS = 0.03


@dataclass
class RecordedCrash:
    """An engine's crash and the parts that may have caused it."""

    #: Time of the crash in seconds.
    at: float
    parts: set[str]
    #: Id of the VM that recorded the crash first.
    vm: str


@dataclass(frozen=True)
class _Accusation:
    """A part and the crashes after its latest response."""

    part: str
    engines: frozenset[str]
    #: Time of the latest response on the part; minus infinity if there is none.
    sound_at: float
    #: Number of crashes with different causes.
    count: int
    was_sound: bool

    def explains_at_least(self, other: "_Accusation") -> bool:
        """Returns whether this part is as likely to be the cause of the other one's crashes."""
        return self.engines >= other.engines and self.sound_at <= other.sound_at


class CrashAnalysis:
    """The crashes that no known part explains, and the parts that are accused of them.

    Args:
        crashes: The crashes, by engine.
        sound: Time of the latest response on each part.
        known: Parts that are known to crash engines; they explain each crash with one of them.

    """

    def __init__(
        self,
        crashes: Mapping[str, RecordedCrash],
        sound: SoundParts,
        known: Collection[str],
    ) -> None:
        self._crashes = crashes
        self._sound = sound
        engines_by_part: dict[str, set[str]] = {}
        for engine, crash in crashes.items():
            if crash.parts.isdisjoint(known):
                for part in crash.parts:
                    if sound[part] <= crash.at:
                        engines_by_part.setdefault(part, set()).add(engine)
        self._accusations = {
            part: self._accuse(part, frozenset(engines))
            for part, engines in engines_by_part.items()
        }

    def engines(self, part: str) -> tuple[str, ...]:
        """Returns the engines whose crashes a part is accused of."""
        accusation = self._accusations.get(part)
        return () if accusation is None else tuple(sorted(accusation.engines))

    def accused_of(self, part: str) -> int:
        """Returns the number of engines that crashed on a part that was not sound before."""
        accusation = self._accusations.get(part)
        if accusation is None or accusation.was_sound:
            return 0
        return len(accusation.engines)

    def find_culprits(self, excluded: Collection[tuple[str, ...]]) -> Optional[tuple[str, ...]]:
        """Returns the part that explains crashes best; several if they cannot be told apart.

        A part is no culprit while another one explains its crashes better: one that is also
        accused of more crashes, or whose latest response is older. The part that all requests
        share is therefore not quarantined for the part that only the crashing ones have.

        Args:
            excluded: Results that are of no interest.

        """
        candidates = [item for item in self._accusations.values() if self._is_candidate(item)]
        for candidate in sorted(candidates, key=_rank):
            alike = self._alike(candidate)
            if alike is not None and alike not in excluded:
                return alike
        return None

    def _is_candidate(self, accusation: _Accusation) -> bool:
        """Returns whether a part may be quarantined if no other one explains its crashes better.

        A part that was sound before also needs a response on another part since the crashes. If
        there is none, all engines may have been lost.
        """
        if not accusation.was_sound:
            return accusation.count >= CRASHES_TO_QUARANTINE
        latest = max(self._crashes[engine].at for engine in accusation.engines)
        return accusation.count >= CRASHES_IF_SOUND_BEFORE and self._sound.latest > latest

    def _alike(self, candidate: _Accusation) -> Optional[tuple[str, ...]]:
        """Returns the parts with the same crashes; ``None`` if another part explains more."""
        rivals = [item for item in self._accusations.values() if item.explains_at_least(candidate)]
        if all(candidate.explains_at_least(item) for item in rivals):
            return tuple(sorted(item.part for item in rivals))
        return None

    def _accuse(self, part: str, engines: frozenset[str]) -> _Accusation:
        sound_at = self._sound[part]
        times = sorted(self._crashes[engine].at for engine in engines)
        return _Accusation(
            part,
            engines,
            sound_at,
            count=sum(1 for _ in _distinct_moments(times)),
            was_sound=sound_at >= times[0] - SOUND_MEMORY,
        )


def _rank(accusation: _Accusation) -> tuple[float, int, str]:
    """Sort key: the part that was never sound, or longest ago, and explains most crashes first.

    The id is the last criterion, so that all VMs decide alike.
    """
    return accusation.sound_at, -accusation.count, accusation.part


def _distinct_moments(times: list[float]) -> Iterator[float]:
    latest = float("-inf")
    for time in times:
        if time - latest >= SAME_CAUSE_SECONDS:
            latest = time
            yield time
