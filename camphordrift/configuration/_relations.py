"""References between entries, and the values that must be unique among all entries."""

from dataclasses import dataclass
from typing import Union

from camphordrift.configuration._records import EntryKey, RecordKind
from camphordrift.configuration._values import (
    AccountLimits,
    BackendServer,
    ClientAccount,
    ConfigurationValue,
    FleetTuning,
    Model,
    ModelService,
    PlainService,
    Policy,
)


@dataclass(frozen=True)
class ServerAddress:
    """An address and port, which only one backend server may use."""

    #: The IP address.
    address: str

    #: The TCP port.
    port: int

    def __str__(self) -> str:
        return f"the address {self.address} port {self.port}"


@dataclass(frozen=True)
class AccountKeyHash:
    """The hash of a caller's key, which only one account may have."""

    #: The key's SHA-256 hash in hexadecimal digits.
    key_hash: str

    def __str__(self) -> str:
        return f"the key hash {self.key_hash[:8]}..."


@dataclass(frozen=True)
class ServicePathPrefix:
    """A path prefix, which only one service may have."""

    #: The path prefix, such as ``/booking``.
    path_prefix: str

    def __str__(self) -> str:
        return f"the path prefix {self.path_prefix}"


@dataclass(frozen=True)
class ServiceAccess:
    """One account's use of one service, which only one policy may define."""

    #: Name of the client account.
    account: str

    #: Name of the service.
    service: str

    def __str__(self) -> str:
        return f"the use of {self.service} by {self.account}"


#: A value that at most one entry of the configuration may have.
UniqueValue = Union[ServerAddress, AccountKeyHash, ServicePathPrefix, ServiceAccess]


def references_of(key: EntryKey, value: ConfigurationValue) -> tuple[EntryKey, ...]:
    """Returns the entries that ``value`` refers to and that have to exist."""
    match value:
        case Model():
            return (EntryKey(RecordKind.SERVICE, value.service),)
        case Policy():
            servers = sorted(value.servers)
            return (
                EntryKey(RecordKind.CLIENT_ACCOUNT, value.account_id),
                EntryKey(RecordKind.SERVICE, value.service),
                *(EntryKey(RecordKind.BACKEND_SERVER, server) for server in servers),
            )
        case AccountLimits():
            return (EntryKey(RecordKind.CLIENT_ACCOUNT, key.name),)
        case BackendServer():
            return (EntryKey(RecordKind.SERVICE, value.service),)
        case ClientAccount() | ModelService() | PlainService() | FleetTuning():
            return ()


def unique_values_of(value: ConfigurationValue) -> tuple[UniqueValue, ...]:
    """Returns the values of an entry that no other entry may have."""
    match value:
        case BackendServer():
            return (ServerAddress(value.address, value.port),)
        case ClientAccount():
            return tuple(AccountKeyHash(key_hash) for key_hash in value.key_hashes)
        case PlainService():
            return (ServicePathPrefix(value.path_prefix),)
        case Policy():
            return (ServiceAccess(value.account_id, value.service),)
        case ModelService() | Model() | AccountLimits() | FleetTuning():
            return ()
