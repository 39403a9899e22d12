"""The configuration at one point of the log, with the lookups that requests need."""

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
    """Everything that is in force, as of one offset of the log. It never changes.

    Build one with :func:`snapshot_of`. A process replaces its snapshot as a whole, so that one
    request sees one configuration from its start to its end.
    """

    #: Number of accepted records so far; it only grows.
    version: int

    #: The offset of the log up to which records have been applied (the next one to read).
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

    #: Numbers for the whole fleet.
    tuning: FleetTuning

    def account_by_key_hash(self, key_hash: str) -> Optional[ClientAccount]:
        """Returns the enabled account that has the key; ``None`` if there is none."""
        return self._accounts_by_key_hash.get(key_hash)

    def service_named(self, name: ServiceName) -> Optional[Service]:
        """Returns the service; ``None`` if there is none of that name."""
        return self.services.get(name)

    def plain_service_for_path(self, path: str) -> Optional[PlainService]:
        """Returns the plain service with the longest prefix of ``path``."""
        for service in self._plain_services_longest_prefix_first:
            if is_path_below(path, service.path_prefix):
                return service
        return None

    def model_service_for(self, model: ModelName) -> Optional[ModelService]:
        """Returns the service whose engines serve the model."""
        known = self.models.get(model)
        if known is None:
            return None
        service = self.services.get(known.service)
        return service if isinstance(service, ModelService) else None

    def policy_for(self, account_id: AccountId, service: ServiceName) -> Optional[Policy]:
        """Returns the policy that lets the account use the service; ``None`` forbids it."""
        return self._policies_by_use.get((account_id, service))

    def limits_of(self, account_id: AccountId) -> Optional[AccountLimits]:
        """Returns the account's limits; ``None`` if none are set."""
        return self.limits.get(account_id)

    def server_named(self, server_id: BackendServerId) -> Optional[BackendServer]:
        """Returns the backend server; ``None`` if there is none of that name."""
        return self.servers.get(server_id)

    def servers_of(self, service: ServiceName) -> tuple[BackendServer, ...]:
        """Returns the service's backend servers in the order of their names."""
        return self._servers_by_service.get(service, ())

    def engines(self) -> tuple[BackendServer, ...]:
        """Returns all engines in the order of their names."""
        ordered = sorted(self.servers.values(), key=lambda server: server.server_id)
        return tuple(server for server in ordered if server.kind is BackendServerKind.ENGINE)

    def permitted_servers(
        self, account_id: AccountId, service: ServiceName
    ) -> tuple[BackendServer, ...]:
        """Returns the servers of the service that the account may reach, by name."""
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
    """Builds a snapshot from ``values``, in any order; the last of equal names counts."""
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
