"""Configuration, backend servers, retry budgets and crashes that request handling depends on."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Optional

import trio

from camphordrift.relay.model import Account, BackendServer, Configuration, RetryBudgetSettings
from camphordrift.relay.peers import CrashMonitor
from camphordrift.relay.scheduling import RequestLimits, RetryBudget
from camphordrift.relay.servers import ServerDirectory, ServerNotices, ZoneEvacuations
from camphordrift.relay.store import (
    ConfigurationLease,
    PendingVersions,
    RoutingTable,
    boot_time_clock,
)

#: Seconds between checks of whether the configuration and the servers are loaded.
LOAD_CHECK_INTERVAL = 0.01


@dataclass
class RoutingState:
    """The configuration with its lease, the backend servers, the retry budgets and the crashes."""

    #: Returns the routing table of the current configuration; ``None`` before the first one was
    #: read.
    table: Callable[[], Optional[RoutingTable]]
    lease: ConfigurationLease
    #: Versions of the configuration that this VM knows of and does not have.
    pending: PendingVersions
    directory: ServerDirectory
    #: What the servers announced about further requests.
    notices: ServerNotices
    #: Zones whose servers must get no requests.
    evacuations: ZoneEvacuations
    #: Limits of requests that the servers named.
    limits: RequestLimits
    budget_settings: RetryBudgetSettings
    #: Returns how many VMs share the retry budget.
    vm_count: Callable[[], int]
    #: Traits of requests that crash servers.
    crashes: CrashMonitor
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    @property
    def configuration(self) -> Optional[Configuration]:
        """The current configuration; ``None`` before the first one was read."""
        table = self.table()
        return None if table is None else table.configuration

    @property
    def version(self) -> Optional[int]:
        """Version of the current configuration; ``None`` before the first one was read."""
        configuration = self.configuration
        return None if configuration is None else configuration.version

    def configuration_age(self) -> float:
        """Returns the seconds since the configuration was last confirmed to be the newest."""
        return self.lease.age(boot_time_clock())

    async def wait_until_loaded(self, timeout: float) -> None:
        """Waits until the configuration and a server are loaded, or ``timeout`` seconds passed."""
        deadline = trio.current_time() + timeout
        while self.table() is None or not self.directory.servers:
            if trio.current_time() >= deadline:
                return
            await trio.sleep(LOAD_CHECK_INTERVAL)

    def has_valid_lease(self) -> bool:
        """Returns whether the configuration is recent enough to accept keys."""
        return self.lease.is_valid(boot_time_clock())

    def is_overdue(self) -> bool:
        """Returns whether a newer configuration has waited so long that this one is unusable."""
        return self.pending.is_overdue(trio.current_time())

    def usable_servers(self, service: str) -> list[BackendServer]:
        """Returns the servers of a service that accept new requests."""
        ready = self.directory.ready_servers(service)
        return [server for server in ready if self.accepts_requests(server)]

    def accepts_requests(self, server: BackendServer) -> bool:
        """Returns whether a server neither leaves nor pauses, and its zone is not evacuated."""
        return not self.evacuations.is_evacuated(server) and self.notices.accepts_requests(
            server, trio.current_time()
        )

    def evacuated_zones(self, service: str) -> list[str]:
        """Returns the evacuated zones in which there are servers of a service."""
        ready = self.directory.ready_servers(service)
        return sorted({server.zone for server in ready if self.evacuations.is_evacuated(server)})

    def shortest_pause(self, service: str) -> Optional[float]:
        """Returns the seconds until the first server of a service ends its pause.

        Returns ``None`` unless all servers that do not leave, and whose zones are not evacuated,
        are pausing.
        """
        now = trio.current_time()
        pauses = [
            self.notices.pause_left(server, now)
            for server in self.directory.ready_servers(service)
            if not (self.notices.is_leaving(server) or self.evacuations.is_evacuated(server))
        ]
        return min(pauses, default=0.0) or None

    def budget(self, service: str) -> RetryBudget:
        """Returns this VM's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.budget_settings, self.vm_count())
        budget.set_vm_count(self.vm_count())
        return budget

    def is_still_authorized(self, key: Optional[str], account: Optional[Account]) -> bool:
        """Returns whether a request that was accepted earlier may still be sent.

        Args:
            key: The key that the caller sent.
            account: Client account for which the request was accepted; ``None`` if its route needs
                no key.

        """
        table = self.table()
        if account is None or table is None:
            return table is not None
        current = table.find_account(key)
        if key is None or current is None or self.pending.withdraws(key):
            return False
        # A change of the account's other properties revokes no key.
        return self.has_valid_lease() and current.name == account.name
