"""Typed names of the things that the system talks about."""

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
