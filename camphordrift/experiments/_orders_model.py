"""Model of two VMs that give orders to an engine under one lease.

Faults are pauses of VMs, log outages, delayed orders and lost leases.
"""

import random
from dataclasses import dataclass, field
from typing import Optional

from returns import result

from camphordrift.backend_servers import EngineOrder, EngineRole, OrderKind, OrderReply
from camphordrift.clocks import ClockReading
from camphordrift.engine_orders import (
    DesiredEngine,
    DesiredWeights,
    OrderTracker,
    ReportedEngine,
    WeightStoreBudget,
    plan_orders,
)
from camphordrift.identifiers import BackendServerId, Incarnation, ModelName, VmId
from camphordrift.leases import (
    LeaseHolder,
    LeaseKeeper,
    LeaseName,
    LeaseSettings,
    LeaseTable,
    encode_lease_record,
)
from camphordrift.platform_log import LogRecord

#: Id of the only engine.
ENGINE = BackendServerId("engine-1")

_SETTINGS = LeaseSettings()

#: Longest time from sending an order until the engine executes it, in seconds.
_LATEST_EFFECT_SECONDS = _SETTINGS.order_settle_seconds


def clocks(now: float) -> ClockReading:
    """Returns clock readings with the same time on both clocks."""
    return ClockReading(monotonic=now, wall=now)


def desired(
    version: str = "1",
    checks_fencing: bool = True,
    role: EngineRole = EngineRole.FULL,
    configuration_version: int = 1,
) -> DesiredEngine:
    """Returns the desired state of the engine: one model, in one version."""
    return DesiredEngine(
        engine_id=ENGINE,
        configuration_version=configuration_version,
        role=role,
        weights=(DesiredWeights(OrderKind.LOAD_MODEL, "course", version),),
        checks_fencing=checks_fencing,
    )


def reported(
    models: tuple[str, ...] = ("course",),
    role: EngineRole = EngineRole.FULL,
    incarnation: int = 1,
    leaving: bool = False,
) -> ReportedEngine:
    """Returns the reported state of an engine with these models."""
    return ReportedEngine(
        engine_id=ENGINE,
        incarnation=Incarnation(incarnation),
        role=role,
        models=frozenset(ModelName(model) for model in models),
        leaving=leaving,
    )


@dataclass
class SimulatedEngine:
    """Engine that executes orders immediately."""

    #: Whether it rejects orders with a lower fencing number than one it has seen.
    checks_fencing: bool

    #: Version of each loaded model.
    versions: dict[str, str] = field(default_factory=dict)

    #: Current role.
    role: EngineRole = EngineRole.FULL

    #: Fencing numbers of the executed orders, in order of execution.
    executed: list[int] = field(default_factory=list)

    #: Highest fencing number of any order.
    highest_fencing_number: int = -1

    def handle_order(self, order: EngineOrder) -> OrderReply:
        """Executes an order or rejects it because of its fencing number."""
        highest_fencing_number: Optional[int] = None
        if self.checks_fencing:
            if order.fencing_number < self.highest_fencing_number:
                return OrderReply(False, self.highest_fencing_number, "old fencing number")
            self.highest_fencing_number = order.fencing_number
            highest_fencing_number = self.highest_fencing_number
        self.executed.append(order.fencing_number)
        match order.kind:
            case OrderKind.CHANGE_ROLE:
                self.role = EngineRole(order.subject)
            case OrderKind.LOAD_MODEL:
                self.versions[order.subject] = order.version
            case OrderKind.UNLOAD_MODEL:
                self.versions.pop(order.subject, None)
        return OrderReply(True, highest_fencing_number)

    def report(self) -> ReportedEngine:
        """Returns the state that the engine reports."""
        return reported(models=tuple(self.versions), role=self.role)


@dataclass
class OrdersVm:
    """State of one VM."""

    #: Acquires and renews the lease.
    keeper: LeaseKeeper
    #: Responses of the engine to its orders.
    book: OrderTracker = field(default_factory=OrderTracker)
    #: Latest configuration version that it has read.
    version: int = 1
    #: End of its pause, in seconds; it does nothing before.
    paused_until: float = 0.0
    #: Planned orders that were not sent yet; a pause can delay them.
    planned: list[EngineOrder] = field(default_factory=list)


class OrdersModel:
    """Simulates two VMs that compete for the lease to give orders to one engine, from a seed.

    Tests replace ``keeper_class`` by a broken one. ``checks_fencing`` is the configured value; the
    engine may differ from it.
    """

    def __init__(self, seed: int, keeper_class: type, checks_fencing: bool) -> None:
        self.engine = SimulatedEngine(checks_fencing)
        self.checks_fencing = checks_fencing
        self.version = 1
        self._generator = random.Random(seed)
        self._table = LeaseTable()
        self._offset = 0
        self._log_down_until = 0.0
        self._now = 0.0
        self._orders_in_transit: list[tuple[float, EngineOrder, OrdersVm]] = []
        self.vms = [
            OrdersVm(
                keeper_class(
                    LeaseName("orders"), LeaseHolder(VmId(f"vm-{n}"), Incarnation(1)), _SETTINGS
                )
            )
            for n in range(2)
        ]
        self._budgets = [WeightStoreBudget(10.0, 10.0, 1.0, 0.0) for _ in range(2)]

    def simulate(self, until: float, faults: bool) -> None:
        """Simulates until the time ``until``, in seconds, with or without faults."""
        while self._now < until:
            self._now += self._generator.uniform(0.1, 1.0)
            if faults and self._generator.random() < 0.1:
                self.version += 1
            if faults and self._generator.random() < 0.02:
                self._log_down_until = self._now + self._generator.uniform(5.0, 20.0)
            self._deliver_orders()
            for vm, budget in zip(self.vms, self._budgets, strict=True):
                if faults and self._generator.random() < 0.02:
                    vm.paused_until = self._now + self._generator.uniform(5.0, 40.0)
                if self._now >= vm.paused_until:
                    self._step(vm, budget)

    def _step(self, vm: OrdersVm, budget: WeightStoreBudget) -> None:
        self._send_planned(vm)
        vm.version = self.version
        now = clocks(self._now)
        record = vm.keeper.next_record(now)
        if record is not None and self._now >= self._log_down_until:
            self._append_to_log(encode_lease_record(record))
        match vm.keeper.authorize(now):
            case result.Success(term):
                desired_state = desired(
                    str(vm.version), self.checks_fencing, configuration_version=vm.version
                )
                plan = plan_orders(desired_state, self.engine.report(), term, vm.book, budget, now)
                vm.planned = list(plan.orders)
        if self._generator.random() < 0.8:
            self._send_planned(vm)

    def _send_planned(self, vm: OrdersVm) -> None:
        planned, vm.planned = vm.planned, []
        for order in planned:
            match vm.keeper.authorize(clocks(self._now)):
                case result.Success(term) if term.fencing_number == order.fencing_number:
                    delay = self._generator.choice((0.05, 1.0, _LATEST_EFFECT_SECONDS))
                    self._orders_in_transit.append((self._now + delay, order, vm))

    def _append_to_log(self, payload: bytes) -> None:
        decision = self._table.apply(LogRecord(self._offset, payload, self._now))
        self._offset += 1
        assert decision is not None
        for vm in self.vms:
            vm.keeper.apply_decision(decision, clocks(self._now))

    def _deliver_orders(self) -> None:
        due = [sent for sent in self._orders_in_transit if sent[0] <= self._now]
        self._orders_in_transit = [sent for sent in self._orders_in_transit if sent[0] > self._now]
        for _, order, vm in sorted(due, key=lambda sent: sent[0]):
            reply = self.engine.handle_order(order)
            if reply.accepted:
                vm.book.record_accepted(order, Incarnation(1), self._now)
            else:
                vm.book.record_failed(order, reply.detail, self._now)

    @property
    def is_out_of_order(self) -> bool:
        """Whether an order was executed after one of a later lease holder."""
        executed = self.engine.executed
        return executed != sorted(executed)

    @property
    def is_converged(self) -> bool:
        """Whether the engine has exactly the newest version of its model."""
        return self.engine.versions == {"course": str(self.version)}
