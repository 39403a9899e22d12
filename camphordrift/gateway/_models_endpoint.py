"""The response of ``/v1/models``, which lists the models that a caller may use."""

import json

from returns import result
from returns.pipeline import is_successful
from starlette.responses import Response

from camphordrift.gateway._admission import Caller
from camphordrift.gateway._errors import error_response
from camphordrift.identifiers import RequestId
from camphordrift.results import Failure


def models_response(caller: result.Result[Caller, Failure], request_id: RequestId) -> Response:
    """Returns the response that lists the models of all services the caller's account may use."""
    if not is_successful(caller):
        return error_response(caller.failure(), request_id)
    names = _permitted_models(caller.unwrap())
    models = [{"id": name, "object": "model", "owned_by": "camphordrift"} for name in names]
    body = json.dumps({"object": "list", "data": models})
    return Response(body, media_type="application/json")


def _permitted_models(caller: Caller) -> list[str]:
    snapshot = caller.snapshot
    account_id = caller.account.account_id
    return sorted(
        model.name
        for model in snapshot.models.values()
        if snapshot.policy_for(account_id, model.service) is not None
    )
