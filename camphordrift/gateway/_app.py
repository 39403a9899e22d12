"""Creates the ASGI application that serves callers."""

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Mount, Route
from starlette.types import ASGIApp

from camphordrift.gateway._admission import identify_caller, new_request_id
from camphordrift.gateway._connection_close import close_connections_while_draining
from camphordrift.gateway._context import GatewayContext
from camphordrift.gateway._errors import error_response
from camphordrift.gateway._generation_endpoint import GenerationEndpoint
from camphordrift.gateway._models_endpoint import models_response
from camphordrift.gateway._openai_bodies import parse_chat, parse_completion
from camphordrift.gateway._service_endpoint import ServiceEndpoint
from camphordrift.results import Failure, ResultCode


def gateway_app(context: GatewayContext) -> ASGIApp:
    """Returns the ASGI application with all routes for callers."""
    return close_connections_while_draining(_app_with_routes(context), context.is_draining)


def _app_with_routes(context: GatewayContext) -> Starlette:

    async def models(request: Request) -> Response:
        caller = identify_caller(context, request)
        return models_response(caller, new_request_id())

    completions = GenerationEndpoint(context, "completions", parse_completion)
    chat = GenerationEndpoint(context, "chat", parse_chat)
    return Starlette(
        routes=[
            Route("/v1/completions", completions),
            Route("/v1/chat/completions", chat),
            Route("/v1/models", models, methods=["GET"]),
            Mount("/", ServiceEndpoint(context)),
        ],
        exception_handlers={HTTPException: _routing_error, Exception: _internal_error},
    )


async def _routing_error(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    code = ResultCode.METHOD_NOT_ALLOWED if error.status_code == 405 else ResultCode.UNKNOWN_PATH
    return error_response(Failure(code, str(error.detail)), new_request_id())


async def _internal_error(request: Request, error: Exception) -> Response:
    detail = "internal error; see the VM's log for details"
    return error_response(Failure(ResultCode.INTERNAL_ERROR, detail), new_request_id())
