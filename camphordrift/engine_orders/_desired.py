"""What engines shall be, what they report, and how they treat orders."""

from dataclasses import dataclass

from camphordrift.backend_servers import EngineRole, LoadReport, OrderKind
from camphordrift.identifiers import BackendServerId, Incarnation, ModelName

#: Orders that an engine carries out with weights from the weight store.
WEIGHT_ORDERS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER})

#: Orders that take something away from running requests, so that one that arrives late does harm
#: which giving the right order again does not undo.
UNSAFE_WHEN_LATE = frozenset({OrderKind.UNLOAD_MODEL, OrderKind.CHANGE_ROLE})


@dataclass(frozen=True)
class DesiredWeights:
    """A model or an adapter that an engine shall have loaded."""

    #: ``LOAD_MODEL`` or ``LOAD_ADAPTER``.
    kind: OrderKind

    #: The model or adapter.
    name: str

    #: The version that it shall have.
    version: str

    def __post_init__(self) -> None:
        if self.kind not in WEIGHT_ORDERS:
            raise ValueError(f"{self.kind} loads no weights")


@dataclass(frozen=True)
class DesiredEngine:
    """What the configuration wants one engine to be."""

    #: The engine.
    engine_id: BackendServerId

    #: The version of the configuration that says so; part of every order's id.
    configuration_version: int

    #: The role that it shall have.
    role: EngineRole

    #: All that it shall have loaded. A model that is loaded and not named here is unloaded.
    weights: tuple[DesiredWeights, ...]

    #: Whether the engine refuses orders with an old fencing number.
    checks_fencing: bool

    #: The orders that the configuration lets this system give; no others are planned.
    allowed_orders: frozenset[OrderKind] = frozenset(OrderKind)


@dataclass(frozen=True)
class ReportedEngine:
    """What an engine says that it is."""

    #: The engine.
    engine_id: BackendServerId

    #: Changes when the engine restarts, which undoes what it was ordered.
    incarnation: Incarnation

    #: The role that it has.
    role: EngineRole

    #: Models that are loaded and ready.
    models: frozenset[ModelName]

    #: True once it is shutting down; it gets no more orders.
    leaving: bool = False


def reported_engine(report: LoadReport) -> ReportedEngine:
    """Returns the part of a load report that orders are decided by."""
    return ReportedEngine(
        engine_id=report.engine_id,
        incarnation=report.incarnation,
        role=report.role,
        models=frozenset(report.models),
        leaving=report.leaving,
    )
