"""Distributed rate and concurrency limits of client accounts, without a shared store.

Rendezvous hashing assigns each account a home VM, which coordinates the account's limits: it
divides them among the VMs that receive the account's requests. Each of these VMs gets a lease,
which is the right to use a share of the limits for some seconds. :class:`AccountLimiter` admits or
refuses requests on each VM, :class:`ShareHome` grants the leases on the home VM, and
:class:`AccountLimitService` runs both and exchanges their messages.
"""

from camphordrift.account_limits._allocator import LeaseRequest, ShareAllocator
from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._home import ShareHome
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
    "LeaseRequest",
    "LimiterSettings",
    "ShareAsk",
    "ShareDemand",
    "ShareGrant",
    "ShareHome",
    "ShareLease",
    "ShareAllocator",
    "Shares",
    "account_home",
    "account_limit_service",
    "divide_among",
]
