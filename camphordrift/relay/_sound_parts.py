"""Remembers when responses were established on parts of prompts."""

from collections import OrderedDict

from camphordrift.relay._part_evidence import PartEvidence, SoundPart

#: Maximum number of parts that are remembered; the ones set least recently are dropped first.
MAX_SOUND_PARTS = 4096

#: A newer time is not worth a message by itself if it differs by fewer seconds.
SOUND_TOLERANCE = 1.0


class SoundParts:
    """Time of the latest established response on each part."""

    def __init__(self) -> None:
        self._sound_at: OrderedDict[str, float] = OrderedDict()
        #: Time of the latest response on any part.
        self.latest = float("-inf")

    def __getitem__(self, part: str) -> float:
        """Returns the time of the latest response; minus infinity if there is none."""
        return self._sound_at.get(part, float("-inf"))

    def __contains__(self, part: str) -> bool:
        return part in self._sound_at

    def record(self, part: str, at: float) -> None:
        """Records a response that is later than the known one."""
        self._sound_at[part] = at
        self.latest = max(self.latest, at)
        self._sound_at.move_to_end(part)
        if len(self._sound_at) > MAX_SOUND_PARTS:
            self._sound_at.popitem(last=False)

    def unknown_in(self, evidence: PartEvidence, now: float) -> tuple[SoundPart, ...]:
        """Returns the responses that matter to a VM that knows only ``evidence``."""
        accusations = [
            (part, now - crash.age) for crash in evidence.crashes for part in crash.parts
        ]
        accusations += [
            (part, now - item.age) for item in evidence.quarantined for part in item.parts
        ]
        told = {item.part: now - item.age for item in evidence.sound}
        unknown = {
            part
            for part, accused_at in accusations
            if _adds_knowledge(self[part], told.get(part, float("-inf")), accused_at)
        }
        return tuple(SoundPart(part, now - self[part]) for part in sorted(unknown))


def _adds_knowledge(known_at: float, told_at: float, accused_at: float) -> bool:
    return known_at > told_at + SOUND_TOLERANCE or told_at <= accused_at < known_at
