"""Calls of plain services: which server, when to try another, and what is known afterwards."""

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

#: Statuses with which a server says that it is overloaded or starting.
BUSY_STATUSES = frozenset({429, 503})


@dataclass(frozen=True)
class ServiceRequest:
    """A caller's call of a plain service."""

    #: The request.
    request_id: RequestId

    #: The service that is called.
    service: ServiceName

    #: The HTTP method, in upper case.
    method: str

    #: Path and query, as the caller sent them.
    target: str

    #: Headers to pass on.
    headers: Mapping[str, str]

    #: The body.
    body: bytes


class ServiceCaller:
    """Sends calls that may be repeated to the servers of plain services.

    A call is tried on other servers until its time is over or its service's retry budget is spent.
    See :class:`OnceSender` for calls that may not be repeated.
    """

    def __init__(
        self, connections: HttpConnections, choice: ServerSelector, rng: random.Random
    ) -> None:
        self._connections = connections
        self._choice = choice
        self._backoff = Backoff(BackoffSettings(), rng)
        self._budgets = RetryBudgets(RetryBudgetSettings())

    async def call(
        self,
        request: ServiceRequest,
        servers: tuple[BackendServerId, ...],
        timeout_seconds: float,
    ) -> result.Result[HttpResponse, Failure]:
        """Returns the service's answer, whatever its status, or why there is none."""
        deadline = trio.current_time() + timeout_seconds
        policy = self._policy_of(request.service)
        policy.on_first_attempt(trio.current_time())
        avoided: set[BackendServerId] = set()
        may_have_run = False
        attempt = 0
        while True:
            attempt += 1
            answer = await self._attempt(request, servers, avoided, deadline)
            if isinstance(answer, HttpResponse):
                return result.Success(answer)
            decision = policy.decide(
                attempt,
                answer,
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
        """Returns the retries saved for each service."""
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
        """Tries one server; it joins ``avoided`` if the attempt fails."""
        chosen = self._choice.choose(servers, avoided, trio.current_time())
        if not is_successful(chosen):
            return chosen.failure()
        lease = chosen.unwrap()
        with self._choice.using(lease) as use:
            answer = await self._send(request, lease.server_id, deadline)
            use.note(answer)
        if isinstance(answer, HttpResponse):
            return answer
        avoided.add(lease.server_id)
        return answer

    async def _send(
        self, request: ServiceRequest, server: BackendServerId, deadline: float
    ) -> HttpResponse | AttemptError:
        address = self._choice.address_of(server)
        if address is None:
            return BackendUnreachableError(f"no address is known of {server}")
        call = http_call(request, address)
        try:
            with trio.fail_at(deadline):
                answer = await self._connections.fetch(call, deadline - trio.current_time())
        except BackendError as error:
            return error
        except trio.TooSlowError:
            return BackendSilentError(f"{server} did not answer in time")
        if answer.status in BUSY_STATUSES:
            return BackendRefusedError(
                f"{server} answered with {answer.status}", answer.status, not_run=False
            )
        return answer


def http_call(request: ServiceRequest, address: str) -> HttpCall:
    """Returns the HTTP request that passes ``request`` on to the server at ``address``."""
    return HttpCall(
        request.method, address, request.target, request.body, tuple(request.headers.items())
    )
