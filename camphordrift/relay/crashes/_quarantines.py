"""Quarantines of traits of requests: when they began, whether they are in force, and their changes.

A quarantine names one trait, or several that could not be told apart. It applies to requests that
have all of its traits, so that a request with only some of them can show that these are sound. If
one of them is a whole request, it applies to that request alone.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Union

from camphordrift.relay.crashes._request_traits import is_whole_request

#: Seconds for which requests with quarantined traits are refused.
QUARANTINE_PERIOD = 600.0

#: Seconds after a quarantine in which a single crash starts the next one.
PROBATION_PERIOD = 600.0

#: Maximum number of quarantines; the oldest are dropped first.
MAX_QUARANTINES = 64

#: Ids of traits in alphabetical order.
Traits = tuple[str, ...]


@dataclass(frozen=True)
class QuarantineStarted:
    """Traits were quarantined."""

    traits: Traits
    #: Servers that crashed on the traits; none if another VM told of the quarantine, or if some of
    #: the traits of an earlier one were found to be sound.
    servers: tuple[str, ...] = ()
    #: VMs that recorded the crashes.
    vms: tuple[str, ...] = ()


@dataclass(frozen=True)
class QuarantineEnded:
    """Traits are no longer quarantined."""

    traits: Traits
    #: Whether a response was established on one of them; otherwise the time has passed.
    is_sound: bool


QuarantineChange = Union[QuarantineStarted, QuarantineEnded]


class Quarantines:
    """All quarantines, in force or on probation. Times are seconds of one monotonic clock."""

    def __init__(self) -> None:
        #: Time at which each quarantine began; kept until the end of its probation.
        self._started_at: dict[Traits, float] = {}
        #: Quarantines in force.
        self._active: set[Traits] = set()
        self._changes: list[QuarantineChange] = []

    def __iter__(self) -> Iterator[tuple[Traits, float]]:
        return iter(list(self._started_at.items()))

    @property
    def active(self) -> frozenset[Traits]:
        """The quarantines that are in force."""
        return frozenset(self._active)

    def started_at(self, traits: Traits) -> float:
        """Returns when a quarantine began; minus infinity if there is none."""
        return self._started_at.get(traits, float("-inf"))

    def seconds_left(self, traits: Iterable[str], now: float) -> float:
        """Returns the seconds for which requests with the traits are refused; 0 if they may run."""
        present = frozenset(traits)
        left = (
            self.started_at(quarantined) + QUARANTINE_PERIOD - now
            for quarantined in self._active
            if _applies(quarantined, present)
        )
        return max(0.0, max(left, default=0.0))

    def is_on_probation(self, trait: str) -> bool:
        """Returns whether a quarantine of a trait has ended, so that one crash starts the next."""
        return any(trait in traits for traits in self._started_at.keys() - self._active)

    def start(self, change: QuarantineStarted, at: float, now: float) -> None:
        """Starts a quarantine that began at ``at``, or begins anew; replaces less exact ones."""
        for other in [key for key in self._started_at if {*key} > {*change.traits}]:
            self._remove(other, is_sound=False)
        self._started_at[change.traits] = at
        if now < at + QUARANTINE_PERIOD:
            self._active.add(change.traits)
            self._changes.append(change)
        if len(self._started_at) > MAX_QUARANTINES:
            self._remove(min(self._started_at, key=self.started_at), is_sound=False)

    def record_sound(self, trait: str, at: float, now: float) -> bool:
        """Records that a trait was sound; returns whether this changed a quarantine."""
        affected = [item for item in self if trait in item[0] and item[1] < at]
        for traits, started_at in affected:
            self._remove(traits, is_sound=True)
            others = tuple(other for other in traits if other != trait)
            if others and self.started_at(others) < started_at:
                self.start(QuarantineStarted(others), started_at, now)
        return bool(affected)

    def expire(self, now: float) -> None:
        """Ends quarantines and probations whose time has passed."""
        for traits, started_at in self:
            if now >= started_at + QUARANTINE_PERIOD:
                self._end(traits, is_sound=False)
            if now >= started_at + QUARANTINE_PERIOD + PROBATION_PERIOD:
                del self._started_at[traits]

    def next_changes(self, now: float) -> Iterator[float]:
        """Yields the times at which :meth:`expire` has something to do."""
        for _, started_at in self:
            end = started_at + QUARANTINE_PERIOD
            yield end if end > now else end + PROBATION_PERIOD

    def take_changes(self) -> list[QuarantineChange]:
        """Returns the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _remove(self, traits: Traits, is_sound: bool) -> None:
        del self._started_at[traits]
        self._end(traits, is_sound)

    def _end(self, traits: Traits, is_sound: bool) -> None:
        if traits in self._active:
            self._active.remove(traits)
            self._changes.append(QuarantineEnded(traits, is_sound))


def _applies(quarantined: Traits, present: frozenset[str]) -> bool:
    """Returns whether a quarantine applies to a request with the traits ``present``."""
    whole_requests = frozenset(filter(is_whole_request, quarantined))
    if whole_requests:
        return not whole_requests.isdisjoint(present)
    return present.issuperset(quarantined)
