"""Authenticates and routes requests before they are forwarded."""

import random
from typing import Optional

from camphordrift.relay.connections import CallerRequest, ResponseWriter
from camphordrift.relay.model import Account, RequestMetadata, Route, Service
from camphordrift.relay.requests._refusals import NOT_READY_RETRY_AFTER, refusal_error
from camphordrift.relay.requests._request_progress import RequestProgress
from camphordrift.relay.requests._routing_state import RoutingState
from camphordrift.relay.store import RoutingTable, choose_service
from camphordrift.results import ResultCode

#: Seconds before the caller's deadline at which the relay must start its final response.
FINAL_RESPONSE_MARGIN = 0.05

#: Timeout in seconds for callers that specify none.
DEFAULT_CALLER_TIMEOUT = 30.0


class Admission:
    """Determines the route, client account and service of a request."""

    def __init__(self, routing_state: RoutingState) -> None:
        self._routing_state = routing_state
        self._random = random.Random()

    def accept(
        self, request: CallerRequest, response: ResponseWriter, metadata: RequestMetadata
    ) -> RequestProgress:
        """Returns the state of an admitted request.

        Raises:
            RequestRefusedError: The configuration does not permit the request, is not loaded yet,
                or is too old to decide.

        """
        table = self._routing_state.table()
        if table is None:
            raise refusal_error(
                ResultCode.VM_NOT_READY,
                "no configuration has been loaded yet",
                NOT_READY_RETRY_AFTER,
            )
        if self._routing_state.is_overdue():
            raise refusal_error(
                ResultCode.CONFIGURATION_UNKNOWN,
                "a newer configuration exists that has not arrived in time",
                NOT_READY_RETRY_AFTER,
            )
        route = self._find_route(table, request)
        account = self._find_account(table, route, metadata)
        service = self._find_service(table, route)
        self._routing_state.budget(service.name).record_request(request.received_at)
        caller_timeout = (
            DEFAULT_CALLER_TIMEOUT if metadata.caller_timeout is None else metadata.caller_timeout
        )
        return RequestProgress(
            request=request,
            response=response,
            metadata=metadata,
            route=route,
            account=account,
            service=service,
            deadline=request.received_at
            + min(caller_timeout, route.timeout)
            - FINAL_RESPONSE_MARGIN,
            attempted_servers=[],
            excluded_servers=[],
        )

    def _find_route(self, table: RoutingTable, request: CallerRequest) -> Route:
        host = (request.header(b"host") or b"").decode("latin-1")
        route = table.find_route(host, request.target.decode("latin-1"))
        if route is not None:
            return route
        if not self._routing_state.has_valid_lease():
            raise refusal_error(
                ResultCode.CONFIGURATION_UNKNOWN,
                "no route matches, but the configuration may be out of date",
                NOT_READY_RETRY_AFTER,
            )
        raise refusal_error(ResultCode.UNKNOWN_PATH, "no route matches the host and path")

    def _find_account(
        self, table: RoutingTable, route: Route, metadata: RequestMetadata
    ) -> Optional[Account]:
        if table.configuration.accounts is None or route.allows_anonymous:
            return None
        if not self._routing_state.has_valid_lease():
            raise refusal_error(
                ResultCode.CONFIGURATION_UNKNOWN,
                "the configuration is too old to verify API keys",
                NOT_READY_RETRY_AFTER,
            )
        account = table.find_account(metadata.key)
        if metadata.key is not None and self._routing_state.pending.withdraws(metadata.key):
            raise refusal_error(
                ResultCode.CONFIGURATION_UNKNOWN,
                "the API key is withdrawn by a configuration that has not arrived yet",
                NOT_READY_RETRY_AFTER,
            )
        if account is None:
            raise refusal_error(
                ResultCode.UNAUTHENTICATED, "the API key belongs to no client account"
            )
        return account

    def _find_service(self, table: RoutingTable, route: Route) -> Service:
        name = choose_service(route.shares, self._random.random())
        service = None if name is None else table.configuration.services.get(name)
        if service is None:
            raise refusal_error(
                ResultCode.NO_ENGINE_AVAILABLE,
                "the route has no usable service",
                NOT_READY_RETRY_AFTER,
            )
        return service
