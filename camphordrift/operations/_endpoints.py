"""Handlers of the requests on the operators' port."""

from typing import Optional

from returns.result import Failure as Failed
from returns.result import Success
from starlette.requests import Request
from starlette.responses import Response

from camphordrift.identifiers import RequestId
from camphordrift.operations._providers import OperatorServices
from camphordrift.operations._requests import (
    boolean_parameter,
    check_parameters,
    integer_parameter,
    read_json_object,
)
from camphordrift.operations._responses import data_response, failure_response, result_response
from camphordrift.results import Failure, ResultCode
from camphordrift.telemetry import METRICS_CONTENT_TYPE, redact_keys

#: Maximum value of the ``limit`` parameter of the configuration history.
MAX_HISTORY_RECORDS = 1000

#: Number of records in the configuration history if there is no ``limit`` parameter.
DEFAULT_HISTORY_RECORDS = 20

#: Maximum number of characters of the reason for a graceful shutdown.
MAX_REASON_CHARACTERS = 200


class Endpoints:
    """Handles requests that :func:`operators_app` has authenticated."""

    def __init__(self, services: OperatorServices) -> None:
        self._services = services

    async def health(self, request: Request) -> Response:
        """Liveness probe: succeeds as long as the event loop runs."""
        return data_response({"status": "alive", "vm": self._services.vm_id})

    async def ready(self, request: Request) -> Response:
        """Readiness probe: fails while the load balancer should send no requests here."""
        failure = self._services.readiness()
        if failure is not None:
            return failure_response(failure)
        return data_response({"status": "ready", "vm": self._services.vm_id})

    async def metrics(self, request: Request) -> Response:
        """Returns the metrics in the Prometheus text format."""
        return Response(self._services.metrics.render(), media_type=METRICS_CONTENT_TYPE)

    async def dump(self, request: Request) -> Response:
        """Returns the state dump as JSON."""
        return Response(self._services.dump.render(), media_type="application/json")

    async def decisions(self, request: Request) -> Response:
        """Returns recent decisions, or those about one request."""
        refusal = check_parameters(request, ["request_id"])
        if refusal is not None:
            return failure_response(refusal)
        request_id = request.query_params.get("request_id")
        record = self._services.decisions
        if request_id is None:
            return data_response({"decisions": record.snapshot()})
        return data_response({"decisions": record.for_request(RequestId(request_id))})

    async def show_configuration(self, request: Request) -> Response:
        """Returns the configuration entries in force, optionally of one ``kind`` only."""
        refusal = check_parameters(request, ["kind"])
        if refusal is not None:
            return failure_response(refusal)
        return result_response(self._services.configuration.show(request.query_params.get("kind")))

    async def configuration_history(self, request: Request) -> Response:
        """Returns the newest accepted records, at most ``limit`` of them."""
        refusal = check_parameters(request, ["limit"])
        if refusal is not None:
            return failure_response(refusal)
        match integer_parameter(
            request, "limit", DEFAULT_HISTORY_RECORDS, highest=MAX_HISTORY_RECORDS
        ):
            case Success(limit):
                return result_response(self._services.configuration.history(limit))
            case Failed(failure):
                return failure_response(failure)
        raise AssertionError("unreachable")

    async def configuration_diff(self, request: Request) -> Response:
        """Returns the changes that the record in the body would make, without publishing it."""
        refusal = check_parameters(request, [])
        if refusal is not None:
            return failure_response(refusal)
        match await read_json_object(request):
            case Success(record):
                return result_response(self._services.configuration.diff(record))
            case Failed(failure):
                return failure_response(failure)
        raise AssertionError("unreachable")

    async def publish_configuration(self, request: Request) -> Response:
        """Validates the record in the body and publishes it, unless ``dry_run`` is true."""
        refusal = check_parameters(request, ["dry_run"])
        if refusal is not None:
            return failure_response(refusal)
        match boolean_parameter(request, "dry_run"), await read_json_object(request):
            case Success(dry_run), Success(record):
                outcome = await self._services.configuration.publish(record, dry_run)
                return result_response(outcome)
            case (Failed(failure), _) | (_, Failed(failure)):
                return failure_response(failure)
        raise AssertionError("unreachable")

    async def show_drain(self, request: Request) -> Response:
        """Returns the phase and time limits of the graceful shutdown."""
        return data_response(self._services.drain.progress())

    async def start_drain(self, request: Request) -> Response:
        """Starts a graceful shutdown. The body may be ``{"reason": "..."}``."""
        match await read_json_object(request):
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
        return f"unknown member {min(unknown)[:40]!r}; allowed: reason"
    if not isinstance(reason, str) or len(reason) > MAX_REASON_CHARACTERS:
        return f"reason must be a string of at most {MAX_REASON_CHARACTERS} characters"
    return None
