"""An immutable snapshot of the configuration, with the lookups that request handling needs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property
from types import MappingProxyType
from typing import Optional

from camphordrift.configuration._values import (
    AccountLimits,
    BackendServer,
    BackendServerKind,
    ClientAccount,
    ConfigurationValue,
    FleetTuning,
    Model,
    ModelService,
    PlainService,
    Policy,
    Service,
    is_path_below,
)
from camphordrift.identifiers import AccountId, BackendServerId, ModelName, ServiceName


@dataclass(frozen=True)
class ConfigurationSnapshot:
    """The configuration in force at one offset of the log; immutable.

    Build one with :func:`snapshot_of`. A process replaces its snapshot atomically, and a request
    uses the same snapshot from start to end, so it never sees two configurations.
    """

    #: The fleet-wide version: the number of accepted records so far. It never decreases.
    version: int

    #: The offset of the next record to apply.
    offset: int

    #: Client accounts by name.
    accounts: Mapping[AccountId, ClientAccount]

    #: Services of both kinds by name.
    services: Mapping[ServiceName, Service]

    #: Models by name.
    models: Mapping[ModelName, Model]

    #: Policies by name.
    policies: Mapping[str, Policy]

    #: Limits by account.
    limits: Mapping[AccountId, AccountLimits]

    #: Backend servers by name.
    servers: Mapping[BackendServerId, BackendServer]

    #: Scheduling parameters for the whole fleet.
    tuning: FleetTuning

    def account_by_key_hash(self, key_hash: str) -> Optional[ClientAccount]:
        """Returns the enabled account with the key hash; ``None`` if there is none."""
        return self._accounts_by_key_hash.get(key_hash)

    def service_named(self, name: ServiceName) -> Optional[Service]:
        """Returns the service; ``None`` if there is none of that name."""
        return self.services.get(name)

    def plain_service_for_path(self, path: str) -> Optional[PlainService]:
        """Returns the plain service with the longest matching path prefix, or ``None``."""
        for service in self._plain_services_longest_prefix_first:
            if is_path_below(path, service.path_prefix):
                return service
        return None

    def model_service_for(self, model: ModelName) -> Optional[ModelService]:
        """Returns the service whose engines serve the model; ``None`` if there is none."""
        found_model = self.models.get(model)
        if found_model is None:
            return None
        service = self.services.get(found_model.service)
        return service if isinstance(service, ModelService) else None

    def policy_for(self, account_id: AccountId, service: ServiceName) -> Optional[Policy]:
        """Returns the policy for the account and service; ``None`` if access is not permitted."""
        return self._policies_by_use.get((account_id, service))

    def limits_of(self, account_id: AccountId) -> Optional[AccountLimits]:
        """Returns the account's limits; ``None`` if none are set."""
        return self.limits.get(account_id)

    def server_named(self, server_id: BackendServerId) -> Optional[BackendServer]:
        """Returns the backend server; ``None`` if there is none of that name."""
        return self.servers.get(server_id)

    def servers_of(self, service: ServiceName) -> tuple[BackendServer, ...]:
        """Returns the service's backend servers, sorted by name."""
        return self._servers_by_service.get(service, ())

    def engines(self) -> tuple[BackendServer, ...]:
        """Returns all engines, sorted by name."""
        ordered = sorted(self.servers.values(), key=lambda server: server.server_id)
        return tuple(server for server in ordered if server.kind is BackendServerKind.ENGINE)

    def permitted_servers(
        self, account_id: AccountId, service: ServiceName
    ) -> tuple[BackendServer, ...]:
        """Returns the servers of the service that the account may use, sorted by name."""
        policy = self.policy_for(account_id, service)
        if policy is None:
            return ()
        servers = self.servers_of(service)
        if not policy.servers:
            return servers
        return tuple(server for server in servers if server.server_id in policy.servers)

    @cached_property
    def _accounts_by_key_hash(self) -> Mapping[str, ClientAccount]:
        return {
            key_hash: account
            for account in self.accounts.values()
            if account.enabled
            for key_hash in account.key_hashes
        }

    @cached_property
    def _plain_services_longest_prefix_first(self) -> tuple[PlainService, ...]:
        plain = [service for service in self.services.values() if isinstance(service, PlainService)]
        return tuple(sorted(plain, key=lambda service: (-len(service.path_prefix), service.name)))

    @cached_property
    def _policies_by_use(self) -> Mapping[tuple[AccountId, ServiceName], Policy]:
        return {(policy.account_id, policy.service): policy for policy in self.policies.values()}

    @cached_property
    def _servers_by_service(self) -> Mapping[ServiceName, tuple[BackendServer, ...]]:
        grouped: dict[ServiceName, list[BackendServer]] = {}
        for server in sorted(self.servers.values(), key=lambda server: server.server_id):
            grouped.setdefault(server.service, []).append(server)
        return {service: tuple(servers) for service, servers in grouped.items()}


def snapshot_of(
    version: int, offset: int, values: Iterable[ConfigurationValue]
) -> ConfigurationSnapshot:
    """Builds a snapshot from ``values`` in any order.

    Of two values with the same kind and name, the later one is used.
    """
    accounts: dict[AccountId, ClientAccount] = {}
    services: dict[ServiceName, Service] = {}
    models: dict[ModelName, Model] = {}
    policies: dict[str, Policy] = {}
    limits: dict[AccountId, AccountLimits] = {}
    servers: dict[BackendServerId, BackendServer] = {}
    tuning = FleetTuning()
    for value in values:
        match value:
            case ClientAccount():
                accounts[value.account_id] = value
            case ModelService() | PlainService():
                services[value.name] = value
            case Model():
                models[value.name] = value
            case Policy():
                policies[value.policy_id] = value
            case AccountLimits():
                limits[value.account_id] = value
            case BackendServer():
                servers[value.server_id] = value
            case FleetTuning():
                tuning = value
    return ConfigurationSnapshot(
        version=version,
        offset=offset,
        accounts=MappingProxyType(accounts),
        services=MappingProxyType(services),
        models=MappingProxyType(models),
        policies=MappingProxyType(policies),
        limits=MappingProxyType(limits),
        servers=MappingProxyType(servers),
        tuning=tuning,
    )
