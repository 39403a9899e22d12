"""Runs the soak for one seed."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import trio

from camphordrift.platform.soak._callers import Caller
from camphordrift.platform.soak._document_publisher import DocumentPublisher
from camphordrift.platform.soak._faults import Fault, draw_faults
from camphordrift.platform.soak._observations import KEY_REVOCATION_DELAY, Observations
from camphordrift.platform.soak._proxy import Proxy, ProxyMode
from camphordrift.platform.soak._servers import ServerMode, SoakServer
from camphordrift.platform.soak._store import SoakStore, StoreMode
from camphordrift.platform.soak._vm import Vm

#: Seconds after the end of the faults at which requests must be served again. The backoff of a
#: failed engine lasts up to 8 s.
RECOVERY_TIME = 10.0

#: Length in seconds of the last part of a run, in which requests must be served again, and the
#: share of them that must succeed.
VERIFICATION_TIME, REQUIRED_SUCCESS_SHARE = 3.0, 0.9

#: Seconds for which a VM still cannot reach the store after the time at which it must reject a key
#: that was revoked meanwhile.
STORE_OUTAGE_TIME = 3.0

#: Port of all servers of the soak; each has its own loopback address.
_PORT = 8100


@dataclass(frozen=True)
class SoakSettings:
    """Load and faults of one run."""

    seed: int
    #: Seconds during which faults are injected.
    seconds: float = 15.0
    vms: int = 3
    #: Number of backend servers of each of the two services.
    servers: int = 4
    callers: int = 12
    #: Seconds after the end of the faults at which requests must be served again.
    recovery_seconds: float = RECOVERY_TIME
    #: Whether to check times too, which a slow machine may exceed.
    check_timing: bool = True


@dataclass(frozen=True)
class SoakReport:
    """Result of one run."""

    #: A line for each violated guarantee.
    violations: tuple[str, ...]
    #: Number of requests by outcome, and the number of executions as "runs".
    outcome_counts: dict[str, int]


class Soak:
    """Starts the relays, servers, proxies and callers of one run, and injects its faults."""

    def __init__(self, settings: SoakSettings, network: str, directory: Path) -> None:
        self._settings = settings
        self._network = network
        self.observations = Observations()
        self._store = SoakStore(f"{network}.1", _PORT)
        self._hosts = itertools.count(100)
        self._vms: list[Vm] = []
        self._store_proxies: list[Proxy] = []
        for number in range(settings.vms):
            vm = Vm(number, network, _PORT, directory, self.observations)
            self._vms.append(vm)
            self._store_proxies.append(Proxy(vm.host, _PORT, self._store.host, _PORT))
        self._servers: list[tuple[SoakServer, Proxy]] = []
        self._publisher = DocumentPublisher(self._store, self.observations)

    async def run(self) -> list[str]:
        """Starts everything, runs load and faults; returns a line for each violated guarantee."""
        try:
            async with trio.open_nursery() as background:
                await background.start(self._store.run)
                for proxy in self._store_proxies:
                    await background.start(proxy.run)
                for number in range(2 * self._settings.servers):
                    await self._add_server(number, number % 2 == 0, background)
                self._publisher.publish_configuration()
                async with trio.open_nursery() as starting:
                    for vm in self._vms:
                        starting.start_soon(vm.start)
                recovery_violations = await self._run_load(background)
                for vm in self._vms:
                    vm.check_process()
                background.cancel_scope.cancel()
        finally:
            for vm in self._vms:
                vm.kill_now()
        check_timing = self._settings.check_timing
        violations = self.observations.violations(trio.current_time(), check_timing)
        return violations + (recovery_violations if check_timing else [])

    async def _run_load(self, background: trio.Nursery) -> list[str]:
        """Runs load and faults; returns a line if requests are not served again afterwards."""
        async with trio.open_nursery() as load:
            for number in range(self._settings.callers):
                vms = [vm.callers for vm in self._vms]
                caller = Caller(
                    number, self._settings.seed, vms, self._publisher.keys, self.observations
                )
                load.start_soon(caller.run)
            load_start = trio.current_time()
            async with trio.open_nursery() as faults:
                for fault in draw_faults(self._settings.seed, self._settings.seconds):
                    await trio.sleep_until(load_start + fault.start)
                    faults.start_soon(self._inject_fault, fault, background)
            await trio.sleep(self._settings.recovery_seconds)
            verification_start = trio.current_time()
            await trio.sleep(VERIFICATION_TIME)
            recovery_violations = self._recovery_violations(verification_start)
            load.cancel_scope.cancel()
        return recovery_violations

    def _recovery_violations(self, since: float) -> list[str]:
        now = trio.current_time()
        sent = [
            request
            for request in self.observations.requests.values()
            if request.sent_at > since
            and now - request.sent_at > 1.0
            and request.disconnected_at is None
            and request.key in self._publisher.keys.accounts
        ]
        served = [request for request in sent if request.complete and request.status == 200]
        if len(served) >= len(sent) * REQUIRED_SUCCESS_SHARE and sent:
            return []
        return [f"only {len(served)} of {len(sent)} requests were served after the faults"]

    async def _add_server(self, number: int, streams: bool, background: trio.Nursery) -> None:
        proxy_host, server_host = next(self._hosts), next(self._hosts)
        name = f"{'engine' if streams else 'office'}-{number}"
        server = SoakServer(
            name, f"{self._network}.{server_host}", _PORT, streams, self.observations
        )
        proxy = Proxy(f"{self._network}.{proxy_host}", _PORT, server.host, _PORT)
        await background.start(server.run)
        await background.start(proxy.run)
        self._servers.append((server, proxy))
        self._publisher.publish_server(server, proxy, "ready")

    async def _inject_fault(self, fault: Fault, background: trio.Nursery) -> None:
        vm = self._vms[fault.target % len(self._vms)]
        store_proxy = self._store_proxies[fault.target % len(self._store_proxies)]
        server, server_proxy = self._servers[fault.target % len(self._servers)]
        match fault.kind.split("_", 1):
            case ["vm", "kill"]:
                await self._run_exclusively(vm, lambda: vm.kill(fault.seconds))
            case ["vm", "restart"]:
                await self._run_exclusively(vm, vm.restart)
            case ["vm", "pause"]:
                await self._run_exclusively(vm, lambda: vm.pause(fault.seconds))
            case ["vm", _]:
                vm.send_sighup()
            case ["store", mode] if mode.startswith("way_"):
                await _apply_proxy_mode(store_proxy, mode.removeprefix("way_"), fault.seconds)
            case ["store", mode]:
                self._store.mode = StoreMode(mode)
                await trio.sleep(fault.seconds)
                self._store.mode = StoreMode.WELL
            case ["servers", mode]:
                async with trio.open_nursery() as nursery:
                    for affected, _ in self._servers:
                        nursery.start_soon(_apply_server_mode, affected, mode, fault.seconds)
            case ["server", "replace"]:
                await self._replace_server(server, server_proxy, background)
            case ["server", mode] if mode.startswith("way_"):
                with self.observations.record_span(self.observations.server_disruptions[server.id]):
                    await _apply_proxy_mode(server_proxy, mode.removeprefix("way_"), fault.seconds)
            case ["server", mode]:
                await _apply_server_mode(server, mode, fault.seconds)
            case ["key", "change_unseen"]:
                store_proxy.set_mode(ProxyMode.SILENCE)
                self._publisher.replace_oldest_key()
                await trio.sleep(KEY_REVOCATION_DELAY + STORE_OUTAGE_TIME)
                store_proxy.set_mode(ProxyMode.PASS)
            case _:
                self._publisher.replace_oldest_key()

    async def _run_exclusively(self, vm: Vm, action: Callable[[], Awaitable[None]]) -> None:
        """Runs the action on the VM; skips it while another action on this VM is running."""
        if vm.disruption_running:
            return
        vm.disruption_running = True
        try:
            await action()
        finally:
            vm.disruption_running = False

    async def _replace_server(
        self, server: SoakServer, proxy: Proxy, background: trio.Nursery
    ) -> None:
        """Adds a new server, marks the old one as draining, and removes it 3 s later."""
        if server.draining:
            return
        server.draining = True
        number = int(server.id.partition("-")[2]) + 2 * self._settings.servers
        await self._add_server(number, server.streams, background)
        self._publisher.publish_server(server, proxy, "draining")
        await trio.sleep(3.0)
        self._publisher.remove_server(server)


async def _apply_server_mode(server: SoakServer, mode: str, seconds: float) -> None:
    server.mode = ServerMode(mode)
    await trio.sleep(seconds)
    server.mode = ServerMode.WELL


async def _apply_proxy_mode(proxy: Proxy, mode: str, seconds: float) -> None:
    proxy.set_mode(ProxyMode(mode))
    await trio.sleep(seconds)
    proxy.set_mode(ProxyMode.PASS)


async def run_soak(settings: SoakSettings, network: str, directory: Path) -> SoakReport:
    """Runs the soak once.

    Args:
        settings: Load and faults.
        network: First three octets of a loopback network that nothing else uses.
        directory: Directory for settings and logs of the relay processes.

    Returns:
        The violated guarantees, and the outcomes of the requests.

    """
    soak = Soak(settings, network, directory)
    violations = await soak.run()
    return SoakReport(tuple(violations), soak.observations.outcome_counts())
