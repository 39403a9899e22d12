"""Configuration records as operators publish them, before they are accepted or rejected."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NewType, Optional, Union

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

#: The highest version of the record schema that this program reads and writes.
HIGHEST_SCHEMA_VERSION = 2

#: The key of the only entry of kind ``fleet_tuning``.
FLEET_TUNING_KEY = "fleet"

#: A value as an operator writes it; contains only strings, numbers, Booleans, lists and maps.
RawValue = Mapping[str, object]

#: The version that stands for an entry that has never been published.
NEVER_PUBLISHED = 0

#: Free text that names the person or tool that published a record.
AuthorName = NewType("AuthorName", str)


class RecordKind(Enum):
    """The kind of entry that a change applies to."""

    CLIENT_ACCOUNT = "client_account"
    SERVICE = "service"
    MODEL = "model"
    POLICY = "policy"
    ACCOUNT_LIMITS = "account_limits"
    BACKEND_SERVER = "backend_server"
    FLEET_TUNING = "fleet_tuning"


@dataclass(frozen=True)
class EntryKey:
    """Identifies one entry of the configuration."""

    #: The entry's kind.
    kind: RecordKind

    #: The entry's name, unique within its kind.
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}"


@dataclass(frozen=True)
class PublishedValue:
    """A validated value, both as the operator wrote it and as other packages use it."""

    #: The value as the operator wrote it. It is kept unchanged, so that it does not contain the
    #: defaults of the program version that parsed it.
    raw: RawValue

    #: The value as other packages use it, with defaults filled in.
    parsed: ConfigurationValue


@dataclass(frozen=True)
class Change:
    """The new value of one entry, or its removal."""

    #: Kind and name of the entry.
    key: EntryKey

    #: The entry's version that the change is based on; 0 if it has never been published.
    replaces: int

    #: The new value; ``None`` removes the entry.
    value: Optional[PublishedValue]


@dataclass(frozen=True)
class ConfigurationRecord:
    """Changes that are accepted or rejected atomically."""

    #: The schema version in which the record is written.
    schema_version: int

    #: Name of the person or tool that publishes the record.
    author: AuthorName

    #: The reason for the changes, shown in the history.
    note: str

    #: At least one change, and at most one for each entry.
    changes: tuple[Change, ...]


@dataclass(frozen=True)
class UnreadableSchema:
    """A record whose schema version is higher than this program can read."""

    #: The record's schema version.
    schema_version: int


def entry_key_of(value: ConfigurationValue) -> EntryKey:
    """Returns the key under which a value is published."""
    match value:
        case ClientAccount():
            return EntryKey(RecordKind.CLIENT_ACCOUNT, value.account_id)
        case ModelService() | PlainService():
            return EntryKey(RecordKind.SERVICE, value.name)
        case Model():
            return EntryKey(RecordKind.MODEL, value.name)
        case Policy():
            return EntryKey(RecordKind.POLICY, value.policy_id)
        case AccountLimits():
            return EntryKey(RecordKind.ACCOUNT_LIMITS, value.account_id)
        case BackendServer():
            return EntryKey(RecordKind.BACKEND_SERVER, value.server_id)
        case FleetTuning():
            return EntryKey(RecordKind.FLEET_TUNING, FLEET_TUNING_KEY)


#: The result of validating a record.
DecodedRecord = Union[ConfigurationRecord, UnreadableSchema]
