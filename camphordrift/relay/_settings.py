"""What a relay process is told at its start."""

import math
from dataclasses import dataclass

from camphordrift.relay._retry_budget import BudgetTerms

#: Cores and link in Mbit/s of the smallest VMs (grown deployments: 0.516 cores, 10 Mbit/s).
SMALL_CORES = 0.5
SMALL_LINK = 10.0


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
    budget: BudgetTerms
    #: Processor cores that the VM may use.
    cores: float = 1.0
    #: Bandwidth of the VM's link in Mbit/s.
    link_mbps: float = 1000.0

    @property
    def capacity(self) -> int:
        """Powers of two by which the scarcer of processor and link exceeds a small VM's."""
        return math.floor(math.log2(min(self.cores / SMALL_CORES, self.link_mbps / SMALL_LINK)))
