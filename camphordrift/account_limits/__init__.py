"""Limits of client accounts, shared by all entry VMs without a store.

Each account has a home VM, chosen by rendezvous hashing, which divides the account's limits among
the VMs that see its requests. :class:`AccountLimiter` decides on requests, :class:`ShareHome`
divides, and :class:`AccountLimitService` runs both.
"""

from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._home import ShareHome
from camphordrift.account_limits._ledger import LedgerAsk, ShareLedger
from camphordrift.account_limits._limiter import AccountLimiter, Admission
from camphordrift.account_limits._messages import ShareAsk, ShareDemand, ShareGrant, ShareLease
from camphordrift.account_limits._service import (
    AccountLimitService,
    FleetView,
    account_home,
    account_limit_service,
)
from camphordrift.account_limits._settings import LimiterSettings
from camphordrift.account_limits._shares import NO_SHARES, Shares, divide_among

__all__ = [
    "NO_SHARES",
    "AccountLimitService",
    "AccountLimiter",
    "Admission",
    "FleetSize",
    "FleetView",
    "LedgerAsk",
    "LimiterSettings",
    "ShareAsk",
    "ShareDemand",
    "ShareGrant",
    "ShareHome",
    "ShareLease",
    "ShareLedger",
    "Shares",
    "account_home",
    "account_limit_service",
    "divide_among",
]
