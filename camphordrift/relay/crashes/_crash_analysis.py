"""Finds the trait of requests that explains the crashes of several servers."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Optional

from camphordrift.relay.crashes._quarantines import Traits
from camphordrift.relay.crashes._request_traits import is_whole_request
from camphordrift.relay.crashes._sound_traits import SoundTraits

#: Servers that crash on a trait before it is quarantined.
CRASHES_TO_QUARANTINE = 3

#: The same for a trait that was sound before.
CRASHES_IF_SOUND_BEFORE = 5

#: The same for whole requests that cannot be told apart. Until then, the next attempt on each of
#: them runs on a server without other requests, so that it crashes or clears one request alone.
CRASHES_IF_INDISTINGUISHABLE = 5

#: Seconds after a response on a trait in which the trait counts as sound before a crash.
SOUND_MEMORY = 120.0

#: Crashes within this number of seconds have one cause, such as a loss of power, and count once. A
#: retry needs longer until its server crashes, too.
SAME_CAUSE_SECONDS = 0.03


@dataclass
class RecordedCrash:
    """A server's crash and the traits that may have caused it."""

    #: Time of the crash in seconds.
    at: float
    traits: set[str]
    #: Id of the VM that recorded the crash first.
    vm: str


@dataclass(frozen=True)
class _Accusation:
    """A trait and the crashes after its latest response."""

    trait: str
    servers: frozenset[str]
    #: Time of the latest response on the trait; minus infinity if there is none.
    sound_at: float
    #: Number of crashes with different causes.
    count: int
    was_sound: bool

    def explains_at_least(self, other: "_Accusation") -> bool:
        """Returns whether this trait is as likely to be the cause of the other one's crashes."""
        return self.servers >= other.servers and self.sound_at <= other.sound_at


class CrashAnalysis:
    """The crashes that no known trait explains, and the traits that are accused of them.

    Args:
        crashes: The crashes, by server.
        sound: Time of the latest response on each trait.
        known: Traits that are known to crash servers; they explain each crash with one of them.

    """

    def __init__(
        self,
        crashes: Mapping[str, RecordedCrash],
        sound: SoundTraits,
        known: Collection[str],
    ) -> None:
        self._crashes = crashes
        self._sound = sound
        servers_by_trait: dict[str, set[str]] = {}
        for server, crash in crashes.items():
            if crash.traits.isdisjoint(known):
                for trait in crash.traits:
                    if sound[trait] <= crash.at:
                        servers_by_trait.setdefault(trait, set()).add(server)
        self._accusations = {
            trait: self._accuse(trait, frozenset(servers))
            for trait, servers in servers_by_trait.items()
        }

    def servers(self, trait: str) -> tuple[str, ...]:
        """Returns the servers whose crashes a trait is accused of."""
        accusation = self._accusations.get(trait)
        return () if accusation is None else tuple(sorted(accusation.servers))

    def accused_of(self, trait: str) -> int:
        """Returns the number of servers that crashed on a trait that was not sound before."""
        accusation = self._accusations.get(trait)
        if accusation is None or accusation.was_sound:
            return 0
        return len(accusation.servers)

    def find_culprits(self, excluded: Collection[Traits]) -> Optional[Traits]:
        """Returns the trait that explains crashes best; several if they cannot be told apart.

        A trait is no culprit while another one explains its crashes better: one that is also
        accused of more crashes, or whose latest response is older. The trait that all requests
        share is therefore not quarantined for the trait that only the crashing ones have.

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
        """Returns whether a trait may be quarantined if no other one explains its crashes better.

        A trait that was sound before also needs a response on another trait since the crashes. If
        there is none, all servers may have been lost.
        """
        if not accusation.was_sound:
            return accusation.count >= CRASHES_TO_QUARANTINE
        latest = max(self._crashes[server].at for server in accusation.servers)
        return accusation.count >= CRASHES_IF_SOUND_BEFORE and self._sound.latest > latest

    def _alike(self, candidate: _Accusation) -> Optional[Traits]:
        """Returns the traits with the same crashes; ``None`` if another trait explains more."""
        rivals = [item for item in self._accusations.values() if item.explains_at_least(candidate)]
        if all(candidate.explains_at_least(item) for item in rivals):
            return _select_culprits(sorted(item.trait for item in rivals), candidate.count)
        return None

    def _accuse(self, trait: str, servers: frozenset[str]) -> _Accusation:
        sound_at = self._sound[trait]
        times = sorted(self._crashes[server].at for server in servers)
        return _Accusation(
            trait,
            servers,
            sound_at,
            count=sum(1 for _ in _distinct_moments(times)),
            was_sound=sound_at >= times[0] - SOUND_MEMORY,
        )


def _select_culprits(alike: list[str], crashes: int) -> Optional[Traits]:
    """Returns those of indistinguishable traits to quarantine; ``None`` if it is too early.

    A part of the prompts that several whole requests share explains their crashes more simply than
    the requests do.
    """
    whole_requests = [trait for trait in alike if is_whole_request(trait)]
    if len(whole_requests) < 2:
        return tuple(alike)
    if len(whole_requests) < len(alike):
        return tuple(trait for trait in alike if trait not in whole_requests)
    return tuple(alike) if crashes >= CRASHES_IF_INDISTINGUISHABLE else None


def _rank(accusation: _Accusation) -> tuple[float, int, str]:
    """Sort key: the trait that was never sound, or longest ago, and explains most crashes first.

    The id is the last criterion, so that all VMs decide alike.
    """
    return accusation.sound_at, -accusation.count, accusation.trait


def _distinct_moments(times: list[float]) -> Iterator[float]:
    latest = float("-inf")
    for time in times:
        if time - latest >= SAME_CAUSE_SECONDS:
            latest = time
            yield time
