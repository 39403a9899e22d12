"""Distinct string and integer types; the type checker rejects one kind used as another."""

from typing import NewType

#: Name of a client account in the configuration.
AccountId = NewType("AccountId", str)

#: Id of a backend server: an engine, or a server of a plain service.
BackendServerId = NewType("BackendServerId", str)

#: Id of a reservation of KV memory on one engine.
HoldId = NewType("HoldId", str)

#: Identifies one run of a process on a VM: the wall-clock time of its start in milliseconds since
#: 1970. A later run has a higher number.
Incarnation = NewType("Incarnation", int)

#: Name of a model that engines serve.
ModelName = NewType("ModelName", str)

#: Id of one request, unique over all VMs.
RequestId = NewType("RequestId", str)

#: Name of a service in the configuration, either of engines or of plain HTTP calls.
ServiceName = NewType("ServiceName", str)

#: Id of an entry VM.
VmId = NewType("VmId", str)

#: Name of an availability zone.
ZoneName = NewType("ZoneName", str)
