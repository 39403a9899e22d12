"""Checks a record against the rest of the configuration, after its values were validated."""

from typing import Optional

from camphordrift.configuration._proposal import Proposal
from camphordrift.configuration._records import EntryKey, RecordKind
from camphordrift.configuration._relations import unique_values_of
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


def find_rejection_reason(proposal: Proposal) -> Optional[Failure]:
    """Returns the first reason to reject the record; ``None`` if all checks pass."""
    for key, value in proposal.changed_values():
        failure = _check_changed_value(proposal, key, value)
        if failure is not None:
            return failure
    for key, value in proposal.affected_values():
        missing = proposal.missing_reference(key, value)
        if missing is not None:
            return Failure(ResultCode.RECORD_IN_USE, f"{missing} is in use: {key} refers to it")
        failure = _check_referenced_kinds(proposal, key, value)
        if failure is not None:
            return failure
    return None


def _check_changed_value(
    proposal: Proposal, key: EntryKey, value: ConfigurationValue
) -> Optional[Failure]:
    missing = proposal.missing_reference(key, value)
    if missing is not None:
        return _inconsistent_record_failure(f"{key} refers to {missing}, which does not exist")
    for unique_value in unique_values_of(value):
        other = proposal.other_owner(key, unique_value)
        if other is not None:
            return _inconsistent_record_failure(f"{key} and {other} would both have {unique_value}")
    return _check_referenced_kinds(proposal, key, value) or _check_order_settings(
        proposal, key, value
    )


def _check_referenced_kinds(
    proposal: Proposal, key: EntryKey, value: ConfigurationValue
) -> Optional[Failure]:
    """Checks that the services and servers that an entry refers to are of the required kind."""
    match value:
        case Model(service=service):
            if not _is_model_service(proposal, service):
                return _inconsistent_record_failure(
                    f"{key} requires a service of type 'model'; {service} is of another type"
                )
        case BackendServer(service=service, kind=kind):
            is_engine = kind is BackendServerKind.ENGINE
            if is_engine != _is_model_service(proposal, service):
                return _inconsistent_record_failure(
                    f"{key} is of kind {kind.value}, which service {service} does not accept"
                )
        case Policy(service=service, servers=servers):
            for server in sorted(servers):
                named = proposal.value_of(EntryKey(RecordKind.BACKEND_SERVER, server))
                if isinstance(named, BackendServer) and named.service != service:
                    return _inconsistent_record_failure(
                        f"{key} names server {server}, which does not belong to service {service}"
                    )
        case _:
            pass
    return None


def _is_model_service(proposal: Proposal, service: str) -> bool:
    return isinstance(proposal.value_of(EntryKey(RecordKind.SERVICE, service)), ModelService)


def _check_order_settings(
    proposal: Proposal, key: EntryKey, value: ConfigurationValue
) -> Optional[Failure]:
    if not isinstance(value, BackendServer):
        return None
    if value.allowed_orders and not value.order_givers:
        return _inconsistent_record_failure(f"{key} allows orders, but order_givers is empty")
    if value.order_givers and value.kind is not BackendServerKind.ENGINE:
        return _inconsistent_record_failure(f"{key} is not an engine; order_givers must be empty")
    if value.checks_fencing:
        return None
    if len(value.order_givers) > 1:
        return _unsafe_orders_failure(
            f"{key} does not check fencing numbers; expected at most one order giver"
        )
    unsafe_when_late = value.allowed_orders & ORDERS_UNSAFE_WHEN_LATE
    if OrderGiver.FLEET in value.order_givers and unsafe_when_late:
        names = ", ".join(sorted(order.value for order in unsafe_when_late))
        return _unsafe_orders_failure(
            f"{key} does not check fencing numbers; {names} would be unsafe if delivered late"
        )
    return _check_order_giver_change(proposal, key, value)


def _check_order_giver_change(
    proposal: Proposal, key: EntryKey, value: BackendServer
) -> Optional[Failure]:
    """Checks that the order giver is not replaced by another one in a single record.

    VMs apply a record up to seconds apart. Without fencing, the engine could accept orders of the
    old and the new giver at the same time, so a record without order givers has to come between.
    """
    before = proposal.value_before(key)
    if not isinstance(before, BackendServer):
        return None
    if not before.order_givers or not value.order_givers:
        return None
    if before.order_givers == value.order_givers:
        return None
    return _unsafe_orders_failure(
        f"{key} does not check fencing numbers; to change its order giver,"
        " publish it without order givers first"
    )


def _inconsistent_record_failure(detail: str) -> Failure:
    return Failure(ResultCode.RECORD_INCONSISTENT, detail)


def _unsafe_orders_failure(detail: str) -> Failure:
    return Failure(ResultCode.RECORD_UNSAFE_ORDERS, detail)
