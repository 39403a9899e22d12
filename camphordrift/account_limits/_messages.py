"""Messages about shares of accounts' limits."""

from dataclasses import dataclass

from camphordrift.account_limits._shares import NO_SHARES, Shares
from camphordrift.identifiers import AccountId


@dataclass(frozen=True)
class ShareDemand:
    """What a VM needs of one account's limits."""

    #: The account.
    account_id: AccountId

    #: What the VM could use.
    demand: Shares

    #: What its present lease, from whichever home VM, allows it.
    held: Shares = NO_SHARES


@dataclass(frozen=True)
class ShareAsk:
    """A VM's demands of the accounts that the receiver is home to."""

    #: One entry for each account.
    demands: tuple[ShareDemand, ...]

    #: For how long it would hold the leases at least, in seconds.
    lease_seconds: float


@dataclass(frozen=True)
class ShareLease:
    """A share of one account's limits."""

    #: The account.
    account_id: AccountId

    #: What the VM may use.
    shares: Shares

    #: How long the VM may use it, in seconds from the time of asking.
    lease_seconds: float

    #: A VM that refuses requests of the account asks again after this time, in seconds.
    renew_seconds: float = 1.0


@dataclass(frozen=True)
class ShareGrant:
    """The answer to an ask."""

    #: One lease for each account asked for.
    leases: tuple[ShareLease, ...]
