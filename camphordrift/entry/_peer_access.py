"""Creates the connections to other entry VMs and the service that tracks the fleet's members."""

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
    """The connections to other VMs, and the list of the fleet's VMs with their health."""

    #: Sends messages to other VMs and receives theirs.
    network: PeerNetwork

    #: Tracks which VMs are live, and which VMs and servers are draining.
    membership: MembershipService

    #: The settings of this VM; they contain the address on which it accepts connections of peers.
    settings: EntrySettings

    #: TLS context for accepted connections; ``None`` for plain TCP.
    server_tls: Optional[ssl.SSLContext] = None

    async def run(self) -> None:
        """Accepts connections of peers and tracks the membership, until cancelled."""
        listen = self.settings.listen.peers
        listeners = await open_listeners(listen.host, listen.port, self.server_tls)
        async with trio.open_nursery() as nursery:
            await nursery.start(self.network.serve, listeners)
            nursery.start_soon(self.membership.run)

    def other_vms(self) -> tuple[VmId, ...]:
        """Returns the live VMs except this one."""
        own = self.network.own.vm_id
        return tuple(vm_id for vm_id in self.membership.view.live_vms if vm_id != own)

    def schema_versions(self) -> dict[VmId, int]:
        """Returns the highest schema version of configuration records that each live VM reads.

        VMs known only from the platform's list are left out, as they have not announced their
        schema version. This is safe: a VM that cannot read a record stops before it and reports
        that it is not ready.
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
    """Returns the connections and the membership of the VM that ``settings`` describes.

    Call it inside the event loop.
    """
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
