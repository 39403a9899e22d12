"""Table of the known VMs, with cached sets derived from it."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Optional

from camphordrift.identifiers import VmId
from camphordrift.membership._records import Health, MemberRecord
from camphordrift.membership._rendezvous import probe_targets
from camphordrift.membership._settings import MembershipSettings


@dataclass
class Member:
    """What this VM knows about another VM."""

    #: The record merged from all reports.
    record: MemberRecord

    #: When the health last changed or the VM was added, in seconds on the caller's clock.
    health_since: float

    #: False from the time the VM recovers from being dead until it has been alive for
    #: ``settle_seconds``. Only a settled VM is a home candidate.
    settled: bool = True


@dataclass(frozen=True)
class _DerivedSets:
    """Collections derived from the table, valid until its next change."""

    #: The records of all VMs, this VM's own first.
    records: tuple[MemberRecord, ...]

    #: VMs that are not dead, including this one.
    live: tuple[VmId, ...]

    #: VMs that are dead.
    dead: tuple[VmId, ...]

    #: VMs that this VM probes.
    targets: tuple[VmId, ...]


class MemberTable:
    """The other VMs by id, and this VM's record.

    The collections derived from them are computed at most once after each change.
    """

    def __init__(self, own: MemberRecord, settings: MembershipSettings) -> None:
        self._own = own
        self._settings = settings
        self._members: dict[VmId, Member] = {}
        self._derived: Optional[_DerivedSets] = None
        self._not_alive_ids: set[VmId] = set()
        self.change_count = 0

    @property
    def own(self) -> MemberRecord:
        """The record of this VM."""
        return self._own

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """The records of all VMs, this VM's own first."""
        return self._derived_sets().records

    @property
    def live(self) -> tuple[VmId, ...]:
        """All VMs that are not dead, including this one."""
        return self._derived_sets().live

    @property
    def dead(self) -> tuple[VmId, ...]:
        """VMs that are believed dead and not yet removed."""
        return self._derived_sets().dead

    @property
    def targets(self) -> tuple[VmId, ...]:
        """VMs that this VM probes."""
        return self._derived_sets().targets

    def __contains__(self, vm_id: VmId) -> bool:
        return vm_id in self._members

    def __iter__(self) -> Iterator[VmId]:
        return iter(self._members)

    def find(self, vm_id: VmId) -> Optional[Member]:
        """Returns what is known about another VM, or ``None`` if the VM is unknown."""
        return self._members.get(vm_id)

    def not_alive_members(self) -> tuple[Member, ...]:
        """Returns the members that are suspect or dead, ordered by id."""
        return tuple(self._members[vm_id] for vm_id in sorted(self._not_alive_ids))

    def set_own(self, record: MemberRecord) -> None:
        """Replaces the record of this VM."""
        self._own = record
        self._invalidate_derived()

    def add(self, record: MemberRecord, now: float) -> None:
        """Adds a VM that is not in the table yet."""
        self._members[record.vm_id] = Member(record, health_since=now)
        self._update_not_alive_ids(record)
        self._invalidate_derived()

    def replace(self, member: Member, record: MemberRecord, now: float) -> None:
        """Replaces a member's record and restarts ``health_since`` if the health differs."""
        previous, member.record = member.record, record
        if record.health is not previous.health:
            member.health_since = now
            member.settled = member.settled and previous.health is not Health.DEAD
        self._update_not_alive_ids(record)
        self._invalidate_derived()

    def remove(self, vm_id: VmId) -> None:
        """Removes a VM. Raises ``KeyError`` if it is unknown."""
        del self._members[vm_id]
        self._not_alive_ids.discard(vm_id)
        self._invalidate_derived()

    def _update_not_alive_ids(self, record: MemberRecord) -> None:
        if record.health is Health.ALIVE:
            self._not_alive_ids.discard(record.vm_id)
        else:
            self._not_alive_ids.add(record.vm_id)

    def _invalidate_derived(self) -> None:
        self._derived = None
        self.change_count += 1

    def _derived_sets(self) -> _DerivedSets:
        if self._derived is None:
            self._derived = self._compute_derived()
        return self._derived

    def _compute_derived(self) -> _DerivedSets:
        dead = {v for v in self._not_alive_ids if self._members[v].record.health is Health.DEAD}
        live = tuple(sorted({self._own.vm_id, *self._members} - dead))
        others = (member.record for member in self._members.values())
        return _DerivedSets(
            records=(self._own, *others),
            live=live,
            dead=tuple(sorted(dead)),
            targets=self._choose_targets(live),
        )

    def _choose_targets(self, live: tuple[VmId, ...]) -> tuple[VmId, ...]:
        if len(live) <= self._settings.full_view_limit:
            return tuple(vm_id for vm_id in live if vm_id != self._own.vm_id)
        return probe_targets(self._own.vm_id, live, self._settings.partial_view_size)
