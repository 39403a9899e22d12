"""Messages by which VMs request and grant leases of shares of accounts' limits."""

from dataclasses import dataclass

from camphordrift.account_limits._shares import NO_SHARES, Shares
from camphordrift.identifiers import AccountId


@dataclass(frozen=True)
class ShareDemand:
    """How much of one account's limits a VM could use, and the share that it has now."""

    #: The account that the demand is for.
    account_id: AccountId

    #: The amounts that the VM could use if the limits were not divided.
    demand: Shares

    #: The share of the VM's current lease, which another home VM may have granted.
    held: Shares = NO_SHARES


@dataclass(frozen=True)
class ShareAsk:
    """A lease request: a VM's demands for accounts whose home VM is the receiver."""

    #: One demand per account.
    demands: tuple[ShareDemand, ...]

    #: Minimum duration in seconds of the requested leases.
    lease_seconds: float


@dataclass(frozen=True)
class ShareLease:
    """A lease of a share of one account's limits."""

    #: The account whose limits are leased.
    account_id: AccountId

    #: The share of the limits that the VM may use.
    shares: Shares

    #: Duration of the lease in seconds, counted from the time of the request.
    lease_seconds: float

    #: Seconds after which a VM that has refused requests of the account renews the lease.
    renew_seconds: float = 1.0


@dataclass(frozen=True)
class ShareGrant:
    """The response to a :class:`ShareAsk`."""

    #: One lease per requested account.
    leases: tuple[ShareLease, ...]
