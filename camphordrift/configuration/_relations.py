"""Which entries refer to which, and what no two entries may share."""

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
    """An address and port, which only one backend server may have."""

    #: The IP number and the port.
    address: str
    port: int

    def __str__(self) -> str:
        return f"the address {self.address} port {self.port}"


@dataclass(frozen=True)
class KeyOfAccount:
    """A caller's key, which only one account may have."""

    #: The key's hash.
    key_hash: str

    def __str__(self) -> str:
        return f"the key hash {self.key_hash[:8]}..."


@dataclass(frozen=True)
class PathOfService:
    """A path prefix, which only one service may have."""

    #: The prefix.
    path_prefix: str

    def __str__(self) -> str:
        return f"the path prefix {self.path_prefix}"


@dataclass(frozen=True)
class UseOfService:
    """One account's use of one service, which only one policy may govern."""

    #: The account and the service.
    account: str
    service: str

    def __str__(self) -> str:
        return f"the use of {self.service} by {self.account}"


#: What no two entries may share.
UniqueClaim = Union[ServerAddress, KeyOfAccount, PathOfService, UseOfService]


def references_of(key: EntryKey, value: ConfigurationValue) -> tuple[EntryKey, ...]:
    """Returns the entries that must exist for ``value`` to make sense."""
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


def claims_of(value: ConfigurationValue) -> tuple[UniqueClaim, ...]:
    """Returns what the entry shares with no other."""
    match value:
        case BackendServer():
            return (ServerAddress(value.address, value.port),)
        case ClientAccount():
            return tuple(KeyOfAccount(key_hash) for key_hash in value.key_hashes)
        case PlainService():
            return (PathOfService(value.path_prefix),)
        case Policy():
            return (UseOfService(value.account_id, value.service),)
        case ModelService() | Model() | AccountLimits() | FleetTuning():
            return ()
