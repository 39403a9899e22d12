"""One run of the soak."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import trio

from camphordrift.platform.soak._callers import Caller
from camphordrift.platform.soak._faults import Fault, draw_faults
from camphordrift.platform.soak._observations import KEY_TIME, Ledger
from camphordrift.platform.soak._operator import Operator
from camphordrift.platform.soak._proxy import Proxy, ProxyMode
from camphordrift.platform.soak._servers import ServerMode, SoakServer
from camphordrift.platform.soak._store import SoakStore, StoreMode
from camphordrift.platform.soak._vm import Vm

#: Seconds after the last fault in which everything recovers: an engine that failed is left alone
#: for up to 8 s.
RECOVERY_TIME = 10.0

#: Seconds at the end in which requests must be served again, and the part of them that must.
CALM_TIME, CALM_SHARE = 3.0, 0.9

#: Seconds for which a VM goes on without the store after a key must no longer work.
UNSEEN_TIME = 3.0

#: Port of every server of the soak; each has an address of its own.
_PORT = 8100


@dataclass(frozen=True)
class SoakSettings:
    """What one run plays."""

    seed: int
    #: Seconds with faults.
    seconds: float = 15.0
    vms: int = 3
    #: Servers of each of the two services.
    servers: int = 4
    callers: int = 12
    #: Seconds after the last fault until requests must be served again.
    recovery: float = RECOVERY_TIME
    #: Whether to judge what a slow machine may cause too.
    judges_times: bool = True


@dataclass(frozen=True)
class SoakReport:
    """What one run showed."""

    #: A line for each promise that was not kept.
    broken: tuple[str, ...]
    #: How many requests ended in each way.
    counts: dict[str, int]


class Soak:
    """The parts of one run."""

    def __init__(self, settings: SoakSettings, network: str, directory: Path) -> None:
        self._settings = settings
        self._network = network
        self.ledger = Ledger()
        self._store = SoakStore(f"{network}.1", _PORT)
        self._hosts = itertools.count(100)
        self._vms: list[Vm] = []
        self._store_ways: list[Proxy] = []
        for number in range(settings.vms):
            vm = Vm(number, network, _PORT, directory, self.ledger)
            self._vms.append(vm)
            self._store_ways.append(Proxy(vm.host, _PORT, self._store.host, _PORT))
        self._servers: list[tuple[SoakServer, Proxy]] = []
        self._operator = Operator(self._store, self.ledger)

    async def run(self) -> list[str]:
        """Plays the run; returns a line for each promise that was not kept."""
        try:
            async with trio.open_nursery() as background:
                await background.start(self._store.run)
                for way in self._store_ways:
                    await background.start(way.run)
                for number in range(2 * self._settings.servers):
                    await self._add_server(number, number % 2 == 0, background)
                self._operator.publish()
                async with trio.open_nursery() as starting:
                    for vm in self._vms:
                        starting.start_soon(vm.start)
                not_recovered = await self._play(background)
                for vm in self._vms:
                    vm.check()
                background.cancel_scope.cancel()
        finally:
            for vm in self._vms:
                vm.end_for_good()
        judges_times = self._settings.judges_times
        broken = self.ledger.broken(trio.current_time(), judges_times)
        return broken + (not_recovered if judges_times else [])

    async def _play(self, background: trio.Nursery) -> list[str]:
        """Plays load and faults; returns a line if requests are not served again afterwards."""
        async with trio.open_nursery() as load:
            for number in range(self._settings.callers):
                vms = [vm.callers for vm in self._vms]
                caller = Caller(number, self._settings.seed, vms, self._operator.keys, self.ledger)
                load.start_soon(caller.run)
            begun = trio.current_time()
            async with trio.open_nursery() as faults:
                for fault in draw_faults(self._settings.seed, self._settings.seconds):
                    await trio.sleep_until(begun + fault.at)
                    faults.start_soon(self._inject, fault, background)
            await trio.sleep(self._settings.recovery)
            calm = trio.current_time()
            await trio.sleep(CALM_TIME)
            not_recovered = self._not_recovered(calm)
            load.cancel_scope.cancel()
        return not_recovered

    def _not_recovered(self, since: float) -> list[str]:
        now = trio.current_time()
        sent = [
            attempt
            for attempt in self.ledger.attempts.values()
            if attempt.sent > since
            and now - attempt.sent > 1.0
            and attempt.left is None
            and attempt.key in self._operator.keys.accounts
        ]
        served = [item for item in sent if item.whole and item.status == 200]
        if len(served) >= len(sent) * CALM_SHARE and sent:
            return []
        return [f"only {len(served)} of {len(sent)} requests were served after the faults"]

    async def _add_server(self, number: int, streams: bool, background: trio.Nursery) -> None:
        near, far = next(self._hosts), next(self._hosts)
        name = f"{'engine' if streams else 'office'}-{number}"
        server = SoakServer(name, f"{self._network}.{far}", _PORT, streams, self.ledger)
        way = Proxy(f"{self._network}.{near}", _PORT, server.host, _PORT)
        await background.start(server.run)
        await background.start(way.run)
        self._servers.append((server, way))
        self._operator.list_server(server, way, "ready")

    async def _inject(self, fault: Fault, background: trio.Nursery) -> None:
        vm = self._vms[fault.target % len(self._vms)]
        store_way = self._store_ways[fault.target % len(self._store_ways)]
        server, server_way = self._servers[fault.target % len(self._servers)]
        match fault.kind.split("_", 1):
            case ["vm", "kill"]:
                await self._alone(vm, lambda: vm.kill(fault.seconds))
            case ["vm", "restart"]:
                await self._alone(vm, vm.restart)
            case ["vm", "pause"]:
                await self._alone(vm, lambda: vm.pause(fault.seconds))
            case ["vm", _]:
                vm.hang_up()
            case ["store", mode] if mode.startswith("way_"):
                await _with_mode(store_way, mode.removeprefix("way_"), fault.seconds)
            case ["store", mode]:
                self._store.mode = StoreMode(mode)
                await trio.sleep(fault.seconds)
                self._store.mode = StoreMode.WELL
            case ["servers", mode]:
                async with trio.open_nursery() as nursery:
                    for each, _ in self._servers:
                        nursery.start_soon(_misbehave, each, mode, fault.seconds)
            case ["server", "replace"]:
                await self._replace(server, server_way, background)
            case ["server", mode] if mode.startswith("way_"):
                with self.ledger.noting(self.ledger.cut[server.id]):
                    await _with_mode(server_way, mode.removeprefix("way_"), fault.seconds)
            case ["server", mode]:
                await _misbehave(server, mode, fault.seconds)
            case ["key", "change_unseen"]:
                store_way.set_mode(ProxyMode.SILENCE)
                self._operator.change_key()
                await trio.sleep(KEY_TIME + UNSEEN_TIME)
                store_way.set_mode(ProxyMode.PASS)
            case _:
                self._operator.change_key()

    async def _alone(self, vm: Vm, action: Callable[[], Awaitable[None]]) -> None:
        """Does one thing to a VM at a time; a second one at the same time is left out."""
        if vm.busy:
            return
        vm.busy = True
        try:
            await action()
        finally:
            vm.busy = False

    async def _replace(self, server: SoakServer, way: Proxy, background: trio.Nursery) -> None:
        """Lists another server instead of one that says that it leaves."""
        if server.leaving:
            return
        server.leaving = True
        number = int(server.id.partition("-")[2]) + 2 * self._settings.servers
        await self._add_server(number, server.streams, background)
        self._operator.list_server(server, way, "draining")
        await trio.sleep(3.0)
        self._operator.remove_server(server)


async def _misbehave(server: SoakServer, mode: str, seconds: float) -> None:
    server.mode = ServerMode(mode)
    await trio.sleep(seconds)
    server.mode = ServerMode.WELL


async def _with_mode(way: Proxy, mode: str, seconds: float) -> None:
    way.set_mode(ProxyMode(mode))
    await trio.sleep(seconds)
    way.set_mode(ProxyMode.PASS)


async def run_soak(settings: SoakSettings, network: str, directory: Path) -> SoakReport:
    """Plays one run.

    Args:
        settings: What to play.
        network: First three numbers of a loopback network that nobody else uses.
        directory: Where settings and logs of the processes go.

    Returns:
        What happened.

    """
    soak = Soak(settings, network, directory)
    broken = await soak.run()
    return SoakReport(tuple(broken), soak.ledger.counts())
