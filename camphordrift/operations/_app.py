"""Creates the ASGI application for operators, and authenticates its callers."""

from collections.abc import Awaitable, Callable

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from camphordrift.operations._endpoints import Endpoints
from camphordrift.operations._providers import OperatorServices
from camphordrift.operations._responses import failure_response
from camphordrift.results import Failure, ResultCode
from camphordrift.security import bearer_key, hash_key, key_matches
from camphordrift.telemetry import LogLevel, log_event

#: Number of hexadecimal digits of a key's hash that identify the operator in logs.
FINGERPRINT_DIGITS = 8

Endpoint = Callable[[Request], Awaitable[Response]]


def operators_app(services: OperatorServices) -> Starlette:
    """Returns the application that serves the operators' port.

    ``/health`` and ``/ready`` need no key, since the load balancer requests them. All other paths
    need an operator's key in the header ``Authorization: Bearer ...``.
    """
    endpoints = Endpoints(services)

    def operator_route(path: str, endpoint: Endpoint, method: str = "GET") -> Route:
        return Route(path, _require_operator(services.key_hashes, endpoint), methods=[method])

    return Starlette(
        routes=[
            Route("/health", endpoints.health, methods=["GET"]),
            Route("/ready", endpoints.ready, methods=["GET"]),
            operator_route("/metrics", endpoints.metrics),
            operator_route("/dump", endpoints.dump),
            operator_route("/decisions", endpoints.decisions),
            operator_route("/configuration", endpoints.show_configuration),
            operator_route("/configuration", endpoints.publish_configuration, "POST"),
            operator_route("/configuration/history", endpoints.configuration_history),
            operator_route("/configuration/diff", endpoints.configuration_diff, "POST"),
            operator_route("/drain", endpoints.show_drain),
            operator_route("/drain", endpoints.start_drain, "POST"),
        ],
        exception_handlers={HTTPException: _routing_error, Exception: _internal_error},
    )


def _require_operator(key_hashes: tuple[str, ...], endpoint: Endpoint) -> Endpoint:
    async def authenticated_endpoint(request: Request) -> Response:
        key = bearer_key(request.headers.get("authorization"))
        if key is None or not key_matches(key, key_hashes):
            log_event("operator_refused", level=LogLevel.WARNING, path=request.url.path)
            detail = "the header Authorization: Bearer must contain an operator's key"
            return failure_response(Failure(ResultCode.UNAUTHENTICATED, detail))
        response = await endpoint(request)
        if request.method != "GET":
            _log_action(request, key, response)
        return response

    return authenticated_endpoint


def _log_action(request: Request, key: str, response: Response) -> None:
    log_event(
        "operator_action",
        method=request.method,
        path=request.url.path,
        query=request.url.query,
        status=response.status_code,
        operator=hash_key(key)[:FINGERPRINT_DIGITS],
    )


async def _routing_error(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    if error.status_code == 405:
        return failure_response(
            Failure(ResultCode.METHOD_NOT_ALLOWED, "the path does not support this method")
        )
    return failure_response(
        Failure(ResultCode.UNKNOWN_PATH, "the operators' port has no such path")
    )


async def _internal_error(request: Request, error: Exception) -> Response:
    detail = "internal error; see the log of this VM for details"
    return failure_response(Failure(ResultCode.INTERNAL_ERROR, detail))
