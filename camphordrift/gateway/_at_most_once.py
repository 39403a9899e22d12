"""Sends calls that must run at most once, over a new connection and to a single server."""

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.backend_http import HttpConnections, HttpResponse, SendRefusedError
from camphordrift.backend_servers import (
    BackendError,
    BackendSilentError,
    BackendUnreachableError,
)
from camphordrift.calls import (
    CallOutcome,
    DispatchAnswered,
    DispatchNotSent,
    DispatchReply,
    DispatchUnanswered,
    SendGate,
    ServiceCall,
)
from camphordrift.gateway._server_selector import SelectedServer, ServerSelector
from camphordrift.gateway._service_calls import ServiceRequest, http_call
from camphordrift.identifiers import BackendServerId
from camphordrift.results import Failure, ResultCode

#: Response header that marks a recorded response to an earlier call with the same idempotency key.
REPEATED_HEADER = "camphordrift-repeated"

#: Maximum number of servers to try when connecting fails.
MAX_SERVERS_TRIED = 3

#: Retry-After in seconds for a call that failed because no server could be connected.
UNREACHABLE_RETRY_AFTER_SECONDS = 1.0


class AtMostOnceSender:
    """Sends one call that must run at most once.

    It connects to a server, and calls the gate for authorization immediately before the first byte
    is sent. It tries another server only if the connection could not be opened. Create one sender
    for each call and pass :meth:`dispatch` to the call coordinator.
    """

    def __init__(
        self,
        connections: HttpConnections,
        selector: ServerSelector,
        request: ServiceRequest,
        servers: tuple[BackendServerId, ...],
    ) -> None:
        self._connections = connections
        self._selector = selector
        self._request = request
        self._servers = servers
        self._may_have_sent = False

    @property
    def may_have_sent(self) -> bool:
        """Whether the gate permitted sending, so that the call may have run."""
        return self._may_have_sent

    async def dispatch(self, call: ServiceCall, gate: SendGate) -> DispatchReply:
        """Sends the call and returns its response; without one, returns whether it may have run."""
        avoided: set[BackendServerId] = set()
        reply: DispatchReply = DispatchNotSent(_unreachable_failure("no server was contacted"))
        for _ in range(MAX_SERVERS_TRIED):
            selection = self._selector.select(self._servers, avoided, trio.current_time())
            if not is_successful(selection):
                return DispatchNotSent(selection.failure())
            selected = selection.unwrap()
            reply = await self._try_server(selected, gate, call.remaining_seconds)
            if not _may_try_another(reply):
                return reply
            avoided.add(selected.server_id)
        return reply

    async def _try_server(
        self, selected: SelectedServer, gate: SendGate, seconds: float
    ) -> DispatchReply:
        with self._selector.track_call(selected) as tracker:
            try:
                response = await self._fetch(selected.server_id, gate, seconds)
            except SendRefusedError as refused:
                return DispatchNotSent(refused.failure)
            except BackendUnreachableError as error:
                tracker.record(error)
                return DispatchNotSent(_unreachable_failure(str(error)))
            except BackendError as error:
                tracker.record(error)
                return DispatchUnanswered(_outcome_unknown_failure(str(error)))
            except trio.TooSlowError:
                tracker.record(BackendSilentError(f"{selected.server_id} timed out"))
                return DispatchUnanswered(
                    _outcome_unknown_failure(f"{selected.server_id} timed out")
                )
            tracker.record(response)
        content_type = response.headers.get("content-type", "application/octet-stream")
        return DispatchAnswered(response.status, content_type, response.body)

    async def _fetch(self, server: BackendServerId, gate: SendGate, seconds: float) -> HttpResponse:
        address = self._selector.address_of(server)
        if address is None:
            raise BackendUnreachableError(f"no address is configured for {server}")

        def authorize() -> result.Result[None, Failure]:
            permission = gate.authorize()
            self._may_have_sent = self._may_have_sent or is_successful(permission)
            return permission

        with trio.fail_after(seconds):
            return await self._connections.fetch_gated(
                http_call(self._request, address), seconds, authorize
            )


def _may_try_another(reply: DispatchReply) -> bool:
    match reply:
        case DispatchNotSent(failure):
            return failure.code is ResultCode.BACKEND_UNREACHABLE
        case _:
            return False


def _unreachable_failure(detail: str) -> Failure:
    return Failure(ResultCode.BACKEND_UNREACHABLE, detail, UNREACHABLE_RETRY_AFTER_SECONDS)


def _outcome_unknown_failure(detail: str) -> Failure:
    return Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, detail)


def http_response_from_outcome(outcome: CallOutcome) -> HttpResponse:
    """Returns the HTTP response to the caller for a call's outcome.

    A recorded response to an earlier call is marked with :data:`REPEATED_HEADER`.
    """
    headers = {"content-type": outcome.content_type}
    if outcome.repeated:
        headers[REPEATED_HEADER] = "true"
    if outcome.body is None:
        body = b'{"completed": true, "body_kept": false}'
        return HttpResponse(outcome.status, {**headers, "content-type": "application/json"}, body)
    return HttpResponse(outcome.status, headers, outcome.body)
