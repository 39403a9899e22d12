"""Calls of plain services: which server, when to try another, and what is known afterwards."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Optional

import trio
from returns import result

from camphordrift.backend_http import HttpAnswer, HttpCall, HttpConnections
from camphordrift.backend_servers import (
    BackendError,
    BackendSilentError,
    BackendUnreachableError,
)
from camphordrift.gateway._server_choice import ServerChoice
from camphordrift.identifiers import BackendServerId, RequestId
from camphordrift.results import Failure, ResultCode, RunState

#: Attempts at a call that may be repeated.
MAX_CALL_ATTEMPTS = 3

#: Delay before the second attempt, in seconds; it doubles with each further one.
FIRST_RETRY_DELAY_SECONDS = 0.05

#: Statuses with which a server says that it is overloaded or starting.
_BUSY_STATUSES = frozenset({429, 503})


@dataclass(frozen=True)
class ServiceRequest:
    """A caller's call of a plain service."""

    #: The request.
    request_id: RequestId

    #: The HTTP method, in upper case.
    method: str

    #: Path and query, as the caller sent them.
    target: str

    #: Headers to pass on.
    headers: Mapping[str, str]

    #: The body.
    body: bytes

    #: Whether the call may run more than once.
    repeatable: bool


class ServiceCaller:
    """Sends calls to the servers of plain services.

    A call that may be repeated is tried on other servers until its time is over. Any other call is
    tried again only as long as no byte of it was sent, and goes over a connection of its own.
    """

    def __init__(self, connections: HttpConnections, choice: ServerChoice) -> None:
        self._connections = connections
        self._choice = choice

    async def call(
        self,
        request: ServiceRequest,
        servers: tuple[BackendServerId, ...],
        timeout_seconds: float,
    ) -> result.Result[HttpAnswer, Failure]:
        """Returns the service's answer, whatever its status, or why there is none."""
        deadline = trio.current_time() + timeout_seconds
        sent = False
        avoided: set[BackendServerId] = set()
        failure = _no_server()
        for attempt in range(MAX_CALL_ATTEMPTS):
            server = self._choice.choose(servers, avoided)
            if server is None:
                break
            remaining = deadline - trio.current_time()
            if remaining <= 0:
                return result.Failure(_time_over(request, sent))
            answer = await self._attempt(request, server, remaining)
            if isinstance(answer, HttpAnswer) and not _is_worth_retry(request, answer):
                return result.Success(answer)
            if isinstance(answer, BackendUnreachableError):
                failure = _unreachable(answer, sent)
            else:
                sent = True
                failure = _after_sending(request, answer)
                if not request.repeatable:
                    break
            avoided.add(server)
            await trio.sleep(min(FIRST_RETRY_DELAY_SECONDS * 2**attempt, max(0.0, remaining)))
        return result.Failure(failure)

    async def _attempt(
        self, request: ServiceRequest, server: BackendServerId, remaining: float
    ) -> HttpAnswer | BackendError:
        with self._choice.counting(server):
            address = self._choice.address_of(server)
            if address is None:
                return BackendUnreachableError(f"no address is known of {server}")
            call = HttpCall(
                request.method,
                address,
                request.target,
                request.body,
                tuple(request.headers.items()),
            )
            try:
                with trio.fail_after(remaining):
                    return await self._connections.fetch(
                        call, remaining, fresh_connection=not request.repeatable
                    )
            except BackendError as error:
                return error
            except trio.TooSlowError:
                return BackendSilentError(f"{server} did not answer in time")


def _is_worth_retry(request: ServiceRequest, answer: HttpAnswer) -> bool:
    return request.repeatable and answer.status in _BUSY_STATUSES


def _no_server() -> Failure:
    return Failure(ResultCode.NO_ENGINE_AVAILABLE, "no permitted backend server takes calls", 1.0)


def _time_over(request: ServiceRequest, sent: bool) -> Failure:
    if not sent:
        detail = "the call's time was over before it was sent"
        return Failure(ResultCode.DEADLINE_PASSED_IN_QUEUE, detail)
    return Failure(ResultCode.BACKEND_DEADLINE_PASSED, "the call's time is over")


def _unreachable(error: BackendError, sent: bool) -> Failure:
    run_state: Optional[RunState] = RunState.FAILED if sent else None
    return Failure(ResultCode.BACKEND_UNREACHABLE, str(error), 1.0, run_state)


def _after_sending(request: ServiceRequest, answer: HttpAnswer | BackendError) -> Failure:
    if isinstance(answer, HttpAnswer):
        return Failure(
            ResultCode.BACKEND_REFUSED, f"the service answered with {answer.status}", 1.0
        )
    if not request.repeatable:
        return Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, str(answer))
    if isinstance(answer, BackendSilentError):
        return Failure(ResultCode.BACKEND_SILENT, str(answer))
    return Failure(ResultCode.BACKEND_STREAM_BROKEN, str(answer))
