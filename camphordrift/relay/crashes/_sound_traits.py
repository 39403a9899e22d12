"""Remembers when responses were established on traits of requests."""

from collections import OrderedDict

from camphordrift.relay.crashes._crash_evidence import CrashEvidence, SoundTrait
from camphordrift.relay.crashes._request_traits import is_whole_request

#: Maximum number of traits of each kind that are remembered; those set least recently are dropped
#: first. Whole requests are so many that they would displace the parts of prompts.
MAX_SOUND_TRAITS = 4096

#: A newer time is not worth a message by itself if it differs by fewer seconds.
SOUND_TOLERANCE = 1.0


class SoundTraits:
    """Time of the latest established response on each trait."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, float] = OrderedDict()
        self._whole_requests: OrderedDict[str, float] = OrderedDict()
        #: Time of the latest response on any trait.
        self.latest = float("-inf")

    def __getitem__(self, trait: str) -> float:
        """Returns the time of the latest response; minus infinity if there is none."""
        return self._kind_of(trait).get(trait, float("-inf"))

    def __contains__(self, trait: str) -> bool:
        return trait in self._kind_of(trait)

    def record(self, trait: str, at: float) -> None:
        """Records a response that is later than the known one."""
        sound_at = self._kind_of(trait)
        sound_at[trait] = at
        self.latest = max(self.latest, at)
        sound_at.move_to_end(trait)
        if len(sound_at) > MAX_SOUND_TRAITS:
            sound_at.popitem(last=False)

    def unknown_in(self, evidence: CrashEvidence, now: float) -> tuple[SoundTrait, ...]:
        """Returns the responses that matter to a VM that knows only ``evidence``."""
        accusations = [
            (trait, now - crash.age) for crash in evidence.crashes for trait in crash.traits
        ]
        accusations += [
            (trait, now - item.age) for item in evidence.quarantined for trait in item.traits
        ]
        told = {item.trait: now - item.age for item in evidence.sound}
        unknown = {
            trait
            for trait, accused_at in accusations
            if _adds_knowledge(self[trait], told.get(trait, float("-inf")), accused_at)
        }
        return tuple(SoundTrait(trait, now - self[trait]) for trait in sorted(unknown))

    def _kind_of(self, trait: str) -> OrderedDict[str, float]:
        return self._whole_requests if is_whole_request(trait) else self._parts


def _adds_knowledge(known_at: float, told_at: float, accused_at: float) -> bool:
    return known_at > told_at + SOUND_TOLERANCE or told_at <= accused_at < known_at
