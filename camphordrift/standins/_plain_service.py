"""A stand-in plain service: a booking service that counts how often each booking ran."""

from collections import Counter
from dataclasses import dataclass

import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send


@dataclass
class PlainServiceFaults:
    """The faults that are injected into one server of the stand-in service."""

    #: Seconds of delay before each call runs.
    delay_seconds: float = 0.0

    #: Number of calls that will still run but lose their responses.
    lose_next_responses: int = 0

    #: Whether calls are refused with status 503 instead of being run.
    refusing: bool = False

    #: Whether calls run but never get a response.
    unresponsive: bool = False


class BookingStore:
    """The bookings that were run, shared by all servers of the stand-in service."""

    def __init__(self) -> None:
        self._run_counts: Counter[str] = Counter()

    @property
    def run_counts(self) -> Counter[str]:
        """Number of runs of each booking, by its reference."""
        return self._run_counts

    def run(self, reference: str) -> int:
        """Runs a booking and returns how often it has run so far."""
        self._run_counts[reference] += 1
        return self._run_counts[reference]


class _TruncatedResponse(Response):
    """Sends a header without the body and closes the connection, which hides the outcome."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b"content-length", b"100")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


def plain_service_app(
    bookings: BookingStore, faults: PlainServiceFaults, path_prefix: str
) -> Starlette:
    """Returns the HTTP application of one server.

    ``POST <prefix>/bookings`` with a ``reference`` runs a booking, ``GET <prefix>/bookings/<ref>``
    looks one up, and ``GET <prefix>/load`` reports the load.
    """
    running = 0

    async def book(request: Request) -> Response:
        nonlocal running
        body = await request.json()
        running += 1
        try:
            await trio.sleep(faults.delay_seconds)
            if faults.refusing:
                return JSONResponse({"error": "busy"}, status_code=503)
            runs = bookings.run(str(body["reference"]))
            if faults.unresponsive:
                await trio.sleep_forever()
            if faults.lose_next_responses > 0:
                faults.lose_next_responses -= 1
                return _TruncatedResponse()
        finally:
            running -= 1
        return JSONResponse({"reference": body["reference"], "booked": True, "runs": runs})

    async def look_up(request: Request) -> Response:
        reference = request.path_params["reference"]
        return JSONResponse({"reference": reference, "booked": bookings.run_counts[reference] > 0})

    async def load(request: Request) -> Response:
        return JSONResponse({"running": running})

    return Starlette(
        routes=[
            Route(f"{path_prefix}/bookings", book, methods=["POST"]),
            Route(f"{path_prefix}/bookings/{{reference}}", look_up, methods=["GET"]),
            Route(f"{path_prefix}/load", load, methods=["GET"]),
        ]
    )
