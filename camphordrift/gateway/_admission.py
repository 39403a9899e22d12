"""Steps of request admission that all endpoints share: request ids and authentication."""

from dataclasses import dataclass
from typing import Optional

import uuid6
from returns import result
from returns.pipeline import is_successful
from starlette.requests import Request

from camphordrift.configuration import ClientAccount, ConfigurationSnapshot
from camphordrift.gateway._context import GatewayContext
from camphordrift.gateway._headers import read_bearer_key
from camphordrift.gateway._permissions import authenticate
from camphordrift.identifiers import RequestId
from camphordrift.results import Failure, ResultCode
from camphordrift.security import hash_key

#: Retry-After in seconds that a VM sends while it has no configuration.
NOT_READY_RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True)
class Caller:
    """The authenticated sender of a request, and the configuration that applies to the request."""

    #: The configuration that applies to the request until it ends.
    snapshot: ConfigurationSnapshot

    #: The client account that the request's key belongs to.
    account: ClientAccount


def new_request_id() -> RequestId:
    """Returns a request id that is unique across all VMs."""
    return RequestId(f"req-{uuid6.uuid7()}")


def identify_caller(context: GatewayContext, request: Request) -> result.Result[Caller, Failure]:
    """Returns the authenticated caller, or the reason to refuse the request."""
    refusal = context.refusal()
    if refusal is not None:
        return result.Failure(refusal)
    snapshot: Optional[ConfigurationSnapshot] = context.snapshot()
    if snapshot is None:
        detail = "this VM has not received the configuration yet"
        failure = Failure(ResultCode.VM_NOT_READY, detail, NOT_READY_RETRY_AFTER_SECONDS)
        return result.Failure(failure)
    key = read_bearer_key(request.headers)
    if not is_successful(key):
        return result.Failure(key.failure())
    key_hash = hash_key(key.unwrap())
    return authenticate(snapshot, key_hash).map(lambda account: Caller(snapshot, account))
