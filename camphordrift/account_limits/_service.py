"""Exchanges lease requests and grants with the home VMs, which coordinate accounts' limits."""

from typing import Any, Optional, Protocol

import trio
from returns.result import Result, Success

from camphordrift import results
from camphordrift.account_limits._fleet import FleetSize
from camphordrift.account_limits._home import ShareHome
from camphordrift.account_limits._limiter import AccountLimiter
from camphordrift.account_limits._messages import ShareAsk, ShareGrant, ShareLease
from camphordrift.account_limits._settings import LimiterSettings
from camphordrift.identifiers import AccountId, VmId
from camphordrift.membership import PeerMessenger, first_by_rendezvous
from camphordrift.peers import PeerIdentity

#: Seconds between two checks for due lease requests.
TICK_SECONDS = 0.25

#: Seconds to wait for the response to a lease request.
REQUEST_TIMEOUT_SECONDS = 0.5


class FleetView(Protocol):
    """The methods of ``MembershipView`` that limit enforcement uses."""

    @property
    def live_vms(self) -> tuple[VmId, ...]:
        """All VMs that are not dead."""
        ...

    @property
    def dead_vms(self) -> tuple[VmId, ...]:
        """VMs that are considered dead and not yet removed from the membership."""
        ...

    def home_candidates(self, now: float) -> tuple[VmId, ...]:
        """Returns the VMs among which home VMs are chosen."""
        ...


class AccountLimitService:
    """Renews the leases of an :class:`AccountLimiter` and handles lease requests of other VMs."""

    def __init__(
        self, limiter: AccountLimiter, home: ShareHome, view: FleetView, messenger: PeerMessenger
    ) -> None:
        self._limiter = limiter
        self._home = home
        self._view = view
        self._messenger = messenger
        self._round_done: Optional[trio.Event] = None
        self._counts = {"asks": 0, "failed_asks": 0}
        for message_type in (ShareAsk, ShareGrant, ShareLease):
            messenger.declare(message_type, f"account_limits.{message_type.__name__}")
        messenger.register(ShareAsk, self._handle_request)

    @property
    def limiter(self) -> AccountLimiter:
        """The limiter that admits or refuses requests on this VM."""
        return self._limiter

    async def run(self) -> None:
        """Sends due lease requests until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._tick(nursery)
                await trio.sleep(TICK_SECONDS)

    async def request_due_leases(self) -> None:
        """Sends due lease requests and waits until all have a response or have timed out.

        Concurrent callers wait for the same responses.
        """
        if self._round_done is not None:
            await self._round_done.wait()
            return
        self._round_done = trio.Event()
        try:
            async with trio.open_nursery() as nursery:
                self._tick(nursery)
        finally:
            self._round_done.set()
            self._round_done = None

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the limiter and of the leases granted here, for the state dump."""
        limiter = self._limiter.dump_state(trio.current_time())
        return {"limiter": limiter, "home": self._home.dump_state(), **self._counts}

    def _tick(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        self._update_fleet(now)
        self._home.on_tick(now)
        candidates = self._view.home_candidates(now)
        requests = self._limiter.due_lease_requests(
            lambda name: account_home(name, candidates), now
        )
        for vm_id, request in requests.items():
            nursery.start_soon(self._send_request, vm_id, request, now)

    def _update_fleet(self, now: float) -> None:
        live = len(self._view.live_vms)
        self._limiter.set_fleet(FleetSize(live, live + len(self._view.dead_vms)))
        self._home.set_candidates(self._view.home_candidates(now), now)

    async def _send_request(self, vm_id: VmId, request: ShareAsk, requested_at: float) -> None:
        self._counts["asks"] += 1
        outcome = await self._messenger.request(vm_id, request, REQUEST_TIMEOUT_SECONDS)
        if isinstance(outcome, Success):
            self._limiter.apply_grant(vm_id, outcome.unwrap(), requested_at)
        else:
            self._counts["failed_asks"] += 1

    async def _handle_request(
        self, sender: PeerIdentity, request: ShareAsk
    ) -> Result[ShareGrant, results.Failure]:
        now = trio.current_time()
        self._update_fleet(now)
        limits = self._limiter.account_limits
        return self._home.handle_lease_request(
            sender.vm_id, request, limits, self._limiter.fleet, now
        )


def account_home(account_id: AccountId, candidates: tuple[VmId, ...]) -> VmId:
    """Returns the home VM of an account, chosen among ``candidates`` by rendezvous hashing."""
    return first_by_rendezvous(f"account-limits\0{account_id}", candidates)


def account_limit_service(
    own_vm: VmId, settings: LimiterSettings, view: FleetView, messenger: PeerMessenger
) -> AccountLimitService:
    """Returns the account limit service of one VM. Call it inside the event loop."""
    now = trio.current_time()
    limiter = AccountLimiter(settings, now)
    home = ShareHome(own_vm, settings, account_home, now)
    return AccountLimitService(limiter, home, view, messenger)
