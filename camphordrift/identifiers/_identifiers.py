"""Distinct string and integer types, so that one kind of name cannot pass for another."""

from typing import NewType

#: A client account, as named in the configuration.
AccountId = NewType("AccountId", str)

#: A backend server: an engine or a server of a plain service.
BackendServerId = NewType("BackendServerId", str)

#: A reservation of memory on one engine.
HoldId = NewType("HoldId", str)

#: Grows with every start of the process on a VM: milliseconds of wall-clock time at its start.
Incarnation = NewType("Incarnation", int)

#: A model that engines serve.
ModelName = NewType("ModelName", str)

#: One caller's request, unique over all VMs.
RequestId = NewType("RequestId", str)

#: A plain service, as named in the configuration.
ServiceName = NewType("ServiceName", str)

#: One entry VM.
VmId = NewType("VmId", str)

#: An availability zone.
ZoneName = NewType("ZoneName", str)
