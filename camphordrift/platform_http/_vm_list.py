"""HTTP client of the platform's list of VMs, both entry VMs and VMs of backend servers."""

import json
from collections.abc import Mapping
from typing import Any

from camphordrift.backend_http import HttpCall, HttpConnections
from camphordrift.backend_servers import BackendError
from camphordrift.identifiers import BackendServerId, VmId, ZoneName
from camphordrift.membership import ListedServer, ListedVm, PlatformList, platform_list
from camphordrift.response_checks import DECODING_ERRORS

#: Timeout in seconds of one request for the list.
VM_LIST_TIMEOUT_SECONDS = 2.0


class VmListUnavailableError(OSError):
    """Raised if the list could not be read; callers then keep using the one they read last."""


class VmListClient:
    """Reads the VM list.

    An entry with ``peer_port`` is an entry VM; an entry with ``url`` runs a backend server.
    """

    def __init__(self, connections: HttpConnections, base_url: str) -> None:
        self._connections = connections
        self._base_url = base_url

    async def read(self) -> PlatformList:
        """Returns the current list.

        Raises :class:`VmListUnavailableError` if the service is unreachable or its response is
        invalid.
        """
        call = HttpCall("GET", self._base_url, "/vms")
        try:
            response = await self._connections.fetch(call, VM_LIST_TIMEOUT_SECONDS)
        except BackendError as error:
            raise VmListUnavailableError(str(error)) from error
        if response.status != 200:
            raise VmListUnavailableError(f"the VM list responded with status {response.status}")
        try:
            return _decode_entries(json.loads(response.body)["vms"])
        except DECODING_ERRORS as error:
            raise VmListUnavailableError(f"the VM list's response is invalid: {error!r}") from error


def _decode_entries(entries: list[Mapping[str, Any]]) -> PlatformList:
    vms = tuple(_decode_vm(entry) for entry in entries if "peer_port" in entry)
    servers = tuple(_decode_server(entry) for entry in entries if "url" in entry)
    return platform_list(vms, servers)


def _decode_vm(entry: Mapping[str, Any]) -> ListedVm:
    return ListedVm(
        vm_id=VmId(str(entry["vm_id"])),
        ip=str(entry["address"]),
        port=int(entry["peer_port"]),
        zone=ZoneName(str(entry["zone"])),
        leaving=bool(entry.get("leaving", False)),
    )


def _decode_server(entry: Mapping[str, Any]) -> ListedServer:
    return ListedServer(
        server_id=BackendServerId(str(entry["vm_id"])),
        url=str(entry["url"]),
        zone=ZoneName(str(entry["zone"])),
        leaving=bool(entry.get("leaving", False)),
    )
