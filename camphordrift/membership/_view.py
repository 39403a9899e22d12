"""One VM's view of the entry VMs: their health, addresses and home assignments."""

import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Optional

from camphordrift.identifiers import Incarnation, VmId, ZoneName
from camphordrift.membership._changes import MembershipChange
from camphordrift.membership._homes import HomeChooser
from camphordrift.membership._members import Member, MemberTable
from camphordrift.membership._platform_list import ListedVm, PlatformList
from camphordrift.membership._records import Health, MemberRecord, merge_records
from camphordrift.membership._settings import MembershipSettings


class MembershipView:
    """Combines the platform's list, records from other VMs and the results of own probes.

    The list only adds VMs and marks them as draining. It never removes a VM that responds, so an
    empty, stale or wrong list cannot empty the fleet. A failed probe makes a VM suspect, and only a
    suspect VM that does not refute in time is declared dead.

    A newly started VM also records dead VMs that it did not know, because the list may name them,
    now or later. After ``bootstrap_seconds`` it ignores them, so that dead VMs are eventually
    removed everywhere.

    The home VM of a key, which coordinates the requests for that key, is chosen among the home
    candidates by rendezvous hashing. Two VMs with different views may choose different home VMs
    for some keys. This reduces efficiency but is otherwise harmless.

    Times are seconds on the caller's monotonic clock.
    """

    def __init__(self, own: MemberRecord, settings: MembershipSettings, now: float) -> None:
        self._settings = settings
        self._table = MemberTable(own, settings)
        self._listed: Mapping[VmId, ListedVm] = {}
        self._last_tick = now
        self._accepts_dead_until = now + settings.bootstrap_seconds
        self._homes = HomeChooser()
        self._candidates: tuple[VmId, ...] = ()
        self._candidates_valid_until = now
        self._candidates_change_count = -1
        self._counts = {"refutations": 0, "pauses": 0, "suspicions": 0, "deaths": 0}

    @property
    def own(self) -> MemberRecord:
        """The record of this VM."""
        return self._table.own

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """The records of all VMs, this VM's own first."""
        return self._table.records

    @property
    def live_vms(self) -> tuple[VmId, ...]:
        """All VMs that are not dead, including this one and draining ones."""
        return self._table.live

    @property
    def dead_vms(self) -> tuple[VmId, ...]:
        """VMs that are believed dead and not yet removed."""
        return self._table.dead

    @property
    def bootstrap_records(self) -> tuple[MemberRecord, ...]:
        """Records for a newly started VM; dead, suspect and draining VMs come first.

        The newly started VM would otherwise take such VMs for alive, as the platform's list may
        still name them.
        """
        by_priority = sorted(self.records, key=lambda r: (-r.health, not r.leaving, r.vm_id))
        return tuple(by_priority[: self._settings.max_bootstrap_records])

    @property
    def probe_targets(self) -> tuple[VmId, ...]:
        """VMs that this VM probes."""
        return self._table.targets

    @property
    def common_schema_version(self) -> int:
        """The highest schema version of configuration records that all live VMs can read."""
        live = (r for r in self.records if r.health is not Health.DEAD and r.incarnation)
        return min(record.reads_schema for record in live)

    def record_of(self, vm_id: VmId) -> Optional[MemberRecord]:
        """Returns the record of a VM, or ``None`` if the VM is unknown."""
        if vm_id == self.own.vm_id:
            return self.own
        member = self._table.find(vm_id)
        return None if member is None else member.record

    def zone_of(self, vm_id: VmId) -> ZoneName:
        """Returns the availability zone of a VM; empty if it is unknown."""
        record = self.record_of(vm_id)
        listed = self._listed.get(vm_id)
        if record is not None and record.zone:
            return record.zone
        return listed.zone if listed is not None else ZoneName("")

    def is_listed(self, vm_id: VmId) -> bool:
        """Returns whether the VM was in the platform's list when it was last read."""
        return vm_id in self._listed

    def is_leaving(self, vm_id: VmId) -> bool:
        """Returns whether the VM itself or the platform's list marks it as draining."""
        record = self.record_of(vm_id)
        listed = self._listed.get(vm_id)
        listed_leaving = listed is not None and listed.leaving
        return listed_leaving or (record is not None and record.leaving)

    def addresses(self) -> dict[VmId, tuple[str, int]]:
        """Returns the IP address and port of every other VM whose address is known."""
        found = {vm_id: self._address_of(vm_id) for vm_id in self._table}
        return {vm_id: address for vm_id, address in found.items() if address is not None}

    def home_candidates(self, now: float) -> tuple[VmId, ...]:
        """Returns the VMs that may be the home VM of a key; never empty.

        To keep home assignments from flapping, a suspect VM stays a candidate until it is declared
        dead, and a VM that recovers from being dead becomes a candidate only after it has been
        alive for ``settle_seconds``. If all VMs are draining, all stay candidates, because the
        platform's list may wrongly mark them all.
        """
        unchanged = self._candidates_change_count == self._table.change_count
        if not unchanged or now >= self._candidates_valid_until:
            self._choose_candidates(now)
        return self._candidates

    def home_of(self, key: str, now: float) -> VmId:
        """Returns the home VM of ``key``."""
        self._homes.set_candidates(self.home_candidates(now))
        return self._homes.home_of(key)

    def home_order(self, key: str, now: float) -> tuple[VmId, ...]:
        """Returns all home candidates in order of preference for ``key``, its home VM first."""
        self._homes.set_candidates(self.home_candidates(now))
        return self._homes.home_order(key)

    def on_platform_list(self, listing: PlatformList, now: float) -> tuple[MembershipChange, ...]:
        """Updates the view from the platform's list and adds VMs that were unknown.

        Returns no changes: every VM reads the list itself.
        """
        if listing.vms != self._listed:
            self._listed = dict(listing.vms)
            self._candidates_change_count = -1
        for vm_id in listing.vms:
            if vm_id != self.own.vm_id and vm_id not in self._table:
                self._table.add(MemberRecord(vm_id, Incarnation(0)), now)
        return ()

    def on_record(self, record: MemberRecord, now: float) -> tuple[MembershipChange, ...]:
        """Merges a record from another VM; returns a change if a record changed."""
        if record.vm_id == self.own.vm_id:
            return self._on_own_record(record)
        member = self._table.find(record.vm_id)
        if member is None:
            if record.health is Health.DEAD and now >= self._accepts_dead_until:
                return ()
            self._table.add(record, now)
            return (MembershipChange(record, urgent=True),)
        return self._apply_record(member, merge_records(member.record, record), now)

    def on_probe_failed(
        self, vm_id: VmId, started: float, now: float
    ) -> tuple[MembershipChange, ...]:
        """Marks a VM as suspect that neither a direct nor the indirect probes reached.

        A probe that took longer than the timeouts allow is ignored, because this process was
        stalled meanwhile.
        """
        member = self._table.find(vm_id)
        max_duration = self._settings.max_probe_seconds + self._settings.stall_threshold_seconds
        if member is None or now - started > max_duration:
            return ()
        if member.record.health is not Health.ALIVE:
            return ()
        self._counts["suspicions"] += 1
        return self._apply_record(member, replace(member.record, health=Health.SUSPECT), now)

    def on_tick(self, now: float) -> tuple[MembershipChange, ...]:
        """Declares suspects dead that did not refute in time, and removes VMs that died long ago.

        Has to be called more often than every ``stall_threshold_seconds``.
        """
        self._restart_suspicion_after_stall(now)
        changes: list[MembershipChange] = []
        for member in self._table.not_alive_members():
            age = now - member.health_since
            match member.record.health:
                case Health.SUSPECT if age >= self._settings.suspicion_seconds:
                    self._counts["deaths"] += 1
                    dead = replace(member.record, health=Health.DEAD)
                    changes.extend(self._apply_record(member, dead, now))
                case Health.DEAD if age >= self._settings.remove_dead_after_seconds:
                    self._remove_if_unlisted(member.record.vm_id)
        self._check_invariants(now)
        return tuple(changes)

    def announce_leaving(self) -> tuple[MembershipChange, ...]:
        """Marks this VM as draining. The mark cannot be reset."""
        self._table.set_own(replace(self.own, leaving=True))
        return (MembershipChange(self.own, urgent=True),)

    def dump_state(self) -> dict[str, Any]:
        """Returns the view for the operators' state dump."""
        return {
            "own": _dump_record(self.own),
            "members": {r.vm_id: _dump_record(r) for r in self.records[1:]},
            "listed": sorted(self._listed),
            "probe_targets": list(self.probe_targets),
            **self._counts,
        }

    def _on_own_record(self, record: MemberRecord) -> tuple[MembershipChange, ...]:
        """Refutes a record that says that this VM is suspect or dead."""
        if record.incarnation > self.own.incarnation:
            self._counts["superseded"] = self._counts.get("superseded", 0) + 1
            return ()
        same_incarnation = record.incarnation == self.own.incarnation
        if (
            not same_incarnation
            or record.health is Health.ALIVE
            or record.refutation < self.own.refutation
        ):
            return ()
        self._counts["refutations"] += 1
        self._table.set_own(replace(self.own, refutation=record.refutation + 1))
        return (MembershipChange(self.own, urgent=True),)

    def _apply_record(
        self, member: Member, record: MemberRecord, now: float
    ) -> tuple[MembershipChange, ...]:
        previous = member.record
        if record == previous:
            return ()
        self._table.replace(member, record, now)
        urgent = record.health is not previous.health or record.leaving != previous.leaving
        return (MembershipChange(record, urgent),)

    def _choose_candidates(self, now: float) -> None:
        live = tuple(vm_id for vm_id in self.live_vms if self._has_settled(vm_id, now))
        not_leaving = tuple(vm_id for vm_id in live if not self.is_leaving(vm_id))
        self._candidates = not_leaving or live
        self._candidates_change_count = self._table.change_count
        self._candidates_valid_until = self._next_settle_time()

    def _has_settled(self, vm_id: VmId, now: float) -> bool:
        member = self._table.find(vm_id)
        if member is None or member.settled:
            return True
        member.settled = now >= member.health_since + self._settings.settle_seconds
        return member.settled

    def _next_settle_time(self) -> float:
        """Returns the next time at which a VM settles; infinity if none is settling."""
        members = (self._table.find(vm_id) for vm_id in self._table)
        settling_since = (m.health_since for m in members if m is not None and not m.settled)
        return min(
            (since + self._settings.settle_seconds for since in settling_since), default=math.inf
        )

    def _restart_suspicion_after_stall(self, now: float) -> None:
        """Restarts all suspicion periods, since a stalled process cannot receive refutations."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= self._settings.stall_threshold_seconds:
            return
        self._counts["pauses"] += 1
        for member in self._table.not_alive_members():
            if member.record.health is Health.SUSPECT:
                member.health_since = now

    def _remove_if_unlisted(self, vm_id: VmId) -> None:
        if vm_id not in self._listed:
            self._table.remove(vm_id)

    def _address_of(self, vm_id: VmId) -> Optional[tuple[str, int]]:
        """Returns the address that the VM reported, or its listed one if it reported none or died.

        Returns ``None`` if no address is known.
        """
        member = self._table.find(vm_id)
        assert member is not None, "address of a VM that is not in the member table"
        record = member.record
        listed = self._listed.get(vm_id)
        if listed is not None and (record.health is Health.DEAD or not record.address):
            return listed.ip, listed.port
        if not record.address:
            return None
        ip, _, port = record.address.rpartition(":")
        return (ip, int(port)) if port.isdigit() else None

    def _check_invariants(self, now: float) -> None:
        assert self.own.vm_id not in self._table, "the member table contains this VM"
        assert self.own.health is Health.ALIVE, "the record of this VM is not alive"
        assert self.home_candidates(now), "there is no home candidate"


def _dump_record(record: MemberRecord) -> dict[str, Any]:
    return {
        "incarnation": record.incarnation,
        "refutation": record.refutation,
        "health": record.health.name.lower(),
        "leaving": record.leaving,
        "address": record.address,
        "zone": record.zone,
        "reads_schema": record.reads_schema,
    }
