"""Checks requests against the configuration before anything is sent."""

import random
from typing import Optional

from camphordrift.relay._http_server import Answer, CallerRequest
from camphordrift.relay._refusals import NOT_READY_RETRY_AFTER, refused
from camphordrift.relay._request_progress import RequestProgress
from camphordrift.relay._routing_state import RoutingState
from camphordrift.relay._routing_table import RoutingTable, choose_service
from camphordrift.relay._values import Account, RequestFacts, Route, Service
from camphordrift.results import ResultCode

#: Seconds before a request's time is over at which it gets its final answer.
FINAL_ANSWER_MARGIN = 0.05

#: Seconds that a caller is taken to wait if it does not say.
DEFAULT_PATIENCE = 30.0


class Admission:
    """Finds a request's route, client account and service."""

    def __init__(self, routing_state: RoutingState) -> None:
        self._routing_state = routing_state
        self._random = random.Random()

    def accept(
        self, request: CallerRequest, answer: Answer, facts: RequestFacts
    ) -> RequestProgress:
        """Checks a request against the configuration.

        Raises:
            RequestRefusedError: The configuration does not allow it, or is not known.

        """
        table = self._routing_state.table()
        if table is None:
            raise refused(ResultCode.VM_NOT_READY, "no configuration yet", NOT_READY_RETRY_AFTER)
        route = self._find_route(table, request)
        account = self._find_account(table, route, facts)
        service = self._find_service(table, route)
        self._routing_state.budget(service.name).count_request(request.received)
        patience = DEFAULT_PATIENCE if facts.patience is None else facts.patience
        return RequestProgress(
            request=request,
            answer=answer,
            facts=facts,
            route=route,
            account=account,
            service=service,
            give_up_at=request.received + min(patience, route.timeout) - FINAL_ANSWER_MARGIN,
            tried=[],
            excluded=[],
        )

    def _find_route(self, table: RoutingTable, request: CallerRequest) -> Route:
        host = (request.header(b"host") or b"").decode("latin-1")
        route = table.find_route(host, request.target.decode("latin-1"))
        if route is not None:
            return route
        if not self._routing_state.has_valid_lease():
            raise refused(
                ResultCode.CONFIGURATION_UNKNOWN, "the route may be new", NOT_READY_RETRY_AFTER
            )
        raise refused(ResultCode.UNKNOWN_PATH, "no route has this host and path")

    def _find_account(
        self, table: RoutingTable, route: Route, facts: RequestFacts
    ) -> Optional[Account]:
        if table.configuration.accounts is None or route.open:
            return None
        if not self._routing_state.has_valid_lease():
            raise refused(
                ResultCode.CONFIGURATION_UNKNOWN,
                "the keys were not confirmed recently",
                NOT_READY_RETRY_AFTER,
            )
        account = table.find_account(facts.key)
        if account is None:
            raise refused(ResultCode.UNAUTHENTICATED, "the key belongs to no client account")
        return account

    def _find_service(self, table: RoutingTable, route: Route) -> Service:
        name = choose_service(route.shares, self._random.random())
        service = None if name is None else table.configuration.services.get(name)
        if service is None:
            raise refused(
                ResultCode.NO_ENGINE_AVAILABLE, "the route has no service", NOT_READY_RETRY_AFTER
            )
        return service
