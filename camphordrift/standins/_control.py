"""Switches the stand-ins' faults on and off over HTTP."""

from collections.abc import Callable, Mapping
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from camphordrift.identifiers import BackendServerId
from camphordrift.standins._engines import InMemoryEngines
from camphordrift.standins._log_service import InMemoryLogService, ResponseLoss
from camphordrift.standins._plain_service import BookingBooks, PlainServiceFaults
from camphordrift.standins._vm_list import StandinVmList

Arguments = Mapping[str, Any]
Fault = Callable[[Arguments], None]


class UnknownFaultError(Exception):
    """No stand-in has the fault that was asked for."""


class StandinControl:
    """All faults by name. Each takes the fields of a JSON object.

    Example: ``POST /faults/engine.die`` with ``{"engine_id": "engine-1"}``.
    """

    def __init__(
        self,
        engines: InMemoryEngines,
        log: InMemoryLogService,
        vm_list: StandinVmList,
        books: BookingBooks,
        plain_faults: Mapping[str, PlainServiceFaults],
    ) -> None:
        self._engines = engines
        self._log = log
        self._vm_list = vm_list
        self._books = books
        self._plain_faults = plain_faults
        self._faults: Mapping[str, Fault] = {
            "engine.die": lambda a: engines.kill(_engine(a)),
            "engine.restart": lambda a: engines.restart(_engine(a)),
            "engine.freeze": lambda a: engines.freeze(_engine(a), bool(a.get("on", True))),
            "engine.slow": lambda a: engines.set_speed(_engine(a), float(a["speed"])),
            "engine.refuse": lambda a: engines.set_refusing(_engine(a), bool(a.get("on", True))),
            "engine.leave": lambda a: engines.set_draining(_engine(a), bool(a.get("on", True))),
            "log.outage": self._log_outage,
            "log.slow": lambda a: log.faults.slow_down(float(a["seconds"])),
            "log.lose_answers": self._lose_answers,
            "vm_list.down": lambda a: vm_list.set_down(bool(a.get("on", True))),
            "vm_list.leave": lambda a: vm_list.mark_leaving(str(a["vm_id"])),
            "vm_list.clear": lambda a: vm_list.set_entries(()),
            "service.delay": self._service_delay,
            "service.lose_answers": self._service_lose_answers,
            "service.refuse": self._service_refuse,
            "service.silent": self._service_silent,
        }

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all faults."""
        return tuple(self._faults)

    def apply(self, name: str, arguments: Arguments) -> None:
        """Switches a fault; raises :class:`UnknownFaultError`, ``KeyError`` or ``ValueError``."""
        fault = self._faults.get(name)
        if fault is None:
            raise UnknownFaultError(f"no fault {name}; known are {', '.join(self.names)}")
        fault(arguments)

    def counts(self) -> Mapping[str, Any]:
        """Returns what ran, for checks from outside."""
        holds = {
            engine_id: len(self._engines.state(engine_id).holds())
            for engine_id in self._engines.engine_ids
        }
        return {
            "bookings": dict(self._books.runs),
            "log_appends": self._log.append_count,
            "log_records": self._log.record_count,
            "engine_holds": holds,
        }

    def _log_outage(self, arguments: Arguments) -> None:
        if arguments.get("on", True):
            self._log.faults.begin_outage(unresponsive=bool(arguments.get("silent", False)))
        else:
            self._log.faults.end_outage()

    def _lose_answers(self, arguments: Arguments) -> None:
        loss = ResponseLoss(
            takes_effect=bool(arguments.get("takes_effect", True)),
            effect_delay_seconds=float(arguments.get("effect_delay_seconds", 0.0)),
        )
        self._log.faults.lose_next_responses(int(arguments.get("count", 1)), loss)

    def _service_faults(self, arguments: Arguments) -> PlainServiceFaults:
        return self._plain_faults[str(arguments["server_id"])]

    def _service_delay(self, arguments: Arguments) -> None:
        self._service_faults(arguments).delay_seconds = float(arguments["seconds"])

    def _service_lose_answers(self, arguments: Arguments) -> None:
        self._service_faults(arguments).lose_next_responses = int(arguments.get("count", 1))

    def _service_refuse(self, arguments: Arguments) -> None:
        self._service_faults(arguments).refusing = bool(arguments.get("on", True))

    def _service_silent(self, arguments: Arguments) -> None:
        self._service_faults(arguments).silent = bool(arguments.get("on", True))


def _engine(arguments: Arguments) -> BackendServerId:
    return BackendServerId(str(arguments["engine_id"]))


def control_app(control: StandinControl) -> Starlette:
    """Returns the application that switches faults and tells what ran."""

    async def apply(request: Request) -> Response:
        body = await request.body()
        arguments = await request.json() if body else {}
        try:
            control.apply(request.path_params["name"], arguments)
        except (UnknownFaultError, KeyError, ValueError, TypeError) as error:
            return JSONResponse({"error": repr(error)}, status_code=400)
        return JSONResponse({"applied": request.path_params["name"]})

    async def names(request: Request) -> Response:
        return JSONResponse({"faults": control.names})

    async def counts(request: Request) -> Response:
        return JSONResponse(control.counts())

    return Starlette(
        routes=[
            Route("/faults", names, methods=["GET"]),
            Route("/faults/{name}", apply, methods=["POST"]),
            Route("/counts", counts, methods=["GET"]),
        ]
    )
