"""Models that validate the values of configuration records.

The name of an entry is its key and not repeated in the value. Every field's description says what
is expected; it becomes part of the message when a value does not fit.
"""

import ipaddress
import re
from typing import Annotated, Literal, Optional, Union

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

from camphordrift.backend_servers import OrderKind
from camphordrift.configuration._records import RecordKind
from camphordrift.configuration._values import (
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
)
from camphordrift.identifiers import (
    AccountId,
    BackendServerId,
    ModelName,
    ServiceName,
    ZoneName,
)

_SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
_MAXIMUM_TIMEOUT_SECONDS = 86_400.0
_MAXIMUM_TOKENS = 10**12


def _ip_number(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _path_prefix(value: str) -> str:
    if not value.startswith("/") or (value != "/" and value.endswith("/")):
        raise ValueError("not a path prefix")
    return value


def _key_hash(value: str) -> str:
    if not _SHA256_PATTERN.fullmatch(value):
        raise ValueError("not a hash")
    return value


_Name = Annotated[str, Field(min_length=1, max_length=200)]
_IpNumber = Annotated[str, AfterValidator(_ip_number)]
_PathPrefix = Annotated[str, AfterValidator(_path_prefix)]
_KeyHash = Annotated[str, AfterValidator(_key_hash)]
_Seconds = Annotated[float, Field(gt=0, le=_MAXIMUM_TIMEOUT_SECONDS)]
_Tokens = Annotated[int, Field(gt=0, le=_MAXIMUM_TOKENS)]
_Weight = Annotated[float, Field(gt=0, le=1_000)]


class ValueModel(BaseModel):
    """Base of the models: nothing is converted, and unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class ClientAccountModel(ValueModel):
    """A client account."""

    key_hashes: list[_KeyHash] = Field(
        description="a list of SHA-256 hashes, each of 64 lower-case hexadecimal digits"
    )
    enabled: bool = Field(True, description="true or false")

    def to_value(self, name: str) -> ClientAccount:
        """Returns the value that the program uses."""
        return ClientAccount(AccountId(name), tuple(self.key_hashes), self.enabled)


class _TimeoutsModel(ValueModel):
    default_timeout_seconds: _Seconds = Field(description="a number of seconds above 0")
    maximum_timeout_seconds: _Seconds = Field(description="a number of seconds above 0")

    @model_validator(mode="after")
    def _default_within_maximum(self) -> "_TimeoutsModel":
        if self.default_timeout_seconds > self.maximum_timeout_seconds:
            raise ValueError("default_timeout_seconds must not exceed maximum_timeout_seconds")
        return self


class ModelServiceModel(_TimeoutsModel):
    """A service of engines."""

    type: Literal["model"] = Field(description="'model' or 'plain'")

    def to_value(self, name: str) -> ModelService:
        """Returns the value that the program uses."""
        return ModelService(
            ServiceName(name), self.default_timeout_seconds, self.maximum_timeout_seconds
        )


class RepeatableCallsModel(ValueModel):
    """Calls that may be repeated."""

    method: Literal["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]
    path_prefix: _PathPrefix = "/"


class PlainServiceModel(_TimeoutsModel):
    """A service of plain HTTP calls."""

    type: Literal["plain"] = Field(description="'model' or 'plain'")
    path_prefix: _PathPrefix = Field(
        description="a path that begins with '/' and does not end with it, such as '/booking'"
    )
    repeatable_calls: list[RepeatableCallsModel] = Field(
        default=[],
        description="a list of maps, each with method (such as 'GET') and path_prefix",
    )

    def to_value(self, name: str) -> PlainService:
        """Returns the value that the program uses."""
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
    """A model that engines serve."""

    version: _Name = Field(description="the version as text, such as '3'")
    service: _Name = Field(description="the name of a service of type 'model'")
    maximum_context_tokens: _Tokens = Field(description="a whole number of tokens above 0")
    adapters: list[_Name] = Field(
        default=[],
        description="a list of adapters as 'name@version'",
        json_schema_extra={"since_schema_version": 2},
    )

    def to_value(self, name: str) -> Model:
        """Returns the value that the program uses."""
        return Model(
            ModelName(name),
            self.version,
            ServiceName(self.service),
            self.maximum_context_tokens,
            tuple(self.adapters),
        )


class PolicyModel(ValueModel):
    """Permission for an account to use a service."""

    account: _Name = Field(description="the name of a client account")
    service: _Name = Field(description="the name of a service")
    servers: list[_Name] = Field(
        default=[], description="a list of backend servers of the service; empty for all"
    )
    maximum_prompt_tokens: Optional[_Tokens] = Field(
        None, description="a whole number of tokens above 0"
    )
    priority_weight: _Weight = Field(1.0, description="a number above 0, where 1 is ordinary")

    def to_value(self, name: str) -> Policy:
        """Returns the value that the program uses."""
        return Policy(
            name,
            AccountId(self.account),
            ServiceName(self.service),
            frozenset(BackendServerId(server) for server in self.servers),
            self.maximum_prompt_tokens,
            self.priority_weight,
        )


class AccountLimitsModel(ValueModel):
    """What an account may use."""

    requests_per_second: float = Field(gt=0, le=1e9, description="a number above 0")
    tokens_per_second: float = Field(gt=0, le=1e12, description="a number above 0")
    concurrency: int = Field(gt=0, le=10**9, description="a whole number above 0")
    long_prompt_share: float = Field(1.0, ge=0, le=1, description="a number from 0 to 1")
    weight: _Weight = Field(1.0, description="a number above 0, where 1 is ordinary")

    def to_value(self, name: str) -> AccountLimits:
        """Returns the value that the program uses."""
        return AccountLimits(
            AccountId(name),
            self.requests_per_second,
            self.tokens_per_second,
            self.concurrency,
            self.long_prompt_share,
            self.weight,
        )


class BackendServerModel(ValueModel):
    """An engine or a server of a plain service."""

    service: _Name = Field(description="the name of a service")
    kind: Literal["engine", "plain"] = Field(description="'engine' or 'plain'")
    address: _IpNumber = Field(
        description="an IP number such as 10.1.2.3 or fd00::3, not a host name"
    )
    port: int = Field(ge=1, le=65_535, description="a TCP port from 1 to 65535")
    zone: _Name = Field(description="the name of an availability zone")
    memory_tokens: int = Field(
        0, ge=0, le=_MAXIMUM_TOKENS, description="a whole number of tokens, 0 or more"
    )
    checks_fencing: bool = Field(False, description="true or false")
    order_givers: list[Literal["fleet", "operator"]] = Field(
        default=[], description="a list out of 'fleet' and 'operator'"
    )
    allowed_orders: list[Literal["load_model", "unload_model", "load_adapter", "change_role"]] = (
        Field(
            default=[],
            description="a list out of 'load_model', 'unload_model', 'load_adapter', 'change_role'",
        )
    )

    @model_validator(mode="after")
    def _memory_fits_kind(self) -> "BackendServerModel":
        if self.kind == "engine" and self.memory_tokens == 0:
            raise ValueError("memory_tokens of an engine must be above 0")
        return self

    def to_value(self, name: str) -> BackendServer:
        """Returns the value that the program uses."""
        return BackendServer(
            server_id=BackendServerId(name),
            service=ServiceName(self.service),
            kind=BackendServerKind(self.kind),
            address=self.address,
            port=self.port,
            zone=ZoneName(self.zone),
            memory_tokens=self.memory_tokens,
            checks_fencing=self.checks_fencing,
            order_givers=frozenset(OrderGiver(giver) for giver in self.order_givers),
            allowed_orders=frozenset(OrderKind(order) for order in self.allowed_orders),
        )


class FleetTuningModel(ValueModel):
    """Numbers for the whole fleet."""

    slowdown_weight: float = Field(
        0.5, ge=0, le=1, description="a number from 0 (time to first token) to 1 (slowdown)"
    )
    short_prompt_tokens: _Tokens = Field(4_000, description="a whole number of tokens above 0")
    long_prompt_tokens: _Tokens = Field(100_000, description="a whole number of tokens above 0")
    first_byte_timeout_seconds: _Seconds = Field(30.0, description="a number of seconds above 0")
    idle_timeout_seconds: _Seconds = Field(5.0, description="a number of seconds above 0")
    peer_idle_timeout_seconds: _Seconds = Field(2.0, description="a number of seconds above 0")

    @model_validator(mode="after")
    def _short_below_long(self) -> "FleetTuningModel":
        if self.short_prompt_tokens > self.long_prompt_tokens:
            raise ValueError("short_prompt_tokens must not exceed long_prompt_tokens")
        return self

    def to_value(self, name: str) -> FleetTuning:
        """Returns the value that the program uses."""
        return FleetTuning(
            self.slowdown_weight,
            self.short_prompt_tokens,
            self.long_prompt_tokens,
            self.first_byte_timeout_seconds,
            self.idle_timeout_seconds,
            self.peer_idle_timeout_seconds,
        )


#: Any of the models.
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
    """Returns the model for a kind; services are told apart by their ``type``."""
    if kind is RecordKind.SERVICE:
        return PlainServiceModel if service_type == "plain" else ModelServiceModel
    return _MODELS[kind]


def value_models() -> dict[str, type[AnyValueModel]]:
    """Returns all models by the name of their kind, for the reference page."""
    named: dict[str, type[AnyValueModel]] = {kind.value: model for kind, model in _MODELS.items()}
    named["service (model)"] = ModelServiceModel
    named["service (plain)"] = PlainServiceModel
    return dict(sorted(named.items()))


def to_parsed(model: AnyValueModel, name: str) -> ConfigurationValue:
    """Returns the value that the program uses, under the entry's name."""
    return model.to_value(name)
