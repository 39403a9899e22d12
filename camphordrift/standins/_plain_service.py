"""A stand-in plain service: a booking office that counts how often each booking ran."""

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
    """Faults of one server of the stand-in service."""

    #: Time added to each call before it runs, in seconds.
    delay_seconds: float = 0.0

    #: Answers to lose after the call ran.
    lose_next_responses: int = 0

    #: Whether calls are refused with status 503 without running.
    refusing: bool = False

    #: Whether calls run but are never answered.
    silent: bool = False


class BookingBooks:
    """What all servers of the stand-in service have run; they share one store of bookings."""

    def __init__(self) -> None:
        self._runs: Counter[str] = Counter()

    @property
    def runs(self) -> Counter[str]:
        """How often each booking ran, by its reference."""
        return self._runs

    def run(self, reference: str) -> int:
        """Runs a booking and returns how often it has run by now."""
        self._runs[reference] += 1
        return self._runs[reference]


class _LostAnswer(Response):
    """Begins an answer and cuts the connection, so that the caller learns nothing."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b"content-length", b"100")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


def plain_service_app(
    books: BookingBooks, faults: PlainServiceFaults, path_prefix: str
) -> Starlette:
    """Returns the application of one server.

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
            runs = books.run(str(body["reference"]))
            if faults.silent:
                await trio.sleep_forever()
            if faults.lose_next_responses > 0:
                faults.lose_next_responses -= 1
                return _LostAnswer()
        finally:
            running -= 1
        return JSONResponse({"reference": body["reference"], "booked": True, "runs": runs})

    async def look_up(request: Request) -> Response:
        reference = request.path_params["reference"]
        return JSONResponse({"reference": reference, "booked": books.runs[reference] > 0})

    async def load(request: Request) -> Response:
        return JSONResponse({"running": running})

    return Starlette(
        routes=[
            Route(f"{path_prefix}/bookings", book, methods=["POST"]),
            Route(f"{path_prefix}/bookings/{{reference}}", look_up, methods=["GET"]),
            Route(f"{path_prefix}/load", load, methods=["GET"]),
        ]
    )
