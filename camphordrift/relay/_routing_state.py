"""What a VM needs to know to handle a request."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Optional

import trio

from camphordrift.relay._configuration_lease import ConfigurationLease
from camphordrift.relay._retry_budget import RetryBudget, RetryBudgetSettings
from camphordrift.relay._routing_table import RoutingTable
from camphordrift.relay._server_directory import ServerDirectory
from camphordrift.relay._store_watchers import boot_time_clock
from camphordrift.relay._values import Account, Configuration

#: Seconds between looks at whether the configuration has arrived.
KNOWLEDGE_CHECK_INTERVAL = 0.01


@dataclass
class RoutingState:
    """The configuration, how fresh it is, and the backend servers."""

    #: Returns the configuration in force; ``None`` before the first was read.
    table: Callable[[], Optional[RoutingTable]]
    lease: ConfigurationLease
    directory: ServerDirectory
    budget_terms: RetryBudgetSettings
    #: Returns how many VMs share the retry budget.
    vm_count: Callable[[], int]
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    @property
    def configuration(self) -> Optional[Configuration]:
        """The configuration in force."""
        table = self.table()
        return None if table is None else table.configuration

    @property
    def version(self) -> Optional[int]:
        """Version of the configuration in force."""
        configuration = self.configuration
        return None if configuration is None else configuration.version

    def configuration_age(self) -> float:
        """Returns the seconds since the configuration was known to be the newest."""
        return self.lease.age(boot_time_clock())

    async def wait_until_loaded(self, timeout: float) -> None:
        """Waits until a VM that has just started knows the configuration and the servers."""
        ends = trio.current_time() + timeout
        while self.table() is None or not self.directory.servers:
            if trio.current_time() >= ends:
                return
            await trio.sleep(KNOWLEDGE_CHECK_INTERVAL)

    def has_valid_lease(self) -> bool:
        """Tells whether keys may be accepted."""
        return self.lease.is_valid(boot_time_clock())

    def budget(self, service: str) -> RetryBudget:
        """Returns this VM's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.budget_terms, self.vm_count())
        budget.set_vm_count(self.vm_count())
        return budget

    def is_still_authorized(self, key: Optional[str], account: Optional[Account]) -> bool:
        """Tells whether a request that was accepted earlier may still be sent."""
        table = self.table()
        if account is None or table is None:
            return table is not None
        return self.has_valid_lease() and table.find_account(key) == account
