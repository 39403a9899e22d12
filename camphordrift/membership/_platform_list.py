"""The platform's list of VMs and backend servers. It lags, and may be empty, stale or wrong."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from camphordrift.identifiers import BackendServerId, VmId, ZoneName


@dataclass(frozen=True)
class ListedVm:
    """An entry VM in the list."""

    #: The VM.
    vm_id: VmId

    #: Its IP number.
    ip: str

    #: The port of its streams between VMs.
    port: int

    #: Its availability zone.
    zone: ZoneName = ZoneName("")

    #: True if the platform is about to take it away.
    leaving: bool = False


@dataclass(frozen=True)
class ListedServer:
    """A backend server in the list."""

    #: The backend server.
    server_id: BackendServerId

    #: Where its interface is, as a URL with an IP number.
    url: str

    #: Its availability zone.
    zone: ZoneName = ZoneName("")

    #: True if the platform is about to take it away.
    leaving: bool = False


@dataclass(frozen=True)
class PlatformList:
    """One reading of the list."""

    #: Entry VMs by id.
    vms: Mapping[VmId, ListedVm] = field(default_factory=dict)

    #: Backend servers by id.
    servers: Mapping[BackendServerId, ListedServer] = field(default_factory=dict)


def platform_list(
    vms: tuple[ListedVm, ...] = (), servers: tuple[ListedServer, ...] = ()
) -> PlatformList:
    """Returns a list of the given entries."""
    return PlatformList(
        vms={vm.vm_id: vm for vm in vms},
        servers={server.server_id: server for server in servers},
    )
