"""The checks that a record has to pass beyond the form of each value."""

from typing import Optional

from camphordrift.configuration._proposal import Proposal
from camphordrift.configuration._records import EntryKey, RecordKind
from camphordrift.configuration._relations import claims_of
from camphordrift.configuration._values import (
    ORDERS_UNSAFE_WHEN_LATE,
    BackendServer,
    BackendServerKind,
    ConfigurationValue,
    Model,
    ModelService,
    OrderGiver,
    Policy,
)
from camphordrift.results import Failure, ResultCode


def find_fault(proposal: Proposal) -> Optional[Failure]:
    """Returns the first reason to reject the changes; ``None`` if there is none."""
    for key, value in proposal.changed_values():
        fault = _fault_of_changed(proposal, key, value)
        if fault is not None:
            return fault
    for key, value in proposal.affected_values():
        missing = proposal.missing_reference(key, value)
        if missing is not None:
            return Failure(ResultCode.RECORD_IN_USE, f"{missing}: {key} still refers to it")
        fault = _mismatch(proposal, key, value)
        if fault is not None:
            return fault
    return None


def _fault_of_changed(
    proposal: Proposal, key: EntryKey, value: ConfigurationValue
) -> Optional[Failure]:
    missing = proposal.missing_reference(key, value)
    if missing is not None:
        return _inconsistent(f"{key} refers to {missing}, which does not exist")
    for claim in claims_of(value):
        other = proposal.other_holder(key, claim)
        if other is not None:
            return _inconsistent(f"{key} and {other} would both have {claim}")
    return _mismatch(proposal, key, value) or _unsafe_orders(proposal, key, value)


def _mismatch(proposal: Proposal, key: EntryKey, value: ConfigurationValue) -> Optional[Failure]:
    """Checks that entries which refer to one another are of fitting kinds."""
    match value:
        case Model(service=service):
            if not _is_model_service(proposal, service):
                return _inconsistent(f"{key} needs a service of type 'model', not {service}")
        case BackendServer(service=service, kind=kind):
            is_engine = kind is BackendServerKind.ENGINE
            if is_engine != _is_model_service(proposal, service):
                return _inconsistent(f"{key} is of kind {kind.value}, which {service} is not for")
        case Policy(service=service, servers=servers):
            for server in sorted(servers):
                named = proposal.value_of(EntryKey(RecordKind.BACKEND_SERVER, server))
                if isinstance(named, BackendServer) and named.service != service:
                    return _inconsistent(f"{key} names {server}, which is not of {service}")
        case _:
            pass
    return None


def _is_model_service(proposal: Proposal, service: str) -> bool:
    return isinstance(proposal.value_of(EntryKey(RecordKind.SERVICE, service)), ModelService)


def _unsafe_orders(
    proposal: Proposal, key: EntryKey, value: ConfigurationValue
) -> Optional[Failure]:
    if not isinstance(value, BackendServer):
        return None
    if value.allowed_orders and not value.order_givers:
        return _inconsistent(f"{key} allows orders, but order_givers is empty")
    if value.order_givers and value.kind is not BackendServerKind.ENGINE:
        return _inconsistent(f"{key} is no engine and takes no orders")
    if value.checks_fencing:
        return None
    if len(value.order_givers) > 1:
        return _unsafe(f"{key} does not check fencing and has two order givers")
    late = value.allowed_orders & ORDERS_UNSAFE_WHEN_LATE
    if OrderGiver.FLEET in value.order_givers and late:
        names = ", ".join(sorted(order.value for order in late))
        return _unsafe(f"{key} does not check fencing and allows {names}, unsafe when late")
    return _unsafe_handover(proposal, key, value)


def _unsafe_handover(proposal: Proposal, key: EntryKey, value: BackendServer) -> Optional[Failure]:
    """Checks that orders pass from one giver to another only by way of none.

    VMs apply a record within seconds of one another; without fencing, orders of the old giver
    could meet those of the new one.
    """
    before = proposal.value_before(key)
    if not isinstance(before, BackendServer):
        return None
    if not before.order_givers or not value.order_givers:
        return None
    if before.order_givers == value.order_givers:
        return None
    return _unsafe(f"{key} does not check fencing; publish it without order givers first")


def _inconsistent(detail: str) -> Failure:
    return Failure(ResultCode.RECORD_INCONSISTENT, detail)


def _unsafe(detail: str) -> Failure:
    return Failure(ResultCode.RECORD_UNSAFE_ORDERS, detail)
