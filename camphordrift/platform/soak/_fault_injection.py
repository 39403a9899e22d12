"""Injects the faults of a run."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Optional

import trio

from camphordrift.platform.soak._crashing_callers import CrashingCallers
from camphordrift.platform.soak._document_publisher import ZONES, DocumentPublisher
from camphordrift.platform.soak._faults import Fault
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._proxy import Proxy, ProxyMode
from camphordrift.platform.soak._records import PathCut
from camphordrift.platform.soak._request_checks import KEY_REVOCATION_DELAY
from camphordrift.platform.soak._response_plans import ServerMode
from camphordrift.platform.soak._server_fleet import ServerFleet
from camphordrift.platform.soak._servers import SoakServer
from camphordrift.platform.soak._store import SoakStore, StoreMode
from camphordrift.platform.soak._vm import Vm
from camphordrift.platform.soak._vm_process import Cut

#: Seconds for which a VM still cannot reach the store after the time at which it must reject a key
#: that was revoked meanwhile.
STORE_OUTAGE_TIME = 3.0


#: Versions of the configuration that follow each other quickly, and the seconds between two.
STORM_VERSIONS, STORM_INTERVAL = 30, 0.06

#: Seconds in which the VMs read a configuration that is lost then.
_READING_TIME = 0.5

#: Seconds for which the store is down before it comes back from an older copy, and the maximum
#: number of seconds until the documents that it lost are written again.
STORE_DOWNTIME, MAX_REWRITE_DELAY = 0.5, 2.0


#: What becomes of the open connections to servers of a VM that is cut off, by the fault's action.
_MODES_OF_CUT = {
    "hang": ProxyMode.SILENCE,
    "reset": ProxyMode.RESET,
    "refuse": ProxyMode.PASS,
}


class FaultInjector:
    """Applies faults to the VMs, the store, the servers and the configuration of a run."""

    def __init__(
        self,
        vms: list[tuple[Vm, Proxy]],
        fleet: ServerFleet,
        store: SoakStore,
        publisher: DocumentPublisher,
        crashing_callers: CrashingCallers,
        observations: Observations,
    ) -> None:
        self._vms = vms
        self._fleet = fleet
        self._store = store
        self._publisher = publisher
        self._crashing_callers = crashing_callers
        self._observations = observations
        self._paths_are_cut = False

    async def inject(self, fault: Fault, background: trio.Nursery) -> None:
        """Applies a fault, and returns at its end.

        Args:
            fault: The fault.
            background: Runs servers that a fault adds.

        """
        vm, store_proxy = self._vms[fault.target % len(self._vms)]
        subject, _, action = fault.kind.partition("_")
        match subject:
            case "vm":
                await self._disturb_vm(vm, action, fault.seconds)
            case "store" if action == "restore":
                with self._observations.record_span(self._observations.store_disruptions):
                    await self._restore_store(fault)
            case "store":
                await self._disturb_store(vm, store_proxy, action, fault.seconds)
            case "servers":
                await self._disturb_all_servers(action, fault.seconds)
            case "server":
                with self._observations.record_span(self._observations.server_faults):
                    await self._disturb_server(fault, action, background)
            case "prompt":
                await self._crashing_callers.send_prompts(fault.seconds)
            case "path":
                await self._cut_paths([vm], action, fault.seconds)
            case "paths":
                others = [item for item, _ in self._vms if item is not vm]
                await self._cut_paths(others, action, fault.seconds)
            case "request":
                await self._crashing_callers.send_one_request(fault.seconds)
            case "zone":
                await self._publisher.evacuate(ZONES[fault.target % len(ZONES)], fault.seconds)
            case "configuration":
                await self._change_configuration(action)
            case _:
                await self._change_key(vm, store_proxy, action)

    async def replace(self, vm: Vm, former: Optional[Path], is_kill: bool) -> None:
        """Replaces a VM's process by one of another build, after other faults of the VM.

        Args:
            vm: The VM.
            former: Root directory of an earlier build; ``None`` for this one.
            is_kill: Whether the old process is killed instead of being stopped.

        """
        while vm.disruption_running:
            await trio.sleep(0.05)
        vm.former = former
        await _run_exclusively(vm, lambda: vm.kill(0.0) if is_kill else vm.restart())

    async def _disturb_vm(self, vm: Vm, action: str, seconds: float) -> None:
        match action:
            case "kill":
                await _run_exclusively(vm, lambda: vm.kill(seconds))
            case "restart":
                await _run_exclusively(vm, vm.restart)
            case "pause":
                await _run_exclusively(vm, lambda: vm.pause(seconds))
            case _:
                vm.send_sighup()

    async def _disturb_store(self, vm: Vm, proxy: Proxy, action: str, seconds: float) -> None:
        observations = self._observations
        if action.startswith("way_"):
            with observations.record_span(observations.store_link_disruptions[vm.name]):
                await _apply_proxy_mode(proxy, action.removeprefix("way_"), seconds)
            return
        with observations.record_span(observations.store_disruptions):
            self._store.mode = StoreMode(action)
            await trio.sleep(seconds)
            self._store.mode = StoreMode.WELL

    async def _cut_paths(self, vms: list[Vm], action: str, seconds: float) -> None:
        """Cuts VMs off from all servers, unless some VMs are so already."""
        if self._paths_are_cut:
            return
        self._paths_are_cut = True
        started_at = trio.current_time()
        for vm in vms:
            vm.set_cut(Cut.HANG if action == "hang" else Cut.REFUSE)
            self._set_host_modes(vm, _MODES_OF_CUT[action])
        await trio.sleep(seconds)
        for vm in vms:
            vm.set_cut(Cut.NONE)
            self._set_host_modes(vm, ProxyMode.PASS)
        names = frozenset(vm.name for vm in vms)
        self._observations.path_cuts.append(PathCut(names, started_at, trio.current_time()))
        self._paths_are_cut = False

    def _set_host_modes(self, vm: Vm, mode: ProxyMode) -> None:
        for _, proxy in self._fleet.servers:
            proxy.set_host_mode(vm.host, mode)

    async def _restore_store(self, fault: Fault) -> None:
        """Restores the store from a copy that lacks a configuration which the VMs have read.

        In every other case the operator writes a newer configuration at once, so that it gets the
        offset of the lost one.
        """
        await self._store.wait_until_up()
        self._publisher.replace_oldest_key()
        await trio.sleep(_READING_TIME)
        change = self._publisher.replace_oldest_key if fault.target % 2 else lambda: None
        await self._store.restore(fault.seconds, STORE_DOWNTIME, change)
        await self._publisher.write_again(MAX_REWRITE_DELAY * (fault.target % 10 + 1) / 10)

    async def _disturb_all_servers(self, action: str, seconds: float) -> None:
        with self._observations.record_span(self._observations.server_faults):
            async with trio.open_nursery() as nursery:
                for server, _ in self._fleet.servers:
                    nursery.start_soon(self._apply_server_fault, server, action, seconds)

    async def _apply_server_fault(self, server: SoakServer, action: str, seconds: float) -> None:
        if action == "cold":
            self._publisher.make_cold(server, seconds)
            await trio.sleep(seconds)
        else:
            await _disturb_server(server, action, seconds)

    async def _disturb_server(self, fault: Fault, action: str, background: trio.Nursery) -> None:
        server, proxy = self._fleet.servers[fault.target % len(self._fleet.servers)]
        if action == "replace":
            await self._fleet.replace(server, proxy, background)
        elif action == "leave":
            await self._fleet.leave(server, proxy, fault.seconds, background)
        elif action.startswith("way_"):
            with self._observations.record_span(self._observations.server_disruptions[server.name]):
                await _apply_proxy_mode(proxy, action.removeprefix("way_"), fault.seconds)
        else:
            await self._apply_server_fault(server, action, fault.seconds)

    async def _change_configuration(self, action: str) -> None:
        await self._store.wait_until_up()
        if action != "storm":
            self._publisher.change_limits()
            return
        for number in range(STORM_VERSIONS):
            if not self._store.is_up:
                return
            change = self._publisher.change_limits
            (self._publisher.replace_oldest_key if number % 4 == 0 else change)()
            await trio.sleep(STORM_INTERVAL)

    async def _change_key(self, vm: Vm, store_proxy: Proxy, action: str) -> None:
        await self._store.wait_until_up()
        if action != "change_unseen":
            self._publisher.replace_oldest_key()
            return
        with self._observations.record_span(self._observations.store_link_disruptions[vm.name]):
            store_proxy.set_mode(ProxyMode.SILENCE)
            self._publisher.replace_oldest_key()
            await trio.sleep(KEY_REVOCATION_DELAY + STORE_OUTAGE_TIME)
            store_proxy.set_mode(ProxyMode.PASS)


async def _run_exclusively(vm: Vm, action: Callable[[], Awaitable[None]]) -> None:
    """Runs the action on the VM; skips it while another action on this VM is running."""
    if vm.disruption_running:
        return
    vm.disruption_running = True
    try:
        await action()
    finally:
        vm.disruption_running = False


async def _disturb_server(server: SoakServer, action: str, seconds: float) -> None:
    if action == "silent":
        server.fall_silent(seconds)
        await trio.sleep(seconds)
        return
    if action == "limit":
        await server.limit_requests(seconds)
        return
    if action == "turn_away":
        server.turn_away(seconds)
        await trio.sleep(seconds)
        return
    server.mode = ServerMode(action)
    await trio.sleep(seconds)
    server.mode = ServerMode.WELL


async def _apply_proxy_mode(proxy: Proxy, mode: str, seconds: float) -> None:
    proxy.set_mode(ProxyMode(mode))
    await trio.sleep(seconds)
    proxy.set_mode(ProxyMode.PASS)
