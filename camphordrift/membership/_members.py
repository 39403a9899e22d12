"""The table of the other VMs, with the sets that are asked for often."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Optional

from camphordrift.identifiers import VmId
from camphordrift.membership._records import Health, MemberRecord
from camphordrift.membership._rendezvous import probe_targets
from camphordrift.membership._settings import MembershipSettings


@dataclass
class Member:
    """What is known of another VM."""

    #: The joined record.
    record: MemberRecord

    #: Since when it has its present health.
    health_since: float

    #: True if it never came back from being dead: it may be home without settling.
    settled: bool = True


@dataclass(frozen=True)
class _Derived:
    """What follows from the table until it next changes."""

    #: All records, the own one first.
    records: tuple[MemberRecord, ...]

    #: VMs that are not dead, the own one included.
    live: tuple[VmId, ...]

    #: VMs that are dead.
    dead: tuple[VmId, ...]

    #: The VMs that the own one probes.
    targets: tuple[VmId, ...]


class MemberTable:
    """Members by id. What follows from them is worked out once after each change."""

    def __init__(self, own: MemberRecord, settings: MembershipSettings) -> None:
        self._own = own
        self._settings = settings
        self._members: dict[VmId, Member] = {}
        self._derived: Optional[_Derived] = None
        self._unwell: set[VmId] = set()
        self.changes = 0

    @property
    def own(self) -> MemberRecord:
        """The record of this VM itself."""
        return self._own

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """All records, this VM's first."""
        return self._derive().records

    @property
    def live(self) -> tuple[VmId, ...]:
        """All VMs that are not dead, this one included."""
        return self._derive().live

    @property
    def dead(self) -> tuple[VmId, ...]:
        """VMs that are dead."""
        return self._derive().dead

    @property
    def targets(self) -> tuple[VmId, ...]:
        """The VMs that this one probes."""
        return self._derive().targets

    def __contains__(self, vm_id: VmId) -> bool:
        return vm_id in self._members

    def __iter__(self) -> Iterator[VmId]:
        return iter(self._members)

    def find(self, vm_id: VmId) -> Optional[Member]:
        """Returns another VM's entry."""
        return self._members.get(vm_id)

    def unwell(self) -> tuple[Member, ...]:
        """Returns the members that are suspect or dead."""
        return tuple(self._members[vm_id] for vm_id in sorted(self._unwell))

    def set_own(self, record: MemberRecord) -> None:
        """Replaces the own record."""
        self._own = record
        self._on_change()

    def add(self, record: MemberRecord, now: float) -> None:
        """Adds a VM that was not known."""
        self._members[record.vm_id] = Member(record, health_since=now)
        self._note_health(record)
        self._on_change()

    def replace(self, member: Member, record: MemberRecord, now: float) -> None:
        """Gives a member another record."""
        old, member.record = member.record, record
        if record.health is not old.health:
            member.health_since = now
            member.settled = member.settled and old.health is not Health.DEAD
        self._note_health(record)
        self._on_change()

    def remove(self, vm_id: VmId) -> None:
        """Forgets a VM."""
        del self._members[vm_id]
        self._unwell.discard(vm_id)
        self._on_change()

    def _note_health(self, record: MemberRecord) -> None:
        if record.health is Health.ALIVE:
            self._unwell.discard(record.vm_id)
        else:
            self._unwell.add(record.vm_id)

    def _on_change(self) -> None:
        self._derived = None
        self.changes += 1

    def _derive(self) -> _Derived:
        if self._derived is None:
            self._derived = self._work_out()
        return self._derived

    def _work_out(self) -> _Derived:
        dead = {v for v in self._unwell if self._members[v].record.health is Health.DEAD}
        live = tuple(sorted({self._own.vm_id, *self._members} - dead))
        others = (member.record for member in self._members.values())
        return _Derived(
            records=(self._own, *others),
            live=live,
            dead=tuple(sorted(dead)),
            targets=self._choose_targets(live),
        )

    def _choose_targets(self, live: tuple[VmId, ...]) -> tuple[VmId, ...]:
        if len(live) <= self._settings.full_view_limit:
            return tuple(vm_id for vm_id in live if vm_id != self._own.vm_id)
        return probe_targets(self._own.vm_id, live, self._settings.partial_view_size)
