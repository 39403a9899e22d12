"""Sends retryable calls to plain services."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

import trio
from returns import result
from returns.pipeline import is_successful

from camphordrift.backend_http import HttpCall, HttpConnections, HttpResponse
from camphordrift.backend_servers import (
    BackendError,
    BackendRefusedError,
    BackendSilentError,
    BackendUnreachableError,
)
from camphordrift.gateway._server_selector import ServerSelector
from camphordrift.identifiers import BackendServerId, RequestId, ServiceName
from camphordrift.results import Failure
from camphordrift.retries import (
    AttemptError,
    Backoff,
    BackoffSettings,
    GiveUp,
    Retry,
    RetryBudgets,
    RetryBudgetSettings,
    RetryPolicy,
    RetryPolicySettings,
)

#: HTTP status codes of a server that is overloaded or still starting.
BUSY_STATUSES = frozenset({429, 503})


@dataclass(frozen=True)
class ServiceRequest:
    """A caller's request to a plain service, as it is forwarded."""

    #: Id that this VM assigned to the request.
    request_id: RequestId

    #: Name of the called service.
    service: ServiceName

    #: The HTTP method, in upper case.
    method: str

    #: Path and query string, as the caller sent them.
    target: str

    #: Headers to forward to the server.
    headers: Mapping[str, str]

    #: The complete request body.
    body: bytes


class ServiceCaller:
    """Sends retryable calls to the servers of plain services.

    A failed call is retried, preferably on other servers, until its deadline passes or the retry
    budget of its service is spent. See :class:`AtMostOnceSender` for calls that must not be
    retried.
    """

    def __init__(
        self, connections: HttpConnections, selector: ServerSelector, rng: random.Random
    ) -> None:
        self._connections = connections
        self._selector = selector
        self._backoff = Backoff(BackoffSettings(), rng)
        self._budgets = RetryBudgets(RetryBudgetSettings())

    async def call(
        self,
        request: ServiceRequest,
        servers: tuple[BackendServerId, ...],
        timeout_seconds: float,
    ) -> result.Result[HttpResponse, Failure]:
        """Returns the service's response, or why there is none.

        All responses are returned, including error statuses, except those with a status in
        :data:`BUSY_STATUSES`, which count as failed attempts.
        """
        deadline = trio.current_time() + timeout_seconds
        policy = self._policy_of(request.service)
        policy.on_first_attempt(trio.current_time())
        avoided: set[BackendServerId] = set()
        may_have_run = False
        attempt = 0
        while True:
            attempt += 1
            response = await self._attempt(request, servers, avoided, deadline)
            if isinstance(response, HttpResponse):
                return result.Success(response)
            decision = policy.decide(
                attempt,
                response,
                True,
                deadline - trio.current_time(),
                trio.current_time(),
                may_have_run,
            )
            match decision:
                case GiveUp(failure):
                    return result.Failure(failure)
                case Retry(delay_seconds, may_have_run):
                    await trio.sleep(delay_seconds)

    def dump_state(self) -> dict[str, float]:
        """Returns the number of retries left in each service's budget, for the state dump."""
        return self._budgets.dump_state()

    def _policy_of(self, service: ServiceName) -> RetryPolicy:
        budget = self._budgets.budget_of(service, trio.current_time())
        return RetryPolicy(RetryPolicySettings(), self._backoff, budget)

    async def _attempt(
        self,
        request: ServiceRequest,
        servers: tuple[BackendServerId, ...],
        avoided: set[BackendServerId],
        deadline: float,
    ) -> HttpResponse | AttemptError:
        """Sends the call to one server; adds the server to ``avoided`` if the attempt fails."""
        selection = self._selector.select(servers, avoided, trio.current_time())
        if not is_successful(selection):
            return selection.failure()
        selected = selection.unwrap()
        with self._selector.track_call(selected) as tracker:
            response = await self._send_to_server(request, selected.server_id, deadline)
            tracker.record(response)
        if isinstance(response, HttpResponse):
            return response
        avoided.add(selected.server_id)
        return response

    async def _send_to_server(
        self, request: ServiceRequest, server: BackendServerId, deadline: float
    ) -> HttpResponse | AttemptError:
        address = self._selector.address_of(server)
        if address is None:
            return BackendUnreachableError(f"no address is configured for {server}")
        call = http_call(request, address)
        try:
            with trio.fail_at(deadline):
                response = await self._connections.fetch(call, deadline - trio.current_time())
        except BackendError as error:
            return error
        except trio.TooSlowError:
            return BackendSilentError(f"{server} timed out")
        if response.status in BUSY_STATUSES:
            return BackendRefusedError(
                f"{server} responded with status {response.status}", response.status, not_run=False
            )
        return response


def http_call(request: ServiceRequest, address: str) -> HttpCall:
    """Returns the HTTP request that forwards ``request`` to the server at ``address``."""
    return HttpCall(
        request.method, address, request.target, request.body, tuple(request.headers.items())
    )
