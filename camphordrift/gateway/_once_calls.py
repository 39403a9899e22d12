"""Sends calls that may not be repeated: one connection, one permission, one server."""

import trio
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
from camphordrift.gateway._server_selector import ServerLease, ServerSelector
from camphordrift.gateway._service_calls import ServiceRequest, http_call
from camphordrift.identifiers import BackendServerId
from camphordrift.results import Failure, ResultCode

#: Header of an answer that an earlier call under the same key gave.
REPEATED_HEADER = "camphordrift-repeated"

#: Servers that are tried as long as none can be connected.
MAX_SERVERS_TRIED = 3

#: After this long a caller may ask again when no server could be connected.
UNREACHABLE_RETRY_AFTER_SECONDS = 1.0


class OnceSender:
    """Sends one call that may not be repeated.

    It connects to a server, asks its gate right before the first byte, and never tries another
    server afterwards. Make one for each call and hand :meth:`dispatch` to the call coordinator.
    """

    def __init__(
        self,
        connections: HttpConnections,
        choice: ServerSelector,
        request: ServiceRequest,
        servers: tuple[BackendServerId, ...],
    ) -> None:
        self._connections = connections
        self._choice = choice
        self._request = request
        self._servers = servers

    async def dispatch(self, call: ServiceCall, gate: SendGate) -> DispatchReply:
        """Returns what became of the call."""
        avoided: set[BackendServerId] = set()
        reply: DispatchReply = DispatchNotSent(_unreachable("no server was tried"))
        for _ in range(MAX_SERVERS_TRIED):
            chosen = self._choice.choose(self._servers, avoided, trio.current_time())
            if not is_successful(chosen):
                return DispatchNotSent(chosen.failure())
            lease = chosen.unwrap()
            reply = await self._try_server(lease, gate, call.remaining_seconds)
            if not _may_try_another(reply):
                return reply
            avoided.add(lease.server_id)
        return reply

    async def _try_server(
        self, lease: ServerLease, gate: SendGate, seconds: float
    ) -> DispatchReply:
        with self._choice.using(lease) as use:
            try:
                answer = await self._fetch(lease.server_id, gate, seconds)
            except SendRefusedError as refused:
                return DispatchNotSent(refused.failure)
            except BackendUnreachableError as error:
                use.note(error)
                return DispatchNotSent(_unreachable(str(error)))
            except BackendError as error:
                use.note(error)
                return DispatchUnanswered(_unknown(str(error)))
            except trio.TooSlowError:
                use.note(BackendSilentError(f"{lease.server_id} did not answer in time"))
                return DispatchUnanswered(_unknown(f"{lease.server_id} did not answer in time"))
            use.note(answer)
        content_type = answer.headers.get("content-type", "application/octet-stream")
        return DispatchAnswered(answer.status, content_type, answer.body)

    async def _fetch(self, server: BackendServerId, gate: SendGate, seconds: float) -> HttpResponse:
        address = self._choice.address_of(server)
        if address is None:
            raise BackendUnreachableError(f"no address is known of {server}")
        with trio.fail_after(seconds):
            return await self._connections.fetch_gated(
                http_call(self._request, address), seconds, gate.authorize
            )


def _may_try_another(reply: DispatchReply) -> bool:
    match reply:
        case DispatchNotSent(failure):
            return failure.code is ResultCode.BACKEND_UNREACHABLE
        case _:
            return False


def _unreachable(detail: str) -> Failure:
    return Failure(ResultCode.BACKEND_UNREACHABLE, detail, UNREACHABLE_RETRY_AFTER_SECONDS)


def _unknown(detail: str) -> Failure:
    return Failure(ResultCode.SERVICE_OUTCOME_UNKNOWN, detail)


def http_answer_of(outcome: CallOutcome) -> HttpResponse:
    """Returns a call's outcome as an HTTP answer; a repeat is marked in a header."""
    headers = {"content-type": outcome.content_type}
    if outcome.repeated:
        headers[REPEATED_HEADER] = "true"
    if outcome.body is None:
        body = b'{"completed": true, "body_kept": false}'
        return HttpResponse(outcome.status, {**headers, "content-type": "application/json"}, body)
    return HttpResponse(outcome.status, headers, outcome.body)
