"""Leases recorded in the log: who may send orders, until when, and under which fencing number."""

from camphordrift.leases._acquisition import record_to_append
from camphordrift.leases._keeper import LeaseKeeper, LeaseSettings, LeaseTerm
from camphordrift.leases._records import (
    LEASE_STREAM,
    MAX_LEASE_SECONDS,
    FencingNumber,
    LeaseAction,
    LeaseHolder,
    LeaseName,
    LeaseRecord,
    decode_lease_record,
    encode_lease_record,
)
from camphordrift.leases._runner import LeaseRunner, LeaseState
from camphordrift.leases._table import Holding, LeaseDecision, LeaseTable

__all__ = [
    "LEASE_STREAM",
    "MAX_LEASE_SECONDS",
    "FencingNumber",
    "Holding",
    "LeaseAction",
    "LeaseHolder",
    "LeaseKeeper",
    "LeaseName",
    "LeaseRecord",
    "LeaseRunner",
    "LeaseSettings",
    "LeaseState",
    "LeaseTable",
    "LeaseTerm",
    "LeaseDecision",
    "decode_lease_record",
    "encode_lease_record",
    "record_to_append",
]
