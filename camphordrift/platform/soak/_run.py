"""Runs the soak for one seed."""

from dataclasses import dataclass
from pathlib import Path
from typing import Optional

import trio

from camphordrift.platform.soak._callers import CHUNK_SIZES, Caller
from camphordrift.platform.soak._checks import find_violations
from camphordrift.platform.soak._crashing_callers import CrashingCallers
from camphordrift.platform.soak._document_publisher import DocumentPublisher
from camphordrift.platform.soak._fault_injection import FaultInjector
from camphordrift.platform.soak._faults import COLD_KINDS, FAULT_KINDS, draw_faults
from camphordrift.platform.soak._observations import Observations
from camphordrift.platform.soak._proxy import Proxy, SilentAddress
from camphordrift.platform.soak._replacement import plan_replacements
from camphordrift.platform.soak._server_fleet import SERVER_PORT, ServerFleet
from camphordrift.platform.soak._store import SoakStore
from camphordrift.platform.soak._vm import Vm

#: Seconds after the end of the faults at which requests must be served again. The backoff of a
#: failed engine lasts up to 8 s.
RECOVERY_TIME = 10.0

#: Length in seconds of the last part of a run, in which requests must be served again, and the
#: share of them that must succeed.
VERIFICATION_TIME, REQUIRED_SUCCESS_SHARE = 3.0, 0.9


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
    #: Kinds of faults to draw from.
    kinds: tuple[str, ...] = FAULT_KINDS
    #: Seconds after the end of the faults at which requests must be served again.
    recovery_seconds: float = RECOVERY_TIME
    #: Whether to check times too, which a slow machine may exceed.
    check_timing: bool = True
    #: Root directory of an earlier build with which all VMs begin; they are replaced by this one
    #: while faults are injected. ``None`` to run this build only.
    former: Optional[Path] = None


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
        self.observations = Observations()
        self._store = SoakStore(f"{network}.1", SERVER_PORT)
        self._vms: list[tuple[Vm, Proxy]] = []
        self._silent_address = SilentAddress(f"{network}.2")
        for number in range(settings.vms):
            vm = Vm(
                number,
                network,
                SERVER_PORT,
                directory,
                self.observations,
                str(self._silent_address),
                settings.former,
            )
            proxy = Proxy(vm.host, SERVER_PORT, self._store.host, SERVER_PORT)
            self._vms.append((vm, proxy))
        self._publisher = DocumentPublisher(
            self._store,
            self.observations,
            mentions_cold_servers=not set(COLD_KINDS).isdisjoint(settings.kinds),
        )
        self._fleet = ServerFleet(settings.seed, network, self._publisher, self.observations)
        self._injector = FaultInjector(
            self._vms,
            self._fleet,
            self._store,
            self._publisher,
            CrashingCallers(
                settings.seed,
                [vm.callers for vm, _ in self._vms],
                self._publisher.keys,
                self.observations,
            ),
            self.observations,
        )

    async def run(self) -> list[str]:
        """Starts everything, runs load and faults; returns a line for each violated guarantee."""
        try:
            async with trio.open_nursery() as background:
                await background.start(self._store.run)
                for _, proxy in self._vms:
                    await background.start(proxy.run)
                for number in range(2 * self._settings.servers):
                    await self._fleet.add(number % 2 == 0, background)
                self._publisher.publish_configuration()
                background.start_soon(self._publisher.run_heartbeats)
                async with trio.open_nursery() as starting:
                    for vm, _ in self._vms:
                        starting.start_soon(vm.start)
                recovery_violations = await self._run_load(background)
                for vm, _ in self._vms:
                    vm.check_process()
                background.cancel_scope.cancel()
        finally:
            self._silent_address.close()
            for vm, _ in self._vms:
                vm.kill_now()
        now, check_timing = trio.current_time(), self._settings.check_timing
        return find_violations(self.observations, now, check_timing) + recovery_violations

    async def _run_load(self, background: trio.Nursery) -> list[str]:
        """Runs load and faults; returns a line if requests are not served again afterwards."""
        async with trio.open_nursery() as load:
            for number in range(self._settings.callers):
                vms = [vm.callers for vm, _ in self._vms]
                caller = Caller(
                    number,
                    self._settings.seed,
                    vms,
                    self._publisher.keys,
                    self.observations,
                    # Earlier builds answer bodies in chunks with code 9000.
                    CHUNK_SIZES if self._settings.former is None else (None,),
                )
                load.start_soon(caller.run)
            load_start = trio.current_time()
            async with trio.open_nursery() as faults:
                if self._settings.former is not None:
                    faults.start_soon(self._replace_vms, self._settings.former, load_start)
                for fault in draw_faults(
                    self._settings.seed, self._settings.seconds, self._settings.kinds
                ):
                    await trio.sleep_until(load_start + fault.start)
                    faults.start_soon(self._injector.inject, fault, background)
            await trio.sleep(self._settings.recovery_seconds)
            recovery_violations: list[str] = []
            if self._settings.check_timing:
                verification_start = trio.current_time()
                await trio.sleep(VERIFICATION_TIME)
                recovery_violations = self._recovery_violations(verification_start)
            load.cancel_scope.cancel()
        return recovery_violations

    async def _replace_vms(self, former: Path, load_start: float) -> None:
        plan = plan_replacements(self._settings.seed, self._settings.seconds, len(self._vms))
        for step in plan:
            await trio.sleep_until(load_start + step.start)
            vm, _ = self._vms[step.target]
            await self._injector.replace(vm, former if step.to_former else None, step.is_kill)

    def _recovery_violations(self, since: float) -> list[str]:
        now = trio.current_time()
        sent = [
            request
            for request in self.observations.requests.values()
            if request.sent_at > since
            and now - request.sent_at > 1.0
            and request.disconnected_at is None
            and request.key in self._publisher.keys.accounts
            and request.crash_cause is None
        ]
        served = [request for request in sent if request.complete and request.status == 200]
        if len(served) >= len(sent) * REQUIRED_SUCCESS_SHARE and sent:
            return []
        return [f"only {len(served)} of {len(sent)} requests were served after the faults"]


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
