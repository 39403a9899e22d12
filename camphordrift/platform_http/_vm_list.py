"""Reads the platform's list of live and leaving VMs over HTTP."""

import json
from collections.abc import Mapping
from typing import Any

from camphordrift.backend_http import HttpCall, HttpConnections
from camphordrift.backend_servers import BackendError
from camphordrift.identifiers import BackendServerId, VmId, ZoneName
from camphordrift.membership import ListedServer, ListedVm, PlatformList, platform_list

#: Time that the service is given for one request, in seconds.
VM_LIST_TIMEOUT_SECONDS = 2.0


class VmListUnavailableError(OSError):
    """The list could not be read; what was read last still stands."""


class VmListClient:
    """Reads the list.

    An entry with ``peer_port`` is an entry VM; one with ``url`` runs a backend server.
    """

    def __init__(self, connections: HttpConnections, base_url: str) -> None:
        self._connections = connections
        self._base_url = base_url

    async def read(self) -> PlatformList:
        """Returns the list; raises :class:`VmListUnavailableError`."""
        call = HttpCall("GET", self._base_url, "/vms")
        try:
            answer = await self._connections.fetch(call, VM_LIST_TIMEOUT_SECONDS)
        except BackendError as error:
            raise VmListUnavailableError(str(error)) from error
        if answer.status != 200:
            raise VmListUnavailableError(f"the VM list answered with status {answer.status}")
        try:
            return _decode(json.loads(answer.body)["vms"])
        except (ValueError, KeyError, TypeError) as error:
            raise VmListUnavailableError(f"the VM list cannot be read: {error!r}") from error


def _decode(entries: list[Mapping[str, Any]]) -> PlatformList:
    vms = tuple(_vm(entry) for entry in entries if "peer_port" in entry)
    servers = tuple(_server(entry) for entry in entries if "url" in entry)
    return platform_list(vms, servers)


def _vm(entry: Mapping[str, Any]) -> ListedVm:
    return ListedVm(
        vm_id=VmId(str(entry["vm_id"])),
        ip=str(entry["address"]),
        port=int(entry["peer_port"]),
        zone=ZoneName(str(entry["zone"])),
        leaving=bool(entry.get("leaving", False)),
    )


def _server(entry: Mapping[str, Any]) -> ListedServer:
    return ListedServer(
        server_id=BackendServerId(str(entry["vm_id"])),
        url=str(entry["url"]),
        zone=ZoneName(str(entry["zone"])),
        leaving=bool(entry.get("leaving", False)),
    )
