"""Configuration records: what an operator publishes, before it is decided upon."""

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

#: The highest version of the records' schema that this program reads and writes.
HIGHEST_SCHEMA_VERSION = 2

#: The key of the one record of numbers for the whole fleet.
FLEET_TUNING_KEY = "fleet"

#: A value as an operator writes it: only strings, numbers, truth values, lists and maps.
RawValue = Mapping[str, object]

#: Version of a key that has never been published.
NEVER_PUBLISHED = 0

#: Text that names the author of a record.
AuthorName = NewType("AuthorName", str)


class RecordKind(Enum):
    """What a change is about."""

    CLIENT_ACCOUNT = "client_account"
    SERVICE = "service"
    MODEL = "model"
    POLICY = "policy"
    ACCOUNT_LIMITS = "account_limits"
    BACKEND_SERVER = "backend_server"
    FLEET_TUNING = "fleet_tuning"


@dataclass(frozen=True)
class EntryKey:
    """Names one entry of the configuration."""

    #: What it is about.
    kind: RecordKind

    #: Its name among the entries of the kind.
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}"


@dataclass(frozen=True)
class PublishedValue:
    """A validated value, as written and as understood."""

    #: As the operator wrote it; kept unchanged, so that no reader's defaults mix in.
    raw: RawValue

    #: As the program uses it.
    parsed: ConfigurationValue


@dataclass(frozen=True)
class Change:
    """One entry's new value, or its removal."""

    #: The entry.
    key: EntryKey

    #: The version of the entry that the author has seen; 0 if it has never been published.
    replaces: int

    #: The new value; ``None`` removes the entry.
    value: Optional[PublishedValue]


@dataclass(frozen=True)
class ConfigurationRecord:
    """Changes that are accepted or rejected together."""

    #: The version of the schema in which it is written.
    schema_version: int

    #: Who wrote it.
    author: AuthorName

    #: Why, for people who read the history.
    note: str

    #: The changes; at least one, and no two of one entry.
    changes: tuple[Change, ...]


@dataclass(frozen=True)
class UnreadableSchema:
    """A record or checkpoint written in a schema that this program does not know."""

    #: The schema's version.
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


#: What the bytes of a record can turn out to be.
DecodedRecord = Union[ConfigurationRecord, UnreadableSchema]
