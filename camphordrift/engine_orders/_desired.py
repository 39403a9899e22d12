"""The desired and the reported state of engines, and properties of the order kinds."""

from dataclasses import dataclass

from camphordrift.backend_servers import EngineRole, LoadReport, OrderKind
from camphordrift.identifiers import BackendServerId, Incarnation, ModelName

#: Orders for which an engine downloads weights from the weight store.
WEIGHT_ORDERS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER})

#: Orders that disrupt running requests. If an outdated one takes effect late, sending the current
#: order again does not undo the damage.
UNSAFE_WHEN_LATE = frozenset({OrderKind.UNLOAD_MODEL, OrderKind.CHANGE_ROLE})


@dataclass(frozen=True)
class DesiredWeights:
    """A model or an adapter that should be loaded on an engine."""

    #: ``LOAD_MODEL`` or ``LOAD_ADAPTER``; other kinds raise ``ValueError``.
    kind: OrderKind

    #: Name of the model or adapter.
    name: str

    #: The version that should be loaded.
    version: str

    def __post_init__(self) -> None:
        if self.kind not in WEIGHT_ORDERS:
            raise ValueError(f"kind must be LOAD_MODEL or LOAD_ADAPTER, not {self.kind}")


@dataclass(frozen=True)
class DesiredEngine:
    """The state of one engine that the configuration asks for."""

    #: Id of the engine.
    engine_id: BackendServerId

    #: The configuration version that this state comes from; part of every order's id.
    configuration_version: int

    #: The role that the engine should have.
    role: EngineRole

    #: All models and adapters that should be loaded. Loaded models that are not listed here are
    #: unloaded.
    weights: tuple[DesiredWeights, ...]

    #: Whether the engine rejects orders with an outdated fencing number.
    checks_fencing: bool

    #: The kinds of orders that the configuration permits; other kinds are never planned.
    allowed_orders: frozenset[OrderKind] = frozenset(OrderKind)


@dataclass(frozen=True)
class ReportedEngine:
    """The current state of an engine according to its own load report."""

    #: Id of the engine.
    engine_id: BackendServerId

    #: Incarnation of the engine's process. A restart changes it and undoes earlier orders.
    incarnation: Incarnation

    #: The engine's current role.
    role: EngineRole

    #: Models that are loaded and ready. Versions and adapters are not reported.
    models: frozenset[ModelName]

    #: Whether the engine is draining; it is then sent no more orders.
    leaving: bool = False


def reported_engine(report: LoadReport) -> ReportedEngine:
    """Returns the engine's state according to a load report, as order planning needs it."""
    return ReportedEngine(
        engine_id=report.engine_id,
        incarnation=report.incarnation,
        role=report.role,
        models=frozenset(report.models),
        leaving=report.leaving,
    )
