"""The HTTP interface of the stand-in log service."""

import msgpack
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from camphordrift.platform_log import (
    AppendRefusedError,
    AppendUnsureError,
    LogUnavailableError,
    OffsetTruncatedError,
)
from camphordrift.standins._log_service import InMemoryLogService


def log_app(service: InMemoryLogService) -> Starlette:
    """Returns the HTTP application of the stand-in log service."""

    async def append(request: Request) -> Response:
        payloads = msgpack.unpackb(await request.body())
        offset = await service.append(request.path_params["stream"], payloads)
        return _msgpack_response({"offset": offset})

    async def read(request: Request) -> Response:
        from_offset = int(request.query_params["from"])
        max_records = int(request.query_params["max"])
        batch = await service.read(request.path_params["stream"], from_offset, max_records)
        records = [[record.offset, record.payload, record.appended_at] for record in batch.records]
        return _msgpack_response({"records": records, "end_offset": batch.end_offset})

    return Starlette(
        routes=[
            Route("/streams/{stream}", append, methods=["POST"]),
            Route("/streams/{stream}", read, methods=["GET"]),
        ],
        exception_handlers={
            AppendRefusedError: _refused_response,
            LogUnavailableError: _unavailable_response,
            AppendUnsureError: _unknown_outcome_response,
            OffsetTruncatedError: _truncated_response,
        },
    )


async def _refused_response(request: Request, error: Exception) -> Response:
    return Response(str(error), status_code=429)


async def _unavailable_response(request: Request, error: Exception) -> Response:
    return Response(str(error), status_code=503)


async def _unknown_outcome_response(request: Request, error: Exception) -> Response:
    return Response(str(error), status_code=504)


async def _truncated_response(request: Request, error: Exception) -> Response:
    assert isinstance(error, OffsetTruncatedError)
    return _msgpack_response({"first_offset": error.first_offset}, status_code=410)


def _msgpack_response(body: object, status_code: int = 200) -> Response:
    return Response(msgpack.packb(body), status_code=status_code, media_type="application/msgpack")
