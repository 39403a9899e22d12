"""Evidence about traits of requests on which servers may crash, as VMs exchange it.

A trait is what requests may have in common: a part of their prompts, or that they are the same; see
:mod:`camphordrift.relay.crashes`.

All times are ages in seconds at the time of sending, as the clocks of VMs differ. Fields that were
renamed keep their former names on the wire.
"""

import msgspec

from camphordrift.relay.model import Seconds


class ServerCrash(msgspec.Struct, frozen=True, rename={"server": "engine", "traits": "parts"}):
    """A server that ended its connections while responses were not established on it."""

    #: Id and start time of the server, so that each of its starts counts as another one.
    server: str
    #: Traits of these responses' requests.
    traits: tuple[str, ...]
    #: Seconds since the crash.
    age: Seconds
    #: Id of the VM that recorded the crash first.
    vm: str


class SoundTrait(msgspec.Struct, frozen=True, rename={"trait": "part"}):
    """A trait of a request on which a response was established."""

    trait: str
    #: Seconds since the latest such response.
    age: Seconds


class QuarantinedTraits(msgspec.Struct, frozen=True, rename={"traits": "parts"}):
    """Traits on which servers crash; requests that have all of them are refused."""

    #: In alphabetical order. There are several if they could not be told apart.
    traits: tuple[str, ...]
    #: Seconds since the beginning of the quarantine.
    age: Seconds


class CrashEvidence(msgspec.Struct, frozen=True):
    """What one VM tells another one about traits of requests."""

    crashes: tuple[ServerCrash, ...] = ()
    sound: tuple[SoundTrait, ...] = ()
    quarantined: tuple[QuarantinedTraits, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.crashes or self.sound or self.quarantined)
