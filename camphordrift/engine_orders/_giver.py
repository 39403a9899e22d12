"""Sends orders to engines while this process holds the lease."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Optional, Protocol

import trio
from returns import result

from camphordrift.backend_servers import (
    BackendError,
    BackendUnreachableError,
    EngineClient,
    EngineOrder,
    OrderReply,
)
from camphordrift.clocks import ClockReading
from camphordrift.engine_orders._desired import DesiredEngine, ReportedEngine, reported_engine
from camphordrift.engine_orders._order_tracker import OrderTracker
from camphordrift.engine_orders._planning import HeldBackOrder, plan_orders
from camphordrift.engine_orders._weight_budget import WeightStoreBudget
from camphordrift.identifiers import BackendServerId
from camphordrift.leases import FencingNumber, LeaseName, LeaseTerm
from camphordrift.results import Failure, ResultCode

#: Timeout in seconds of one request to an engine. It must be below the lease setting
#: ``order_settle_seconds``, after which a sent order is assumed to have no further effect.
ORDER_TIMEOUT_SECONDS = 5.0

#: Maximum number of engines that are processed concurrently.
_MAX_CONCURRENT_ENGINES = 16


class OrderAuthority(Protocol):
    """Decides whether this process may send orders.

    Implemented by :class:`camphordrift.leases.LeaseRunner`.
    """

    def authorize(self, name: LeaseName) -> result.Result[LeaseTerm, Failure]:
        """Returns the current lease term; fails unless this process may send an order now."""
        ...

    def record_superseded(self, name: LeaseName) -> None:
        """Gives the lease up because a backend server has seen a higher fencing number."""
        ...

    def read_clocks(self) -> ClockReading:
        """Returns the current time on the monotonic and the wall clock."""
        ...


@dataclass(frozen=True)
class EngineOrdersState:
    """One engine's orders in the state dump."""

    #: Id of the engine.
    engine_id: str

    #: Ids of the orders that the engine accepted in the current lease term.
    accepted: tuple[str, ...]

    #: Reasons of the latest failures of the orders that are waiting for a retry.
    last_failures: tuple[str, ...]

    #: Orders that are needed but must not be sent yet, as of the last round; each formatted as
    #: ``<order id>: <result code name>``.
    held_back: tuple[str, ...]


class EngineOrderGiver:
    """Brings engines to their desired state by sending orders under one lease.

    Example::

        giver = EngineOrderGiver(client, leases, LeaseName("engine-orders"), budget)
        while True:
            await giver.run_round(desired_engines)
            await trio.sleep(2.0)
    """

    def __init__(
        self,
        client: EngineClient,
        authority: OrderAuthority,
        lease_name: LeaseName,
        budget: WeightStoreBudget,
    ) -> None:
        self._client = client
        self._authority = authority
        self._lease_name = lease_name
        self._budget = budget
        self._fencing_number: Optional[FencingNumber] = None
        self._trackers: dict[BackendServerId, OrderTracker] = {}
        self._held_back: dict[BackendServerId, tuple[HeldBackOrder, ...]] = {}

    async def run_round(self, desired_engines: Sequence[DesiredEngine]) -> None:
        """Sends each engine the orders that it needs now; does nothing without the lease.

        Failed orders are retried with backoff by later rounds.
        """
        match self._authority.authorize(self._lease_name):
            case result.Success(term):
                self._begin_term(term)
            case _:
                return
        limit = trio.CapacityLimiter(_MAX_CONCURRENT_ENGINES)
        async with trio.open_nursery() as nursery:
            for desired in desired_engines:
                nursery.start_soon(self._update_engine, desired, limit)

    def dump_state(self) -> tuple[EngineOrdersState, ...]:
        """Returns the state of every engine that this process has planned orders for."""
        return tuple(
            EngineOrdersState(
                engine_id=engine_id,
                accepted=tuple(entry.order.order_id for entry in tracker.accepted),
                last_failures=tracker.last_failures,
                held_back=tuple(
                    f"{held.order.order_id}: {held.failure.code.name}"
                    for held in self._held_back.get(engine_id, ())
                ),
            )
            for engine_id, tracker in self._trackers.items()
        )

    def _begin_term(self, term: LeaseTerm) -> None:
        if term.fencing_number != self._fencing_number:
            self._fencing_number = term.fencing_number
            self._budget.clear(self._authority.read_clocks().monotonic)

    async def _update_engine(self, desired: DesiredEngine, limit: trio.CapacityLimiter) -> None:
        async with limit:
            reported = await self._read_report(desired.engine_id)
            if reported is not None:
                await self._plan_and_send_orders(desired, reported)

    async def _read_report(self, engine_id: BackendServerId) -> Optional[ReportedEngine]:
        try:
            with trio.fail_after(ORDER_TIMEOUT_SECONDS):
                return reported_engine(await self._client.read_load(engine_id))
        except (BackendError, trio.TooSlowError):
            return None

    async def _plan_and_send_orders(self, desired: DesiredEngine, reported: ReportedEngine) -> None:
        tracker = self._trackers.setdefault(desired.engine_id, OrderTracker())
        match self._authority.authorize(self._lease_name):
            case result.Success(term):
                now = self._authority.read_clocks()
                plan = plan_orders(desired, reported, term, tracker, self._budget, now)
            case _:
                return
        self._held_back[desired.engine_id] = plan.held_back
        for order in plan.orders:
            if not self._is_still_authorized(order):
                return
            await self._send_order(desired.engine_id, order, reported, tracker)

    def _is_still_authorized(self, order: EngineOrder) -> bool:
        """Returns whether the lease term that the order was planned in is still held."""
        match self._authority.authorize(self._lease_name):
            case result.Success(term):
                return bool(term.fencing_number == order.fencing_number)
        return False

    async def _send_order(
        self,
        engine_id: BackendServerId,
        order: EngineOrder,
        reported: ReportedEngine,
        tracker: OrderTracker,
    ) -> None:
        try:
            with trio.fail_after(ORDER_TIMEOUT_SECONDS):
                reply = await self._client.send_order(engine_id, order)
        except BackendUnreachableError as error:
            tracker.record_failed(
                order, f"{ResultCode.BACKEND_UNREACHABLE.name}: {error}", self._now()
            )
        except (BackendError, trio.TooSlowError):
            tracker.record_failed(order, ResultCode.ORDER_OUTCOME_UNKNOWN.name, self._now())
        else:
            self._handle_reply(order, reply, reported, tracker)

    def _handle_reply(
        self, order: EngineOrder, reply: OrderReply, reported: ReportedEngine, tracker: OrderTracker
    ) -> None:
        if reply.accepted:
            tracker.record_accepted(order, reported.incarnation, self._now())
            return
        highest = reply.highest_fencing_number
        if highest is not None and highest > order.fencing_number:
            tracker.record_failed(order, ResultCode.ORDER_FENCED.name, self._now())
            self._authority.record_superseded(self._lease_name)
            return
        tracker.record_failed(order, reply.detail or "refused", self._now())

    def _now(self) -> float:
        return self._authority.read_clocks().monotonic
