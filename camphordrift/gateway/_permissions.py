"""Authenticates callers and decides what their client account may use."""

from dataclasses import dataclass
from typing import Optional

from returns import result

from camphordrift.configuration import (
    ClientAccount,
    ConfigurationSnapshot,
    Model,
    ModelService,
    PlainService,
    Policy,
)
from camphordrift.gateway._headers import TimeoutBounds
from camphordrift.gateway._openai_bodies import GenerationBody
from camphordrift.identifiers import AccountId, BackendServerId, ModelName
from camphordrift.results import Failure, ResultCode


@dataclass(frozen=True)
class GenerationPermission:
    """The service and engines that a client account may use for one generation request."""

    #: The client account that is charged for the request.
    account_id: AccountId

    #: The service whose engines run the model.
    service: ModelService

    #: The policy that permits the request.
    policy: Policy

    #: Engines that the account may use; empty if it may use all engines that serve the model.
    engines: frozenset[BackendServerId]

    @property
    def timeouts(self) -> TimeoutBounds:
        """The timeouts that the service allows."""
        return _timeout_bounds(self.service)


@dataclass(frozen=True)
class ServicePermission:
    """The servers that a client account may use for one call to a plain service."""

    #: The client account that is charged for the call.
    account_id: AccountId

    #: The called service.
    service: PlainService

    #: Backend servers of the service that the account may use, sorted by name.
    servers: tuple[BackendServerId, ...]

    @property
    def timeouts(self) -> TimeoutBounds:
        """The timeouts that the service allows."""
        return _timeout_bounds(self.service)


def authenticate(
    snapshot: ConfigurationSnapshot, key_hash: str
) -> result.Result[ClientAccount, Failure]:
    """Returns the client account whose key has the hash ``key_hash``."""
    account = snapshot.account_by_key_hash(key_hash)
    if account is None:
        detail = "the key belongs to no client account"
        return result.Failure(Failure(ResultCode.UNAUTHENTICATED, detail))
    return result.Success(account)


def permit_generation(
    snapshot: ConfigurationSnapshot, account_id: AccountId, body: GenerationBody
) -> result.Result[GenerationPermission, Failure]:
    """Returns the engines that may run the request ``body``, or why the request is refused."""
    model = snapshot.models.get(ModelName(body.model))
    service = snapshot.model_service_for(ModelName(body.model))
    if model is None or service is None:
        detail = "model: unknown model"
        return result.Failure(Failure(ResultCode.UNKNOWN_MODEL, detail))
    policy = snapshot.policy_for(account_id, service.name)
    if policy is None:
        detail = f"client account {account_id} may not use model {model.name}"
        return result.Failure(Failure(ResultCode.NOT_PERMITTED, detail))
    refusal = _length_refusal(body, model, policy)
    if refusal is not None:
        return result.Failure(refusal)
    if not snapshot.permitted_servers(account_id, service.name):
        detail = f"no engine is configured that client account {account_id} may use"
        return result.Failure(Failure(ResultCode.NO_ENGINE_AVAILABLE, detail))
    return result.Success(GenerationPermission(account_id, service, policy, policy.servers))


def permit_service_call(
    snapshot: ConfigurationSnapshot, account_id: AccountId, path: str
) -> result.Result[ServicePermission, Failure]:
    """Returns the servers that may get a call to ``path``, or why the call is refused."""
    service = snapshot.plain_service_for_path(path)
    if service is None:
        detail = "the path belongs to no service"
        return result.Failure(Failure(ResultCode.UNKNOWN_PATH, detail))
    if snapshot.policy_for(account_id, service.name) is None:
        detail = f"client account {account_id} may not use service {service.name}"
        return result.Failure(Failure(ResultCode.NOT_PERMITTED, detail))
    servers = snapshot.permitted_servers(account_id, service.name)
    names = tuple(server.server_id for server in servers)
    return result.Success(ServicePermission(account_id, service, names))


def _length_refusal(body: GenerationBody, model: Model, policy: Policy) -> Optional[Failure]:
    if body.prompt_tokens + body.max_output_tokens > model.maximum_context_tokens:
        limit = model.maximum_context_tokens
        detail = f"prompt and output exceed the model's context length of {limit} tokens"
        return Failure(ResultCode.PROMPT_NEVER_FITS, detail)
    policy_limit = policy.maximum_prompt_tokens
    if policy_limit is not None and body.prompt_tokens > policy_limit:
        detail = f"the prompt exceeds the client account's limit of {policy_limit} tokens"
        return Failure(ResultCode.PROMPT_NEVER_FITS, detail)
    return None


def _timeout_bounds(service: ModelService | PlainService) -> TimeoutBounds:
    return TimeoutBounds(service.default_timeout_seconds, service.maximum_timeout_seconds)
