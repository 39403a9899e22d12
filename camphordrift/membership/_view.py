"""One VM's view of the entry VMs."""

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
    """Joins the platform's list with what VMs tell each other and with own probes.

    A VM that has just started also notes dead VMs that it did not know, as the list may still name
    them or name them later; afterwards it passes over them, so that they are forgotten in the end.

    The list only adds VMs and marks them as leaving; it never removes one that answers, so an
    empty, stale or wrong list cannot empty the fleet. Probes make a VM suspect, and only a suspect
    that does not refute in time is dead. Two VMs whose views differ choose different homes for
    some keys, which costs efficiency and nothing else.

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
        """The record of this VM itself."""
        return self._table.own

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """All records, this VM's included."""
        return self._table.records

    @property
    def live_vms(self) -> tuple[VmId, ...]:
        """All VMs that are not dead, this one and leaving ones included."""
        return self._table.live

    @property
    def dead_vms(self) -> tuple[VmId, ...]:
        """VMs that are believed dead and not yet forgotten."""
        return self._table.dead

    @property
    def bootstrap_records(self) -> tuple[MemberRecord, ...]:
        """What a newcomer is told: first of all the VMs that the list may show as alive."""
        by_priority = sorted(self.records, key=lambda r: (-r.health, not r.leaving, r.vm_id))
        return tuple(by_priority[: self._settings.max_bootstrap_records])

    @property
    def probe_targets(self) -> tuple[VmId, ...]:
        """The VMs that this one probes."""
        return self._table.targets

    @property
    def common_schema_version(self) -> int:
        """The highest schema version of configuration records that all live VMs read."""
        live = (r for r in self.records if r.health is not Health.DEAD and r.incarnation)
        return min(record.reads_schema for record in live)

    def record_of(self, vm_id: VmId) -> Optional[MemberRecord]:
        """Returns what is known of a VM; ``None`` if nothing is."""
        if vm_id == self.own.vm_id:
            return self.own
        member = self._table.find(vm_id)
        return None if member is None else member.record

    def zone_of(self, vm_id: VmId) -> ZoneName:
        """Returns a VM's availability zone; empty if unknown."""
        record = self.record_of(vm_id)
        listed = self._listed.get(vm_id)
        if record is not None and record.zone:
            return record.zone
        return listed.zone if listed is not None else ZoneName("")

    def is_listed(self, vm_id: VmId) -> bool:
        """Tells whether the platform's list, as last read, names the VM."""
        return vm_id in self._listed

    def is_leaving(self, vm_id: VmId) -> bool:
        """Tells whether the VM itself or the platform says that it leaves."""
        record = self.record_of(vm_id)
        listed = self._listed.get(vm_id)
        by_list = listed is not None and listed.leaving
        return by_list or (record is not None and record.leaving)

    def addresses(self) -> dict[VmId, tuple[str, int]]:
        """Returns where the other VMs listen; those without known address are left out."""
        found = {vm_id: self._address_of(vm_id) for vm_id in self._table}
        return {vm_id: address for vm_id, address in found.items() if address is not None}

    def home_candidates(self, now: float) -> tuple[VmId, ...]:
        """Returns the VMs that may be home to a key; never empty.

        A suspect stays a candidate until it is dead, and a VM that was dead has to stay alive for
        a while before it is one again, so that homes do not flap. If all VMs are leaving, they
        stay candidates; the platform's word on leaving may be wrong for all of them.
        """
        unchanged = self._candidates_change_count == self._table.change_count
        if not unchanged or now >= self._candidates_valid_until:
            self._choose_candidates(now)
        return self._candidates

    def home_of(self, key: str, now: float) -> VmId:
        """Returns the VM that is home to ``key``."""
        self._homes.set_candidates(self.home_candidates(now))
        return self._homes.home_of(key)

    def home_order(self, key: str, now: float) -> tuple[VmId, ...]:
        """Returns all candidates in the order in which they become home to ``key``."""
        self._homes.set_candidates(self.home_candidates(now))
        return self._homes.home_order(key)

    def on_platform_list(self, listing: PlatformList, now: float) -> tuple[MembershipChange, ...]:
        """Takes a reading of the list; adds VMs that are new."""
        if listing.vms != self._listed:
            self._listed = dict(listing.vms)
            self._candidates_change_count = -1
        for vm_id in listing.vms:
            if vm_id != self.own.vm_id and vm_id not in self._table:
                self._table.add(MemberRecord(vm_id, Incarnation(0)), now)
        return ()

    def on_record(self, record: MemberRecord, now: float) -> tuple[MembershipChange, ...]:
        """Takes what another VM tells of some VM; returns what changed by it."""
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
        """Takes that neither this VM nor its helpers reached another one; suspects it.

        A probe that took longer than it can says only that this process was paused.
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
        """Declares dead what has not refuted in time, and forgets what is long gone."""
        self._restart_suspicion_after_stall(now)
        changes: list[MembershipChange] = []
        for member in self._table.not_alive():
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
        """Marks this VM as leaving, for good."""
        self._table.set_own(replace(self.own, leaving=True))
        return (MembershipChange(self.own, urgent=True),)

    def dump_state(self) -> dict[str, Any]:
        """Returns what an operator wants to see."""
        return {
            "own": _dump_record(self.own),
            "members": {r.vm_id: _dump_record(r) for r in self.records[1:]},
            "listed": sorted(self._listed),
            "probe_targets": list(self.probe_targets),
            **self._counts,
        }

    def _on_own_record(self, record: MemberRecord) -> tuple[MembershipChange, ...]:
        """Refutes that this VM is suspect or dead."""
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
        """Returns until when no VM becomes a candidate by mere lapse of time."""
        members = (self._table.find(vm_id) for vm_id in self._table)
        settling = (m.health_since for m in members if m is not None and not m.settled)
        return min((since + self._settings.settle_seconds for since in settling), default=math.inf)

    def _restart_suspicion_after_stall(self, now: float) -> None:
        """Gives suspects the time back in which this process could not hear them refute."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= self._settings.stall_threshold_seconds:
            return
        self._counts["pauses"] += 1
        for member in self._table.not_alive():
            if member.record.health is Health.SUSPECT:
                member.health_since = now

    def _remove_if_unlisted(self, vm_id: VmId) -> None:
        if vm_id not in self._listed:
            self._table.remove(vm_id)

    def _address_of(self, vm_id: VmId) -> Optional[tuple[str, int]]:
        """Returns the VM's own word, or the list's if it gave none or is dead."""
        member = self._table.find(vm_id)
        assert member is not None, "only members have an address"
        record = member.record
        listed = self._listed.get(vm_id)
        if listed is not None and (record.health is Health.DEAD or not record.address):
            return listed.ip, listed.port
        if not record.address:
            return None
        ip, _, port = record.address.rpartition(":")
        return (ip, int(port)) if port.isdigit() else None

    def _check_invariants(self, now: float) -> None:
        assert self.own.vm_id not in self._table, "this VM is listed as another"
        assert self.own.health is Health.ALIVE, "this VM believes that it is not alive"
        assert self.home_candidates(now), "no VM is home to anything"


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
