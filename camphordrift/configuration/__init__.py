"""The fleet's configuration: records that operators publish, and the state they result in.

The configuration consists of entries, such as client accounts, services and backend servers. A
record changes one or more entries. Operators append records to a stream of the platform's log;
every VM applies them in offset order and accepts or rejects each one by the same rules, so all VMs
reach the same state. A checkpoint is a complete state that is appended to the same stream.
"""

from camphordrift.configuration._decisions import (
    Accepted,
    Conflict,
    FieldDifference,
    RecordDecision,
    Rejected,
    apply_record,
    decide_record,
)
from camphordrift.configuration._encoding import (
    Checkpoint,
    DecodedPayload,
    UnreadablePayload,
    decode_payload,
    encode_checkpoint,
    encode_record,
)
from camphordrift.configuration._history import (
    EntryDifference,
    FieldChange,
    HistoricChange,
    History,
    HistoryEntry,
    changed_fields,
)
from camphordrift.configuration._keeper import ConfigurationKeeper
from camphordrift.configuration._keeper_settings import CONFIGURATION_STREAM, KeeperSettings
from camphordrift.configuration._keeper_status import KeeperStatus
from camphordrift.configuration._publishing import (
    NotPublished,
    Published,
    PublishResult,
    prepare_record,
    publishable_schema_version,
    record_differences,
)
from camphordrift.configuration._readiness import Readiness
from camphordrift.configuration._records import (
    FLEET_TUNING_KEY,
    HIGHEST_SCHEMA_VERSION,
    NEVER_PUBLISHED,
    AuthorName,
    Change,
    ConfigurationRecord,
    EntryKey,
    PublishedValue,
    RawValue,
    RecordKind,
    UnreadableSchema,
    entry_key_of,
)
from camphordrift.configuration._replica import (
    Block,
    BlockReason,
    ConfigurationReplica,
    PeerStateOutcome,
    RejectedRecord,
)
from camphordrift.configuration._snapshot import ConfigurationSnapshot, snapshot_of
from camphordrift.configuration._state import ConfigurationState, Entry
from camphordrift.configuration._validation import (
    record_to_dict,
    validate_record,
    validate_value,
)
from camphordrift.configuration._value_models import value_models
from camphordrift.configuration._values import (
    ORDERS_UNSAFE_WHEN_LATE,
    AccountLimits,
    BackendServer,
    BackendServerKind,
    ClientAccount,
    ConfigurationValue,
    FleetTuning,
    Model,
    ModelService,
    OrderGiver,
    PlainService,
    Policy,
    RepeatableCalls,
    Service,
    is_path_below,
)

__all__ = [
    "CONFIGURATION_STREAM",
    "FLEET_TUNING_KEY",
    "HIGHEST_SCHEMA_VERSION",
    "NEVER_PUBLISHED",
    "ORDERS_UNSAFE_WHEN_LATE",
    "Accepted",
    "AccountLimits",
    "AuthorName",
    "BackendServer",
    "BackendServerKind",
    "Block",
    "BlockReason",
    "Change",
    "Checkpoint",
    "ClientAccount",
    "ConfigurationKeeper",
    "ConfigurationRecord",
    "ConfigurationReplica",
    "ConfigurationSnapshot",
    "ConfigurationState",
    "ConfigurationValue",
    "Conflict",
    "DecodedPayload",
    "Entry",
    "EntryDifference",
    "EntryKey",
    "FieldChange",
    "FieldDifference",
    "FleetTuning",
    "HistoricChange",
    "History",
    "HistoryEntry",
    "KeeperSettings",
    "KeeperStatus",
    "Model",
    "ModelService",
    "NotPublished",
    "OrderGiver",
    "PeerStateOutcome",
    "PlainService",
    "Policy",
    "PublishResult",
    "Published",
    "PublishedValue",
    "RawValue",
    "Readiness",
    "RecordKind",
    "Rejected",
    "RejectedRecord",
    "RepeatableCalls",
    "Service",
    "UnreadablePayload",
    "UnreadableSchema",
    "RecordDecision",
    "changed_fields",
    "decide_record",
    "decode_payload",
    "record_differences",
    "encode_checkpoint",
    "encode_record",
    "entry_key_of",
    "apply_record",
    "is_path_below",
    "prepare_record",
    "publishable_schema_version",
    "record_to_dict",
    "snapshot_of",
    "validate_record",
    "validate_value",
    "value_models",
]
