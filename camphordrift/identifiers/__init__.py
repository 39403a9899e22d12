"""Distinct types for the identifiers of VMs, servers, accounts, models and requests."""

from camphordrift.identifiers._identifiers import (
    AccountId,
    BackendServerId,
    HoldId,
    Incarnation,
    ModelName,
    RequestId,
    ServiceName,
    VmId,
    ZoneName,
)

__all__ = [
    "AccountId",
    "BackendServerId",
    "HoldId",
    "Incarnation",
    "ModelName",
    "RequestId",
    "ServiceName",
    "VmId",
    "ZoneName",
]
