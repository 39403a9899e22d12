"""Runs the membership protocol over the connections between VMs."""

import random
from dataclasses import dataclass
from typing import Any

import trio
from returns.result import Result, Success

from camphordrift import results
from camphordrift.identifiers import BackendServerId, Incarnation, VmId
from camphordrift.membership._changes import GossipRecord, MembershipChange
from camphordrift.membership._gossip import GossipQueue
from camphordrift.membership._interfaces import ListReader, PeerMessenger
from camphordrift.membership._messages import (
    Gossip,
    IndirectAck,
    IndirectProbe,
    Probe,
    ProbeAck,
    split_records,
)
from camphordrift.membership._prober import Prober
from camphordrift.membership._records import Health, MemberRecord, ServerRecord
from camphordrift.membership._servers import BackendServerView
from camphordrift.membership._settings import MembershipSettings
from camphordrift.membership._view import MembershipView
from camphordrift.peers import PeerIdentity
from camphordrift.telemetry import log_event

#: Seconds between two reads of the platform's list.
LIST_INTERVAL_SECONDS = 2.0

#: Seconds between two calls of :meth:`MembershipView.on_tick`, which declares suspects dead.
TICK_SECONDS = 0.25


@dataclass(frozen=True)
class MembershipParts:
    """The objects that hold the service's state and make its decisions, without input or output."""

    #: View of the entry VMs.
    view: MembershipView

    #: View of the backend servers.
    servers: BackendServerView

    #: Changed records that have to be sent to other VMs.
    gossip: GossipQueue

    #: Selects the VMs to probe.
    prober: Prober


class MembershipService:
    """Probes other VMs, disseminates changes and polls the platform's list.

    Start :meth:`run` in a nursery. :attr:`view` and :attr:`servers` may be queried at any time.
    """

    def __init__(
        self,
        parts: MembershipParts,
        settings: MembershipSettings,
        messenger: PeerMessenger,
        read_list: ListReader,
    ) -> None:
        self._view = parts.view
        self._servers = parts.servers
        self._gossip = parts.gossip
        self._prober = parts.prober
        self._settings = settings
        self._messenger = messenger
        self._read_list = read_list
        self._addresses: dict[VmId, tuple[str, int]] = {}
        self._counts = {"probes": 0, "failed_probes": 0, "indirect_saves": 0, "list_errors": 0}
        self._register_handlers()

    @property
    def view(self) -> MembershipView:
        """The view of the entry VMs."""
        return self._view

    @property
    def servers(self) -> BackendServerView:
        """The view of the backend servers."""
        return self._servers

    async def run(self) -> None:
        """Runs the protocol until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_platform_list)
            nursery.start_soon(self._run_ticks)
            await self._run_probes(nursery)

    def on_connection_failed(self, vm_id: VmId) -> None:
        """Schedules an early probe of a VM because a request to it got no response."""
        self._prober.probe_next(vm_id)

    def on_server_response(
        self, server_id: BackendServerId, incarnation: Incarnation, leaving: bool
    ) -> None:
        """Records a response of a backend server, such as a load report."""
        now = trio.current_time()
        self._disseminate(self._servers.on_response(server_id, incarnation, leaving, now))

    def announce_leaving(self) -> None:
        """Announces to the other VMs that this VM is draining."""
        self._disseminate(self._view.announce_leaving())

    def dump_state(self) -> dict[str, Any]:
        """Returns the membership state for the operators' state dump."""
        return {
            "vms": self._view.dump_state(),
            "servers": self._servers.dump_state(trio.current_time()),
            "queued_news": self._gossip.length,
            **self._counts,
        }

    def _register_handlers(self) -> None:
        for message_type in (Probe, ProbeAck, IndirectProbe, IndirectAck, Gossip):
            self._messenger.declare(message_type, f"membership.{message_type.__name__}")
        self._messenger.register(Probe, self._handle_probe)
        self._messenger.register(IndirectProbe, self._handle_indirect_probe)
        self._messenger.register_notice(Gossip, self._handle_gossip)

    async def _poll_platform_list(self) -> None:
        while True:
            try:
                listing = await self._read_list()
            except OSError:
                self._counts["list_errors"] += 1
            else:
                now = trio.current_time()
                self._servers.on_platform_list(listing, now)
                self._disseminate(self._view.on_platform_list(listing, now))
                self._update_addresses()
            await trio.sleep(LIST_INTERVAL_SECONDS)

    async def _run_ticks(self) -> None:
        while True:
            self._disseminate(self._view.on_tick(trio.current_time()))
            await trio.sleep(TICK_SECONDS)

    async def _run_probes(self, nursery: trio.Nursery) -> None:
        while True:
            targets = self._prober.next_targets(self._view.probe_targets, self._view.dead_vms)
            for target in targets:
                nursery.start_soon(self._probe, target)
            await trio.sleep(self._settings.probe_interval_seconds)

    async def _probe(self, target: VmId) -> None:
        """Probes a VM directly and then through helpers; suspects it if both fail."""
        started = trio.current_time()
        self._counts["probes"] += 1
        if await self._probe_directly(target):
            return
        self._counts["failed_probes"] += 1
        record = self._view.record_of(target)
        if record is None or record.health is Health.DEAD:
            return
        if await self._probe_indirectly(target):
            self._counts["indirect_saves"] += 1
            return
        self._disseminate(self._view.on_probe_failed(target, started, trio.current_time()))

    async def _probe_directly(self, target: VmId) -> bool:
        members, servers = split_records(self._records_for(target))
        probe = Probe(members, servers)
        timeout = self._settings.direct_timeout_seconds
        outcome = await self._messenger.request(target, probe, timeout)
        if not isinstance(outcome, Success):
            return False
        ack: ProbeAck = outcome.unwrap()
        self._apply_records((*ack.members, *ack.servers))
        return True

    async def _probe_indirectly(self, target: VmId) -> bool:
        helpers = self._prober.choose_helpers(target, self._view.probe_targets)
        reached = trio.Event()
        async with trio.open_nursery() as nursery:
            for helper in helpers:
                nursery.start_soon(
                    self._request_indirect_probe, helper, target, reached, nursery.cancel_scope
                )
        return reached.is_set()

    async def _request_indirect_probe(
        self, helper: VmId, target: VmId, reached: trio.Event, scope: trio.CancelScope
    ) -> None:
        timeout = self._settings.indirect_timeout_seconds
        outcome = await self._messenger.request(helper, IndirectProbe(target), timeout)
        if isinstance(outcome, Success) and outcome.unwrap().reached:
            reached.set()
            scope.cancel()

    async def _handle_probe(
        self, sender: PeerIdentity, probe: Probe
    ) -> Result[ProbeAck, results.Failure]:
        known = self._view.record_of(sender.vm_id)
        newly_started = known is None or known.incarnation < sender.incarnation
        self._apply_records((*probe.members, *probe.servers))
        records = self._records_for(sender.vm_id)
        if newly_started:
            records = tuple(dict.fromkeys((*records, *self._view.bootstrap_records)))
        members, servers = split_records(records)
        return Success(ProbeAck(members, servers))

    async def _handle_indirect_probe(
        self, _: PeerIdentity, probe: IndirectProbe
    ) -> Result[IndirectAck, results.Failure]:
        return Success(IndirectAck(await self._probe_directly(probe.target)))

    def _handle_gossip(self, _: PeerIdentity, gossip: Gossip) -> None:
        self._apply_records((*gossip.members, *gossip.servers))

    def _records_for(self, receiver: VmId) -> tuple[GossipRecord, ...]:
        """Returns the records that a message carries.

        These are this VM's own record, the receiver's record if the receiver is believed suspect
        or dead, so that it can refute, and a batch of the gossip queue.
        """
        receiver_record = self._view.record_of(receiver)
        is_suspect_or_dead = (
            receiver_record is not None and receiver_record.health is not Health.ALIVE
        )
        required: tuple[GossipRecord, ...] = (self._view.own,)
        if receiver_record is not None and is_suspect_or_dead:
            required = (*required, receiver_record)
        gossiped = self._gossip.next_batch(self._view.records)
        return tuple(dict.fromkeys((*required, *gossiped)))

    def _apply_records(self, records: tuple[GossipRecord, ...]) -> None:
        now = trio.current_time()
        changes: tuple[MembershipChange, ...] = ()
        for record in records:
            match record:
                case MemberRecord():
                    changes += self._view.on_record(record, now)
                case ServerRecord():
                    changes += self._servers.on_record(record, now)
        self._disseminate(changes)

    def _disseminate(self, changes: tuple[MembershipChange, ...]) -> None:
        """Queues changes, and sends the urgent ones at once if the byte budget allows."""
        if not changes:
            return
        self._update_addresses()
        _log_urgent(changes)
        self._gossip.add(changes, len(self._view.live_vms))
        urgent = tuple(item.record for item in changes if item.urgent)
        targets = self._view.probe_targets
        if urgent and self._gossip.try_spend_push_budget(
            len(urgent), len(targets), trio.current_time()
        ):
            members, servers = split_records(urgent)
            for target in targets:
                self._messenger.notify(target, Gossip(members, servers))

    def _update_addresses(self) -> None:
        addresses = self._view.addresses()
        if addresses != self._addresses:
            self._addresses = addresses
            self._messenger.set_peers(addresses)


def _log_urgent(changes: tuple[MembershipChange, ...]) -> None:
    """Logs urgent changes: VMs and servers that appear, drain or change their health."""
    for record in (item.record for item in changes if item.urgent):
        match record:
            case MemberRecord(vm_id, incarnation, _, health, leaving):
                name = health.name.lower()
                log_event("vm_changed", vm=vm_id, health=name, leaving=leaving, start=incarnation)
            case ServerRecord(server_id, _, leaving):
                log_event("backend_server_changed", backend_server=server_id, leaving=leaving)


def membership_service(
    own: MemberRecord,
    settings: MembershipSettings,
    messenger: PeerMessenger,
    read_list: ListReader,
    rng: random.Random,
) -> MembershipService:
    """Creates the membership service of one VM.

    Call it inside trio's event loop, because it reads trio's clock.
    """
    now = trio.current_time()
    parts = MembershipParts(
        view=MembershipView(own, settings, now),
        servers=BackendServerView(),
        gossip=GossipQueue(settings, now),
        prober=Prober(settings, rng),
    )
    return MembershipService(parts, settings, messenger, read_list)
