"""What every endpoint does with a request before it runs: who asks, body, limits."""

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

#: After this long a caller may ask again at a VM that has no configuration yet.
NOT_READY_RETRY_AFTER_SECONDS = 2.0


@dataclass(frozen=True)
class Caller:
    """Who sends a request, and under which configuration it is handled."""

    #: The configuration that holds for the request from its start to its end.
    snapshot: ConfigurationSnapshot

    #: The account whose key the request carries.
    account: ClientAccount


def new_request_id() -> RequestId:
    """Returns an id that no other request on any VM has."""
    return RequestId(f"req-{uuid6.uuid7()}")


def identify_caller(context: GatewayContext, request: Request) -> result.Result[Caller, Failure]:
    """Returns who asks, or why the VM does not answer."""
    refusal = context.refusal()
    if refusal is not None:
        return result.Failure(refusal)
    snapshot: Optional[ConfigurationSnapshot] = context.snapshot()
    if snapshot is None:
        detail = "this VM does not know the configuration yet"
        failure = Failure(ResultCode.VM_NOT_READY, detail, NOT_READY_RETRY_AFTER_SECONDS)
        return result.Failure(failure)
    key = read_bearer_key(request.headers)
    if not is_successful(key):
        return result.Failure(key.failure())
    key_hash = hash_key(key.unwrap())
    return authenticate(snapshot, key_hash).map(lambda account: Caller(snapshot, account))
