"""The platform's list of live and leaving VMs. It lags behind the truth."""

import json
from dataclasses import dataclass

from camphordrift.backend_http import HttpCall, HttpConnections
from camphordrift.backend_servers import BackendError
from camphordrift.identifiers import VmId, ZoneName

#: Time that the service is given for one request, in seconds.
VM_LIST_TIMEOUT_SECONDS = 2.0


class VmListUnavailableError(Exception):
    """The list could not be read; what was read last still stands."""


@dataclass(frozen=True)
class ListedVm:
    """One VM as the platform lists it: an entry VM or the VM of a backend server."""

    #: The VM's name.
    vm_id: VmId

    #: Its IP number.
    address: str

    #: The port on which other VMs of the system reach it; zero for backend servers.
    peer_port: int

    #: Its availability zone.
    zone: ZoneName

    #: True once the platform has been told that it will stop.
    leaving: bool


class VmListClient:
    """Reads the list over HTTP."""

    def __init__(self, connections: HttpConnections, base_url: str) -> None:
        self._connections = connections
        self._base_url = base_url

    async def read(self) -> tuple[ListedVm, ...]:
        """Returns the listed VMs; raises :class:`VmListUnavailableError`."""
        call = HttpCall("GET", self._base_url, "/vms")
        try:
            answer = await self._connections.fetch(call, VM_LIST_TIMEOUT_SECONDS)
        except BackendError as error:
            raise VmListUnavailableError(str(error)) from error
        if answer.status != 200:
            raise VmListUnavailableError(f"the VM list answered with status {answer.status}")
        try:
            return tuple(_decode(entry) for entry in json.loads(answer.body)["vms"])
        except (ValueError, KeyError, TypeError) as error:
            raise VmListUnavailableError(f"the VM list cannot be read: {error!r}") from error


def _decode(entry: dict[str, object]) -> ListedVm:
    return ListedVm(
        vm_id=VmId(str(entry["vm_id"])),
        address=str(entry["address"]),
        peer_port=int(str(entry.get("peer_port", 0))),
        zone=ZoneName(str(entry["zone"])),
        leaving=bool(entry.get("leaving", False)),
    )
