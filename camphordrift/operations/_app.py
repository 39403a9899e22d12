"""The ASGI application of the operators' port."""

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

#: Hexadecimal digits of a key's hash by which logs tell operators apart.
FINGERPRINT_DIGITS = 8

Endpoint = Callable[[Request], Awaitable[Response]]


def operators_app(services: OperatorServices) -> Starlette:
    """Returns the application of the operators' port.

    ``/health`` and ``/ready`` are open, for the balancer; everything else needs an operator's key
    in the header ``Authorization: Bearer ...``.
    """
    endpoints = Endpoints(services)

    def guarded(path: str, endpoint: Endpoint, method: str = "GET") -> Route:
        return Route(path, _require_operator(services.key_hashes, endpoint), methods=[method])

    return Starlette(
        routes=[
            Route("/health", endpoints.health, methods=["GET"]),
            Route("/ready", endpoints.ready, methods=["GET"]),
            guarded("/metrics", endpoints.metrics),
            guarded("/dump", endpoints.dump),
            guarded("/decisions", endpoints.decisions),
            guarded("/configuration", endpoints.show_configuration),
            guarded("/configuration", endpoints.publish_configuration, "POST"),
            guarded("/configuration/history", endpoints.configuration_history),
            guarded("/configuration/diff", endpoints.configuration_diff, "POST"),
            guarded("/drain", endpoints.show_drain),
            guarded("/drain", endpoints.start_drain, "POST"),
        ],
        exception_handlers={HTTPException: _routing_error, Exception: _internal_error},
    )


def _require_operator(key_hashes: tuple[str, ...], endpoint: Endpoint) -> Endpoint:
    async def checked(request: Request) -> Response:
        key = bearer_key(request.headers.get("authorization"))
        if key is None or not key_matches(key, key_hashes):
            log_event("operator_refused", level=LogLevel.WARNING, path=request.url.path)
            detail = "an operator's key is needed in the header Authorization: Bearer"
            return failure_response(Failure(ResultCode.UNAUTHENTICATED, detail))
        response = await endpoint(request)
        if request.method != "GET":
            _log_action(request, key, response)
        return response

    return checked


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
            Failure(ResultCode.METHOD_NOT_ALLOWED, "the path has no such method")
        )
    return failure_response(
        Failure(ResultCode.UNKNOWN_PATH, "the operators' port has no such path")
    )


async def _internal_error(request: Request, error: Exception) -> Response:
    detail = "a fault of the program; its log has the details"
    return failure_response(Failure(ResultCode.INTERNAL_ERROR, detail))
