"""Messages by which VMs request and grant leases of shares of accounts' limits."""

from dataclasses import dataclass

from camphordrift.account_limits._shares import NO_SHARES, Shares
from camphordrift.identifiers import AccountId


@dataclass(frozen=True)
class ShareDemand:
    """One VM's demand for one account."""

    #: The account.
    account_id: AccountId

    #: What the VM could use of the account's limits.
    demand: Shares

    #: The share of its current lease, whichever home VM granted it.
    held: Shares = NO_SHARES


@dataclass(frozen=True)
class ShareAsk:
    """A lease request: a VM's demands for accounts whose home VM is the receiver."""

    #: One demand per account.
    demands: tuple[ShareDemand, ...]

    #: Shortest duration of the leases that the VM requests, in seconds.
    lease_seconds: float


@dataclass(frozen=True)
class ShareLease:
    """A lease of a share of one account's limits."""

    #: The account.
    account_id: AccountId

    #: The share of the limits that the VM may use.
    shares: Shares

    #: Duration of the lease, in seconds from the time when it was requested.
    lease_seconds: float

    #: A VM that refuses requests of the account renews the lease after this time, in seconds.
    renew_seconds: float = 1.0


@dataclass(frozen=True)
class ShareGrant:
    """The response to a :class:`ShareAsk`."""

    #: One lease per requested account.
    leases: tuple[ShareLease, ...]
