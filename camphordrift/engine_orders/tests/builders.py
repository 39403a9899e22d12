"""Builds desired and reported engines, and an engine that takes orders, for these tests."""

from dataclasses import dataclass, field
from typing import Optional

from camphordrift.backend_servers import EngineOrder, EngineRole, OrderKind, OrderReply
from camphordrift.clocks import TwoClocks
from camphordrift.engine_orders import DesiredEngine, DesiredWeights, ReportedEngine
from camphordrift.identifiers import BackendServerId, Incarnation, ModelName
from camphordrift.leases import FencingNumber, LeaseTerm

ENGINE = BackendServerId("engine-1")
FAR = TwoClocks(monotonic=1e9, wall=1e9)


def clocks(now: float) -> TwoClocks:
    return TwoClocks(monotonic=now, wall=now)


def term(fencing_number: int = 7, settled_at: float = 0.0) -> LeaseTerm:
    return LeaseTerm(FencingNumber(fencing_number), ends=FAR, settled=clocks(settled_at))


def desired(
    version: str = "1",
    checks_fencing: bool = True,
    role: EngineRole = EngineRole.FULL,
    configuration_version: int = 1,
) -> DesiredEngine:
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
        return reported(models=tuple(self.versions), role=self.role)
