"""Two VMs that both give orders, with pauses, log outages, late orders and lost leases."""

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

#: The only engine.
ENGINE = BackendServerId("engine-1")

_SETTINGS = LeaseSettings()

#: An order that was sent takes effect within this time, in seconds.
_LATEST_EFFECT_SECONDS = _SETTINGS.order_settle_seconds


def clocks(now: float) -> ClockReading:
    """Returns a moment at which both clocks agree."""
    return ClockReading(monotonic=now, wall=now)


def desired(
    version: str = "1",
    checks_fencing: bool = True,
    role: EngineRole = EngineRole.FULL,
    configuration_version: int = 1,
) -> DesiredEngine:
    """Returns an engine that shall have one model."""
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
    """Returns what an engine with some models says."""
    return ReportedEngine(
        engine_id=ENGINE,
        incarnation=Incarnation(incarnation),
        role=role,
        models=frozenset(ModelName(model) for model in models),
        leaving=leaving,
    )


@dataclass
class OrderedEngine:
    """An engine that carries orders out at once."""

    #: Whether it refuses old fencing numbers.
    checks_fencing: bool

    #: Loaded models and their versions.
    versions: dict[str, str] = field(default_factory=dict)

    #: Its role.
    role: EngineRole = EngineRole.FULL

    #: The fencing numbers of the orders that it carried out.
    carried_out: list[int] = field(default_factory=list)

    #: The highest fencing number seen.
    highest: int = -1

    def take(self, order: EngineOrder) -> OrderReply:
        """Carries an order out, or refuses it."""
        highest: Optional[int] = None
        if self.checks_fencing:
            if order.fencing_number < self.highest:
                return OrderReply(False, self.highest, "old fencing number")
            self.highest = order.fencing_number
            highest = self.highest
        self.carried_out.append(order.fencing_number)
        match order.kind:
            case OrderKind.CHANGE_ROLE:
                self.role = EngineRole(order.subject)
            case OrderKind.LOAD_MODEL:
                self.versions[order.subject] = order.version
            case OrderKind.UNLOAD_MODEL:
                self.versions.pop(order.subject, None)
        return OrderReply(True, highest)

    def report(self) -> ReportedEngine:
        """Returns what the engine says that it is."""
        return reported(models=tuple(self.versions), role=self.role)


@dataclass
class Giver:
    """One VM."""

    #: Its view of the lease.
    keeper: LeaseKeeper
    #: What the engine answered.
    book: OrderTracker = field(default_factory=OrderTracker)
    #: The version of the configuration that it knows.
    version: int = 1
    #: It does nothing until then.
    paused_until: float = 0.0
    #: Orders that were planned before a pause and are sent after it.
    planned: list[EngineOrder] = field(default_factory=list)


class TwoGivers:
    """Plays two VMs that both want to give orders to one engine, from a seed.

    ``keeper_class`` may be a broken one; ``checks_fencing`` is what the configuration says.
    """

    def __init__(self, seed: int, keeper_class: type, checks_fencing: bool) -> None:
        self.engine = OrderedEngine(checks_fencing)
        self.checks_fencing = checks_fencing
        self.version = 1
        self._generator = random.Random(seed)
        self._table = LeaseTable()
        self._offset = 0
        self._log_down_until = 0.0
        self._now = 0.0
        self._on_the_way: list[tuple[float, EngineOrder, Giver]] = []
        self.givers = [
            Giver(
                keeper_class(
                    LeaseName("orders"), LeaseHolder(VmId(f"vm-{n}"), Incarnation(1)), _SETTINGS
                )
            )
            for n in range(2)
        ]
        self._budgets = [WeightStoreBudget(10.0, 10.0, 1.0, 0.0) for _ in range(2)]

    def play(self, until: float, faults: bool) -> None:
        """Plays until a time, with faults or without."""
        while self._now < until:
            self._now += self._generator.uniform(0.1, 1.0)
            if faults and self._generator.random() < 0.1:
                self.version += 1
            if faults and self._generator.random() < 0.02:
                self._log_down_until = self._now + self._generator.uniform(5.0, 20.0)
            self._deliver()
            for giver, budget in zip(self.givers, self._budgets, strict=True):
                if faults and self._generator.random() < 0.02:
                    giver.paused_until = self._now + self._generator.uniform(5.0, 40.0)
                if self._now >= giver.paused_until:
                    self._step(giver, budget)

    def _step(self, giver: Giver, budget: WeightStoreBudget) -> None:
        self._send_planned(giver)
        giver.version = self.version
        now = clocks(self._now)
        record = giver.keeper.next_record(now)
        if record is not None and self._now >= self._log_down_until:
            self._append(encode_lease_record(record))
        match giver.keeper.authorize(now):
            case result.Success(term):
                wanted = desired(
                    str(giver.version), self.checks_fencing, configuration_version=giver.version
                )
                plan = plan_orders(wanted, self.engine.report(), term, giver.book, budget, now)
                giver.planned = list(plan.orders)
        if self._generator.random() < 0.8:
            self._send_planned(giver)

    def _send_planned(self, giver: Giver) -> None:
        planned, giver.planned = giver.planned, []
        for order in planned:
            match giver.keeper.authorize(clocks(self._now)):
                case result.Success(term) if term.fencing_number == order.fencing_number:
                    delay = self._generator.choice((0.05, 1.0, _LATEST_EFFECT_SECONDS))
                    self._on_the_way.append((self._now + delay, order, giver))

    def _append(self, payload: bytes) -> None:
        verdict = self._table.apply(LogRecord(self._offset, payload, self._now))
        self._offset += 1
        assert verdict is not None
        for giver in self.givers:
            giver.keeper.apply_decision(verdict, clocks(self._now))

    def _deliver(self) -> None:
        due = [sent for sent in self._on_the_way if sent[0] <= self._now]
        self._on_the_way = [sent for sent in self._on_the_way if sent[0] > self._now]
        for _, order, giver in sorted(due, key=lambda sent: sent[0]):
            reply = self.engine.take(order)
            if reply.accepted:
                giver.book.record_accepted(order, Incarnation(1), self._now)
            else:
                giver.book.record_failed(order, reply.detail, self._now)

    @property
    def is_out_of_order(self) -> bool:
        """Whether an order was carried out after one of a later holder."""
        carried_out = self.engine.carried_out
        return carried_out != sorted(carried_out)

    @property
    def is_converged(self) -> bool:
        """Whether the engine has the newest version and nothing else."""
        return self.engine.versions == {"course": str(self.version)}
