"""The platform's list of VMs and backend servers.

The list lags behind the actual fleet and may be empty, stale or wrong, so it alone never removes a
VM or server that responds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from camphordrift.identifiers import BackendServerId, VmId, ZoneName


@dataclass(frozen=True)
class ListedVm:
    """An entry VM, as the platform lists it."""

    #: Id of the VM.
    vm_id: VmId

    #: IP address on which the VM accepts connections of other VMs.
    ip: str

    #: TCP port on which the VM accepts connections of other VMs.
    port: int

    #: Availability zone of the VM; empty if unknown.
    zone: ZoneName = ZoneName("")

    #: True if the platform is about to remove the VM.
    leaving: bool = False


@dataclass(frozen=True)
class ListedServer:
    """A backend server, as the platform lists it."""

    #: Id of the backend server.
    server_id: BackendServerId

    #: Base URL of the backend server; its host is an IP address.
    url: str

    #: Availability zone of the backend server; empty if unknown.
    zone: ZoneName = ZoneName("")

    #: True if the platform is about to remove the backend server.
    leaving: bool = False


@dataclass(frozen=True)
class PlatformList:
    """The contents of the platform's list at the time of one read."""

    #: Entry VMs by id.
    vms: Mapping[VmId, ListedVm] = field(default_factory=dict)

    #: Backend servers by id.
    servers: Mapping[BackendServerId, ListedServer] = field(default_factory=dict)


def platform_list(
    vms: tuple[ListedVm, ...] = (), servers: tuple[ListedServer, ...] = ()
) -> PlatformList:
    """Returns a list with the given entries, indexed by their ids."""
    return PlatformList(
        vms={vm.vm_id: vm for vm in vms},
        servers={server.server_id: server for server in servers},
    )
