"""The process's streams to other entry VMs, and what it knows of the fleet through them."""

import random
import ssl
from dataclasses import dataclass
from typing import Optional

import trio

from camphordrift.backend_http import HttpConnections
from camphordrift.configuration import HIGHEST_SCHEMA_VERSION
from camphordrift.identifiers import Incarnation, VmId
from camphordrift.membership import (
    MemberRecord,
    MembershipService,
    MembershipSettings,
    PlatformList,
    membership_service,
)
from camphordrift.peers import PeerNetwork, open_listeners, peer_network, tcp_dialer
from camphordrift.platform_http import VmListClient
from camphordrift.security import FleetKeys
from camphordrift.settings import EntrySettings


@dataclass(frozen=True)
class PeerAccess:
    """Streams to other VMs and the view of the fleet."""

    #: The streams.
    network: PeerNetwork

    #: Who lives and who leaves.
    membership: MembershipService

    #: The address that other VMs connect to.
    settings: EntrySettings

    #: Encrypts the streams; ``None`` for plain TCP.
    server_tls: Optional[ssl.SSLContext] = None

    async def run(self) -> None:
        """Serves streams and follows the fleet until cancelled."""
        listen = self.settings.listen.peers
        listeners = await open_listeners(listen.host, listen.port, self.server_tls)
        async with trio.open_nursery() as nursery:
            await nursery.start(self.network.serve, listeners)
            nursery.start_soon(self.membership.run)

    def other_vms(self) -> tuple[VmId, ...]:
        """Returns the live VMs besides this one."""
        own = self.network.own.vm_id
        return tuple(vm_id for vm_id in self.membership.view.live_vms if vm_id != own)

    def schema_versions(self) -> dict[VmId, int]:
        """Returns the schema of configuration records that each live VM reads.

        A VM that only the platform's list names has not told its schema. It does not count: if it
        is too old it stops at the record and is not ready, which is safe.
        """
        view = self.membership.view
        records = (view.record_of(vm_id) for vm_id in view.live_vms)
        return {
            record.vm_id: record.reads_schema
            for record in records
            if record is not None and record.incarnation > 0
        }


def peer_access(
    settings: EntrySettings,
    incarnation: Incarnation,
    keys: FleetKeys,
    connections: HttpConnections,
) -> PeerAccess:
    """Returns the streams of the VM that ``settings`` describes. Call it inside the loop."""
    vm = settings.vm
    secrets = [keys.sent.encode(), *(key.encode() for key in keys.accepted if key != keys.sent)]
    network = peer_network(vm.vm_id, incarnation, secrets, tcp_dialer())
    own = MemberRecord(
        vm_id=vm.vm_id,
        incarnation=incarnation,
        address=str(settings.listen.peers),
        zone=vm.availability_zone,
        reads_schema=HIGHEST_SCHEMA_VERSION,
    )
    vm_list = VmListClient(connections, settings.platform.vm_list_url)

    async def read_list() -> PlatformList:
        return await vm_list.read()

    service = membership_service(own, MembershipSettings(), network, read_list, random.Random())
    return PeerAccess(network, service, settings)
