"""Evidence about parts of prompts that may crash engines, as VMs exchange it.

All times are ages in seconds at the time of sending, as the clocks of VMs differ.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineCrash:
    """An engine that ended its connections while responses were not established on it."""

    #: Id and start time of the engine, so that each of its starts counts as another one.
    engine: str
    #: Parts of the prompts of these responses' requests, except for parts of one request alone.
    parts: tuple[str, ...]
    #: Seconds since the crash.
    age: float
    #: Id of the VM that recorded the crash first.
    vm: str


@dataclass(frozen=True)
class SoundPart:
    """A part of a prompt on which a response was established."""

    part: str
    #: Seconds since the latest such response.
    age: float


@dataclass(frozen=True)
class QuarantinedParts:
    """Parts on which engines crash; requests that have all of them are refused."""

    #: In alphabetical order. There are several if they could not be told apart.
    parts: tuple[str, ...]
    #: Seconds since the beginning of the quarantine.
    age: float


@dataclass(frozen=True)
class PartEvidence:
    """What one VM tells another one about parts of prompts."""

    crashes: tuple[EngineCrash, ...] = ()
    sound: tuple[SoundPart, ...] = ()
    quarantined: tuple[QuarantinedParts, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.crashes or self.sound or self.quarantined)
