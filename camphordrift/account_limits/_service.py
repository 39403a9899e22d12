"""Runs the limits over the streams between VMs."""

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

#: Time between two looks at what is to be asked, in seconds.
TICK_SECONDS = 0.25

#: How long a home VM has to answer, in seconds.
ASK_TIMEOUT_SECONDS = 0.5


class FleetView(Protocol):
    """What the limits need to know of membership; ``MembershipView`` has it."""

    @property
    def live_vms(self) -> tuple[VmId, ...]:
        """All VMs that are not dead."""
        ...

    @property
    def dead_vms(self) -> tuple[VmId, ...]:
        """VMs that are believed dead and not yet forgotten."""
        ...

    def home_candidates(self, now: float) -> tuple[VmId, ...]:
        """Returns the VMs that may be home to an account."""
        ...


class AccountLimitService:
    """Keeps the leases of an :class:`AccountLimiter` alive, and answers other VMs' asks."""

    def __init__(
        self, limiter: AccountLimiter, home: ShareHome, view: FleetView, messenger: PeerMessenger
    ) -> None:
        self._limiter = limiter
        self._home = home
        self._view = view
        self._messenger = messenger
        self._asking: Optional[trio.Event] = None
        self._counts = {"asks": 0, "failed_asks": 0}
        for message_type in (ShareAsk, ShareGrant, ShareLease):
            messenger.declare(message_type, f"account_limits.{message_type.__name__}")
        messenger.register(ShareAsk, self._answer_ask)

    @property
    def limiter(self) -> AccountLimiter:
        """Decides on requests."""
        return self._limiter

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._tick(nursery)
                await trio.sleep(TICK_SECONDS)

    async def ask_now(self) -> None:
        """Asks for what is due and waits for the answers, at most their timeout.

        Callers that come while an ask is under way wait for the same answers.
        """
        if self._asking is not None:
            await self._asking.wait()
            return
        self._asking = trio.Event()
        try:
            async with trio.open_nursery() as nursery:
                self._tick(nursery)
        finally:
            self._asking.set()
            self._asking = None

    def dump_state(self) -> dict[str, Any]:
        """Returns what an operator wants to see."""
        limiter = self._limiter.dump_state(trio.current_time())
        return {"limiter": limiter, "home": self._home.dump_state(), **self._counts}

    def _tick(self, nursery: trio.Nursery) -> None:
        now = trio.current_time()
        self._update_fleet(now)
        self._home.on_tick(now)
        candidates = self._view.home_candidates(now)
        asks = self._limiter.due_asks(lambda name: account_home(name, candidates), now)
        for vm_id, ask in asks.items():
            nursery.start_soon(self._ask, vm_id, ask, now)

    def _update_fleet(self, now: float) -> None:
        live = len(self._view.live_vms)
        self._limiter.set_fleet(FleetSize(live, live + len(self._view.dead_vms)))
        self._home.set_candidates(self._view.home_candidates(now), now)

    async def _ask(self, vm_id: VmId, ask: ShareAsk, asked_at: float) -> None:
        self._counts["asks"] += 1
        outcome = await self._messenger.request(vm_id, ask, ASK_TIMEOUT_SECONDS)
        if isinstance(outcome, Success):
            self._limiter.on_grant(vm_id, outcome.unwrap(), asked_at)
        else:
            self._counts["failed_asks"] += 1

    async def _answer_ask(
        self, sender: PeerIdentity, ask: ShareAsk
    ) -> Result[ShareGrant, results.Failure]:
        now = trio.current_time()
        self._update_fleet(now)
        limits = self._limiter.shares_of_limits
        return self._home.on_ask(sender.vm_id, ask, limits, self._limiter.fleet, now)


def account_home(account_id: AccountId, candidates: tuple[VmId, ...]) -> VmId:
    """Returns the VM that is home to an account's limits."""
    return first_by_rendezvous(f"account-limits\0{account_id}", candidates)


def account_limit_service(
    own: VmId, settings: LimiterSettings, view: FleetView, messenger: PeerMessenger
) -> AccountLimitService:
    """Returns the service of one VM. Has to be called inside the trio loop, for its clock."""
    now = trio.current_time()
    limiter = AccountLimiter(settings, now)
    home = ShareHome(own, settings, account_home, now)
    return AccountLimitService(limiter, home, view, messenger)
