"""Pydantic models that validate the values of configuration records.

The name of an entry is its key and is not repeated in the value. Each field's description states
the expected value and becomes part of the error message when validation fails.
"""

from typing import Literal, Optional, Union

from pydantic import Field, model_validator

from camphordrift.configuration._records import RecordKind
from camphordrift.configuration._server_models import BackendServerModel, FleetTuningModel
from camphordrift.configuration._value_types import (
    EntryName,
    KeyHash,
    PathPrefix,
    Seconds,
    Tokens,
    ValueModel,
    Weight,
)
from camphordrift.configuration._values import (
    AccountLimits,
    ClientAccount,
    ConfigurationValue,
    Model,
    ModelService,
    PlainService,
    Policy,
    RepeatableCalls,
)
from camphordrift.identifiers import (
    AccountId,
    BackendServerId,
    ModelName,
    ServiceName,
)


class ClientAccountModel(ValueModel):
    """Validates the value of a client account."""

    key_hashes: list[KeyHash] = Field(
        description="a list of SHA-256 hashes, each of 64 lower-case hexadecimal digits"
    )
    enabled: bool = Field(True, description="true or false")

    def to_value(self, name: str) -> ClientAccount:
        """Converts this model to a ``ClientAccount`` with the id ``name``."""
        return ClientAccount(AccountId(name), tuple(self.key_hashes), self.enabled)


class _TimeoutsModel(ValueModel):
    default_timeout_seconds: Seconds = Field(description="a number of seconds above 0")
    maximum_timeout_seconds: Seconds = Field(description="a number of seconds above 0")

    @model_validator(mode="after")
    def _default_within_maximum(self) -> "_TimeoutsModel":
        if self.default_timeout_seconds > self.maximum_timeout_seconds:
            raise ValueError("default_timeout_seconds must not exceed maximum_timeout_seconds")
        return self


class ModelServiceModel(_TimeoutsModel):
    """Validates the value of a service whose backend servers are engines."""

    type: Literal["model"] = Field(description="'model' or 'plain'")

    def to_value(self, name: str) -> ModelService:
        """Converts this model to a ``ModelService`` with the name ``name``."""
        return ModelService(
            ServiceName(name), self.default_timeout_seconds, self.maximum_timeout_seconds
        )


class RepeatableCallsModel(ValueModel):
    """Validates one item of ``repeatable_calls``: idempotent calls, which may be retried."""

    method: Literal["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]
    path_prefix: PathPrefix = "/"


class PlainServiceModel(_TimeoutsModel):
    """Validates the value of a service of plain HTTP calls."""

    type: Literal["plain"] = Field(description="'model' or 'plain'")
    path_prefix: PathPrefix = Field(
        description="a path that begins with '/' and does not end with it, such as '/booking'"
    )
    repeatable_calls: list[RepeatableCallsModel] = Field(
        default=[],
        description="a list of maps, each with method (such as 'GET') and path_prefix",
    )

    def to_value(self, name: str) -> PlainService:
        """Converts this model to a ``PlainService`` with the name ``name``."""
        calls = tuple(
            RepeatableCalls(call.method, call.path_prefix) for call in self.repeatable_calls
        )
        return PlainService(
            ServiceName(name),
            self.path_prefix,
            calls,
            self.default_timeout_seconds,
            self.maximum_timeout_seconds,
        )


class ModelModel(ValueModel):
    """Validates the value of a model that engines serve."""

    version: EntryName = Field(description="the version as text, such as '3'")
    service: EntryName = Field(description="the name of a service of type 'model'")
    maximum_context_tokens: Tokens = Field(description="a whole number of tokens above 0")
    adapters: list[EntryName] = Field(
        default=[],
        description="a list of adapters as 'name@version'",
        json_schema_extra={"since_schema_version": 2},
    )

    def to_value(self, name: str) -> Model:
        """Converts this model to a ``Model`` with the name ``name``."""
        return Model(
            ModelName(name),
            self.version,
            ServiceName(self.service),
            self.maximum_context_tokens,
            tuple(self.adapters),
        )


class PolicyModel(ValueModel):
    """Validates the value of a policy, which permits an account to use a service."""

    account: EntryName = Field(description="the name of a client account")
    service: EntryName = Field(description="the name of a service")
    servers: list[EntryName] = Field(
        default=[], description="a list of backend servers of the service; empty for all"
    )
    maximum_prompt_tokens: Optional[Tokens] = Field(
        None, description="a whole number of tokens above 0"
    )

    def to_value(self, name: str) -> Policy:
        """Converts this model to a ``Policy`` with the id ``name``."""
        return Policy(
            name,
            AccountId(self.account),
            ServiceName(self.service),
            frozenset(BackendServerId(server) for server in self.servers),
            self.maximum_prompt_tokens,
        )


class AccountLimitsModel(ValueModel):
    """Validates the value of a client account's limits."""

    requests_per_second: float = Field(gt=0, le=1e9, description="a number above 0")
    tokens_per_second: float = Field(gt=0, le=1e12, description="a number above 0")
    concurrency: int = Field(gt=0, le=10**9, description="a whole number above 0")
    long_prompt_share: float = Field(1.0, ge=0, le=1, description="a number from 0 to 1")
    weight: Weight = Field(1.0, description="a number above 0, where 1 is the default")

    def to_value(self, name: str) -> AccountLimits:
        """Converts this model to the ``AccountLimits`` of the account ``name``."""
        return AccountLimits(
            AccountId(name),
            self.requests_per_second,
            self.tokens_per_second,
            self.concurrency,
            self.long_prompt_share,
            self.weight,
        )


#: The Pydantic model of an entry's value; each kind of entry has its own.
AnyValueModel = Union[
    ClientAccountModel,
    ModelServiceModel,
    PlainServiceModel,
    ModelModel,
    PolicyModel,
    AccountLimitsModel,
    BackendServerModel,
    FleetTuningModel,
]

_MODELS: dict[RecordKind, type[AnyValueModel]] = {
    RecordKind.CLIENT_ACCOUNT: ClientAccountModel,
    RecordKind.MODEL: ModelModel,
    RecordKind.POLICY: PolicyModel,
    RecordKind.ACCOUNT_LIMITS: AccountLimitsModel,
    RecordKind.BACKEND_SERVER: BackendServerModel,
    RecordKind.FLEET_TUNING: FleetTuningModel,
}


def model_for(kind: RecordKind, service_type: object = None) -> type[AnyValueModel]:
    """Returns the model for a kind of entry; for services it depends on their ``type``."""
    if kind is RecordKind.SERVICE:
        return PlainServiceModel if service_type == "plain" else ModelServiceModel
    return _MODELS[kind]


def value_models() -> dict[str, type[AnyValueModel]]:
    """Returns all models by their kind of entry, for the reference documentation."""
    named: dict[str, type[AnyValueModel]] = {kind.value: model for kind, model in _MODELS.items()}
    named["service (model)"] = ModelServiceModel
    named["service (plain)"] = PlainServiceModel
    return dict(sorted(named.items()))


def to_configuration_value(model: AnyValueModel, name: str) -> ConfigurationValue:
    """Converts a validated model to the value that other packages use; ``name`` is its entry."""
    return model.to_value(name)
