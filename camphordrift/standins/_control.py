"""Injects faults into the stand-ins by the faults' names, directly or over HTTP."""

from collections.abc import Callable, Mapping
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from camphordrift.identifiers import BackendServerId
from camphordrift.standins._engines import InMemoryEngines
from camphordrift.standins._log_service import InMemoryLogService, ResponseLoss
from camphordrift.standins._plain_service import BookingStore, PlainServiceFaults
from camphordrift.standins._vm_list import StandinVmList

#: The arguments of a fault: the fields of a JSON object.
Arguments = Mapping[str, Any]

#: Switches one kind of fault on or off.
Fault = Callable[[Arguments], None]


class UnknownFaultError(Exception):
    """Raised if no stand-in has a fault of the requested name."""


class StandinControl:
    """Injects faults by name. Each fault takes the fields of a JSON object as its arguments.

    Example: ``POST /faults/engine.die`` with ``{"engine_id": "engine-1"}``.
    """

    def __init__(
        self,
        engines: InMemoryEngines,
        log: InMemoryLogService,
        vm_list: StandinVmList,
        bookings: BookingStore,
        plain_service_faults: Mapping[str, PlainServiceFaults],
    ) -> None:
        self._engines = engines
        self._log = log
        self._vm_list = vm_list
        self._bookings = bookings
        self._plain_service_faults = plain_service_faults
        self._faults: Mapping[str, Fault] = {
            "engine.die": lambda a: engines.kill(_engine_id(a)),
            "engine.restart": lambda a: engines.restart(_engine_id(a)),
            "engine.freeze": lambda a: engines.freeze(_engine_id(a), bool(a.get("on", True))),
            "engine.slow": lambda a: engines.set_speed(_engine_id(a), float(a["speed"])),
            "engine.refuse": lambda a: engines.set_refusing(_engine_id(a), bool(a.get("on", True))),
            "engine.leave": lambda a: engines.set_draining(_engine_id(a), bool(a.get("on", True))),
            "log.outage": self._log_outage,
            "log.slow": lambda a: log.faults.slow_down(float(a["seconds"])),
            "log.lose_answers": self._lose_log_responses,
            "vm_list.down": lambda a: vm_list.set_unavailable(bool(a.get("on", True))),
            "vm_list.leave": lambda a: vm_list.mark_draining(str(a["vm_id"])),
            "vm_list.clear": lambda a: vm_list.set_entries(()),
            "service.delay": self._delay_service,
            "service.lose_answers": self._lose_service_responses,
            "service.refuse": self._refuse_service_calls,
            "service.silent": self._make_service_unresponsive,
        }

    @property
    def fault_names(self) -> tuple[str, ...]:
        """The names of all faults, such as ``log.outage``."""
        return tuple(self._faults)

    def apply(self, name: str, arguments: Arguments) -> None:
        """Switches a fault on or off.

        Raises :class:`UnknownFaultError` for an unknown name, and ``KeyError``, ``ValueError`` or
        ``TypeError`` for missing or invalid arguments.
        """
        fault = self._faults.get(name)
        if fault is None:
            raise UnknownFaultError(
                f"unknown fault {name}; the faults are {', '.join(self.fault_names)}"
            )
        fault(arguments)

    def counts(self) -> Mapping[str, Any]:
        """Returns the runs of each booking, and the numbers of log appends, records and holds."""
        holds = {
            engine_id: len(self._engines.state(engine_id).holds())
            for engine_id in self._engines.engine_ids
        }
        return {
            "bookings": dict(self._bookings.run_counts),
            "log_appends": self._log.append_count,
            "log_records": self._log.record_count,
            "engine_holds": holds,
        }

    def _log_outage(self, arguments: Arguments) -> None:
        if arguments.get("on", True):
            self._log.faults.begin_outage(unresponsive=bool(arguments.get("silent", False)))
        else:
            self._log.faults.end_outage()

    def _lose_log_responses(self, arguments: Arguments) -> None:
        loss = ResponseLoss(
            takes_effect=bool(arguments.get("takes_effect", True)),
            effect_delay_seconds=float(arguments.get("effect_delay_seconds", 0.0)),
        )
        self._log.faults.lose_next_responses(int(arguments.get("count", 1)), loss)

    def _service_faults(self, arguments: Arguments) -> PlainServiceFaults:
        return self._plain_service_faults[str(arguments["server_id"])]

    def _delay_service(self, arguments: Arguments) -> None:
        self._service_faults(arguments).delay_seconds = float(arguments["seconds"])

    def _lose_service_responses(self, arguments: Arguments) -> None:
        self._service_faults(arguments).lose_next_responses = int(arguments.get("count", 1))

    def _refuse_service_calls(self, arguments: Arguments) -> None:
        self._service_faults(arguments).refusing = bool(arguments.get("on", True))

    def _make_service_unresponsive(self, arguments: Arguments) -> None:
        self._service_faults(arguments).unresponsive = bool(arguments.get("on", True))


def _engine_id(arguments: Arguments) -> BackendServerId:
    return BackendServerId(str(arguments["engine_id"]))


def control_app(control: StandinControl) -> Starlette:
    """Returns the HTTP application that injects faults and returns the counts."""

    async def apply_fault(request: Request) -> Response:
        body = await request.body()
        arguments = await request.json() if body else {}
        try:
            control.apply(request.path_params["name"], arguments)
        except (UnknownFaultError, KeyError, ValueError, TypeError) as error:
            return JSONResponse({"error": repr(error)}, status_code=400)
        return JSONResponse({"applied": request.path_params["name"]})

    async def list_faults(request: Request) -> Response:
        return JSONResponse({"faults": control.fault_names})

    async def read_counts(request: Request) -> Response:
        return JSONResponse(control.counts())

    return Starlette(
        routes=[
            Route("/faults", list_faults, methods=["GET"]),
            Route("/faults/{name}", apply_fault, methods=["POST"]),
            Route("/counts", read_counts, methods=["GET"]),
        ]
    )
