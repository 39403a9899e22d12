"""The configuration: what operators publish, and what is in force."""

from camphordrift.configuration._snapshot import ConfigurationSnapshot, snapshot_of
from camphordrift.configuration._values import (
    ORDERS_UNSAFE_WHEN_LATE,
    AccountLimits,
    BackendServer,
    BackendServerKind,
    ClientAccount,
    ConfigurationValue,
    FleetTuning,
    Model,
    ModelService,
    OrderGiver,
    PlainService,
    Policy,
    RepeatableCalls,
    Service,
    is_path_below,
)

__all__ = [
    "ORDERS_UNSAFE_WHEN_LATE",
    "AccountLimits",
    "BackendServer",
    "BackendServerKind",
    "ClientAccount",
    "ConfigurationSnapshot",
    "ConfigurationValue",
    "FleetTuning",
    "Model",
    "ModelService",
    "OrderGiver",
    "PlainService",
    "Policy",
    "RepeatableCalls",
    "Service",
    "is_path_below",
    "snapshot_of",
]
