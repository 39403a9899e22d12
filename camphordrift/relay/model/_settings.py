"""Settings of a relay process."""

import math
from dataclasses import dataclass
from typing import Optional

#: Processor cores, and bandwidth in Mbit/s, of the smallest VMs, which have capacity class 0. The
#: smallest VMs of the grown deployments have 0.516 cores and 10 Mbit/s.
SMALL_CORES = 0.5
SMALL_LINK = 10.0

#: Share of a VM's memory that the bodies of requests may use together.
BODY_MEMORY_SHARE = 1 / 4

#: Share of a VM's memory that connections from callers may use, and bytes that an idle one uses.
CALLER_MEMORY_SHARE = 1 / 4
CALLER_CONNECTION_BYTES = 12288

#: Descriptors that are not for sockets.
RESERVED_DESCRIPTORS = 200

#: Shares of the sockets: for callers and the servers of their requests, for other VMs that have not
#: introduced themselves, for idle connections to servers, and for readiness probes and for readers
#: of the metrics.
CALLER_SOCKET_SHARE = 3 / 4
NEW_PEER_SOCKET_SHARE = 1 / 16
IDLE_SERVER_SOCKET_SHARE = 1 / 8
PROBE_SOCKET_SHARE = 1 / 32

#: Share of a VM's memory that buffered responses of servers may use together.
RESPONSE_MEMORY_SHARE = 1 / 8


@dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class RetryBudgetSettings:
    """Limits for the retries to one service, summed over all VMs."""

    #: Retries allowed per request.
    ratio: float
    #: Retries allowed in each window in addition to the ratio.
    slack: float
    #: Length of the sliding window in seconds.
    window: float


@dataclass(frozen=True)
class RelaySettings:
    """Settings of one relay process. All times are in seconds."""

    vm: str
    zone: str
    #: Listening address for callers.
    callers: Address
    #: Listening address for the load balancer's readiness probes.
    readiness: Address
    #: Listening address for other VMs.
    peers: Address
    #: Listening address for the metrics endpoint.
    metrics: Address
    #: Address of the store that holds the keyed log.
    store: Address
    #: Time from the stop signal until the process is killed.
    shutdown_grace_period: float
    #: Maximum time after the revocation of an API key for which requests with it may still run.
    key_revocation_delay: float
    #: Maximum time after the acknowledgement of a configuration until it is in force.
    configuration_apply_delay: float
    budget: RetryBudgetSettings
    #: Maximum time after the acknowledgement of a zone's evacuation until no request is sent to its
    #: servers; ``None`` if the deployment does not evacuate zones.
    evacuation_delay: Optional[float] = None
    #: Processor cores available to the VM.
    cores: float = 1.0
    #: Bandwidth of the VM's link in Mbit/s.
    link_mbps: float = 1000.0
    #: Memory of the VM in bytes; the process is killed if it uses more.
    memory_bytes: float = 160e6
    #: Descriptors that the process may have open.
    max_descriptors: int = 4100

    @property
    def body_budget(self) -> float:
        """Bytes that the bodies of all requests may have in memory together."""
        return self.memory_bytes * BODY_MEMORY_SHARE

    @property
    def response_budget(self) -> float:
        """Bytes that the buffered responses of servers may have in memory together."""
        return self.memory_bytes * RESPONSE_MEMORY_SHARE

    @property
    def max_callers(self) -> float:
        """Open connections from callers; one with a request in progress counts twice."""
        by_memory = self.memory_bytes * CALLER_MEMORY_SHARE / CALLER_CONNECTION_BYTES
        return min(self._max_sockets * CALLER_SOCKET_SHARE, by_memory)

    @property
    def max_new_peers(self) -> float:
        """Open connections from other VMs that have not introduced themselves."""
        return self._max_sockets * NEW_PEER_SOCKET_SHARE

    @property
    def max_idle_servers(self) -> float:
        """Idle connections to servers that are kept for reuse."""
        return self._max_sockets * IDLE_SERVER_SOCKET_SHARE

    @property
    def max_probes(self) -> float:
        """Open connections for readiness probes, and as many for readers of the metrics."""
        return max(1.0, self._max_sockets * PROBE_SOCKET_SHARE)

    @property
    def _max_sockets(self) -> int:
        return max(1, self.max_descriptors - RESERVED_DESCRIPTORS)

    @property
    def capacity(self) -> int:
        """Capacity class of the VM: log2 of its size relative to the smallest VMs, rounded down.

        The size is the smaller of two ratios: that of the cores and that of the bandwidth.
        """
        return math.floor(math.log2(min(self.cores / SMALL_CORES, self.link_mbps / SMALL_LINK)))
