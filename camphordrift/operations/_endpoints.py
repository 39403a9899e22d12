"""The endpoints of the operators' port, without who may use them."""

from typing import Optional

from returns.result import Failure as Failed
from returns.result import Success
from starlette.requests import Request
from starlette.responses import Response

from camphordrift.identifiers import RequestId
from camphordrift.operations._providers import OperatorServices
from camphordrift.operations._requests import (
    check_parameters,
    number_parameter,
    read_object,
    switch_parameter,
)
from camphordrift.operations._responses import data_response, failure_response, result_response
from camphordrift.results import Failure, ResultCode
from camphordrift.telemetry import METRICS_CONTENT_TYPE, redact_keys

#: Most records that one answer of the history has.
MAX_HISTORY = 1000

#: Records in an answer of the history that names no limit.
DEFAULT_HISTORY = 20

#: Longest reason for a planned stop, in characters.
MAX_REASON_CHARACTERS = 200


class Endpoints:
    """Answers requests whose operator is known."""

    def __init__(self, services: OperatorServices) -> None:
        self._services = services

    async def health(self, request: Request) -> Response:
        """Tells that the loop runs."""
        return data_response({"status": "alive", "vm": self._services.vm_id})

    async def ready(self, request: Request) -> Response:
        """Tells the balancer whether to send requests here."""
        failure = self._services.readiness()
        if failure is not None:
            return failure_response(failure)
        return data_response({"status": "ready", "vm": self._services.vm_id})

    async def metrics(self, request: Request) -> Response:
        """Returns the metrics in Prometheus' format."""
        return Response(self._services.metrics.render(), media_type=METRICS_CONTENT_TYPE)

    async def dump(self, request: Request) -> Response:
        """Returns the state dump."""
        return Response(self._services.dump.render(), media_type="application/json")

    async def decisions(self, request: Request) -> Response:
        """Returns recent decisions, or those on one request."""
        refusal = check_parameters(request, ["request_id"])
        if refusal is not None:
            return failure_response(refusal)
        request_id = request.query_params.get("request_id")
        record = self._services.decisions
        if request_id is None:
            return data_response({"decisions": record.snapshot()})
        return data_response({"decisions": record.for_request(RequestId(request_id))})

    async def show_configuration(self, request: Request) -> Response:
        """Returns the entries in force, all or of one kind."""
        refusal = check_parameters(request, ["kind"])
        if refusal is not None:
            return failure_response(refusal)
        return result_response(self._services.configuration.show(request.query_params.get("kind")))

    async def configuration_history(self, request: Request) -> Response:
        """Returns the last records."""
        refusal = check_parameters(request, ["limit"])
        if refusal is not None:
            return failure_response(refusal)
        match number_parameter(request, "limit", DEFAULT_HISTORY, highest=MAX_HISTORY):
            case Success(limit):
                return result_response(self._services.configuration.history(limit))
            case Failed(failure):
                return failure_response(failure)
        raise AssertionError("unreachable")

    async def configuration_diff(self, request: Request) -> Response:
        """Returns what a record would change."""
        refusal = check_parameters(request, [])
        if refusal is not None:
            return failure_response(refusal)
        match await read_object(request):
            case Success(record):
                return result_response(self._services.configuration.diff(record))
            case Failed(failure):
                return failure_response(failure)
        raise AssertionError("unreachable")

    async def publish_configuration(self, request: Request) -> Response:
        """Validates a record and publishes it, unless ``dry_run`` is true."""
        refusal = check_parameters(request, ["dry_run"])
        if refusal is not None:
            return failure_response(refusal)
        match switch_parameter(request, "dry_run"), await read_object(request):
            case Success(dry_run), Success(record):
                verdict = await self._services.configuration.publish(record, dry_run)
                return result_response(verdict)
            case (Failed(failure), _) | (_, Failed(failure)):
                return failure_response(failure)
        raise AssertionError("unreachable")

    async def show_drain(self, request: Request) -> Response:
        """Returns how far a planned stop is."""
        return data_response(self._services.drain.progress())

    async def start_drain(self, request: Request) -> Response:
        """Starts a planned stop. The body may be ``{"reason": "..."}``."""
        match await read_object(request):
            case Success(body):
                reason = body.get("reason", "asked for by an operator")
            case Failed(failure):
                return failure_response(failure)
        problem = _reason_problem(reason, set(body) - {"reason"})
        if problem is not None:
            return failure_response(Failure(ResultCode.MALFORMED_REQUEST, problem))
        self._services.drain.start(redact_keys(reason))
        return data_response(self._services.drain.progress(), status=202)


def _reason_problem(reason: object, unknown: set[str]) -> Optional[str]:
    if unknown:
        return f"unknown member {min(unknown)[:40]!r}; known: reason"
    if not isinstance(reason, str) or len(reason) > MAX_REASON_CHARACTERS:
        return f"reason is not a text of at most {MAX_REASON_CHARACTERS} characters"
    return None
