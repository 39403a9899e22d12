"""What a relay process is told at its start."""

from dataclasses import dataclass

from camphordrift.relay._retry_budget import BudgetTerms


@dataclass(frozen=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class RelaySettings:
    """Settings of one relay process. All times are in seconds."""

    vm: str
    zone: str
    #: Where callers connect.
    callers: Address
    #: Where the balancer asks whether this VM takes new connections.
    readiness: Address
    #: Where other VMs connect.
    peers: Address
    #: Where counters and histograms are served.
    metrics: Address
    store: Address
    #: From the signal to stop until the process is killed.
    grace: float
    #: After a key was withdrawn, requests with it must not run from then on.
    key_lease: float
    #: After a configuration was published, it must be in force from then on.
    configuration_bound: float
    #: After a backend server was said to leave, it must get no more requests from then on.
    leaving_bound: float
    budget: BudgetTerms
    #: Sockets that the process may have open.
    max_sockets: int
