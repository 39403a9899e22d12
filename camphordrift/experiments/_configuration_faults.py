"""Fault injection for the configuration: the log, the VMs and their links to the log."""

from collections import Counter
from random import Random
from typing import Optional

import trio

from camphordrift.configuration import HIGHEST_SCHEMA_VERSION
from camphordrift.experiments._configuration_fleet import ConfigurationFleet, FleetVm
from camphordrift.identifiers import VmId
from camphordrift.standins import InMemoryLogService, ResponseLoss


class ConfigurationFaults:
    """Injects random faults; several may overlap.

    The names of the fault methods are the keys of ``counts``.
    """

    def __init__(
        self, random: Random, service: InMemoryLogService, fleet: ConfigurationFleet
    ) -> None:
        self._random = random
        self._service = service
        self._fleet = fleet
        self._old_states: list[bytes] = []
        #: Number of injections of each fault, by name.
        self.counts: Counter[str] = Counter()

    def end_all(self) -> None:
        """Ends all faults that are still active."""
        self._service.faults.end_outage()
        self._service.faults.slow_down(0.0)
        for vm in self._fleet.vms.values():
            vm.link.resume()
            vm.link.is_disconnected = False

    def schema_version(self) -> int:
        """Returns the schema version of a new VM: the highest, or 1 with probability 0.2."""
        return self._random.choice((HIGHEST_SCHEMA_VERSION,) * 4 + (1,))

    async def inject_one(self) -> None:
        """Injects one random fault, and ends it after its duration if it has one."""
        faults = (
            self._outage,
            self._slowness,
            self._lost_answers,
            self._lost_answers,
            self._restart,
            self._pause,
            self._cut,
            self._late_peer,
        )
        fault = self._random.choice(faults)
        self.counts[fault.__name__.strip("_")] += 1
        await fault()

    async def _outage(self) -> None:
        self._service.faults.begin_outage(unresponsive=self._random.random() < 0.3)
        await trio.sleep(self._random.uniform(0.1, 15.0))
        self._service.faults.end_outage()

    async def _slowness(self) -> None:
        self._service.faults.slow_down(self._random.uniform(0.1, 5.0))
        await trio.sleep(self._random.uniform(1.0, 10.0))
        self._service.faults.slow_down(0.0)

    async def _lost_answers(self) -> None:
        loss = self._random.choice(
            (
                ResponseLoss(takes_effect=True),
                ResponseLoss(takes_effect=False),
                ResponseLoss(takes_effect=True, effect_delay_seconds=0.7),
                ResponseLoss(takes_effect=True, effect_delay_seconds=12.0),
            )
        )
        self._service.faults.lose_next_responses(self._random.randint(1, 3), loss)

    async def _restart(self) -> None:
        vm_id = self._random_vm_id()
        if vm_id is None:
            return
        self._fleet.stop_vm(vm_id)
        await trio.sleep(self._random.uniform(0.0, 2.0))
        if vm_id not in self._fleet.vms:
            self._fleet.start_vm(vm_id, self.schema_version())

    async def _pause(self) -> None:
        vm = self._random_vm()
        if vm is not None:
            vm.link.pause()
            await trio.sleep(self._random.uniform(0.5, 30.0))
            vm.link.resume()

    async def _cut(self) -> None:
        vm = self._random_vm()
        if vm is not None:
            vm.link.is_disconnected = True
            await trio.sleep(self._random.uniform(0.5, 30.0))
            vm.link.is_disconnected = False

    async def _late_peer(self) -> None:
        """Sends an old state to a VM, as a peer without access to the log does."""
        vm = self._random_vm()
        if vm is None:
            return
        if self._old_states:
            vm.keeper.accept_peer_state(self._random.choice(self._old_states))
        encoded = vm.keeper.encoded_state()
        if encoded is not None:
            self._old_states.append(encoded)

    def _random_vm_id(self) -> Optional[VmId]:
        vms = list(self._fleet.vms)
        return self._random.choice(vms) if vms else None

    def _random_vm(self) -> Optional[FleetVm]:
        vm_id = self._random_vm_id()
        return None if vm_id is None else self._fleet.vms[vm_id]
